"""Errors of the entry daemon."""

from __future__ import annotations

from http import HTTPStatus

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError


class DaemonError(WagtailusherError):
    """The root of the daemon's errors."""


class OptionsError(DaemonError):
    """A flag or environment variable has a bad value."""

    code = ErrorCode.SETTINGS_INVALID


class RefusedRequestError(DaemonError):
    """A request that is answered with an error before any endpoint sees it."""

    def __init__(
        self,
        status: HTTPStatus,
        code: ErrorCode,
        message: str,
        *,
        retry_after_ms: int | None = None,
    ) -> None:
        """Store what the caller is told."""
        super().__init__(message, code=code)
        self.status = status
        self.outcome = Outcome.NOT_RUN
        self.retry_after_ms = retry_after_ms


class BrokenAnswerError(DaemonError):
    """An answer broke off after its beginning had been relayed."""

    code = ErrorCode.ANSWER_TRUNCATED


class PeerStreamError(DaemonError):
    """A peer did not give what it was asked for."""

    code = ErrorCode.PEER_UNAVAILABLE
