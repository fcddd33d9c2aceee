"""Exceptions of the entry daemon."""

from __future__ import annotations

from http import HTTPStatus

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError


class DaemonError(WagtailusherError):
    """Base class of the daemon's exceptions."""


class OptionsError(DaemonError):
    """A flag or environment variable has an invalid value."""

    code = ErrorCode.SETTINGS_INVALID


class RefusedRequestError(DaemonError):
    """A request was refused before it was sent to any endpoint."""

    def __init__(
        self,
        status: HTTPStatus,
        code: ErrorCode,
        message: str,
        *,
        retry_after_ms: int | None = None,
    ) -> None:
        """Store the fields of the error response."""
        super().__init__(message, code=code)
        self.status = status
        self.outcome = Outcome.NOT_RUN
        self.retry_after_ms = retry_after_ms


class IncompleteAnswerError(DaemonError):
    """An answer ended before it was complete."""

    code = ErrorCode.ANSWER_TRUNCATED


class PeerStreamError(DaemonError):
    """A peer did not return the requested content."""

    code = ErrorCode.PEER_UNAVAILABLE
