"""Errors of reports."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class ReportError(WagtailusherError):
    """A report can't be made from a file."""

    code = ErrorCode.BAD_REQUEST
