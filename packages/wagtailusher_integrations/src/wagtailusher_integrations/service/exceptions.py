"""Errors of plain services."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class ServiceError(WagtailusherError):
    """A service's answer can't be used."""

    code = ErrorCode.ENDPOINT_PROTOCOL
