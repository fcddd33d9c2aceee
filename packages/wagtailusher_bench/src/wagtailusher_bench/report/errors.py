"""Exceptions of the report package."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class ReportError(WagtailusherError):
    """The input of a report is missing or invalid."""

    code = ErrorCode.BAD_REQUEST
