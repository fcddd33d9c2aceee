"""Errors of the platform's services."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class PlatformError(WagtailusherError):
    """A service of the platform gave no usable answer."""

    code = ErrorCode.PLATFORM_UNAVAILABLE


class ThrottledError(PlatformError):
    """The service refused a call over its limit."""

    def __init__(self, message: str, *, retry_after_ms: int) -> None:
        """Store how long the service asks to wait."""
        super().__init__(message)
        self.retry_after_ms = retry_after_ms


class GarbledValueError(PlatformError):
    """The service answered with something that is not a value of the kind asked for."""

    code = ErrorCode.WIRE_MALFORMED


class TornValueError(PlatformError):
    """A chunk is not the one that the manifest names."""

    code = ErrorCode.SETTINGS_STALE
