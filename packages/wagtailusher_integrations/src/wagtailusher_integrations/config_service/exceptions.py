"""Errors of the platform's services."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class PlatformError(WagtailusherError):
    """A service of the platform did not answer, or its answer can't be used."""

    code = ErrorCode.PLATFORM_UNAVAILABLE


class ThrottledError(PlatformError):
    """The service refused a call because the call limit was exceeded."""

    def __init__(self, message: str, *, retry_after_ms: int) -> None:
        """Store the wait that the service asked for, 0 if it named none."""
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class MalformedValueError(PlatformError):
    """The value or its version can't be parsed."""

    code = ErrorCode.WIRE_MALFORMED


class ChunkMismatchError(PlatformError):
    """A chunk is missing or its digest is not in the manifest."""

    code = ErrorCode.SETTINGS_STALE
