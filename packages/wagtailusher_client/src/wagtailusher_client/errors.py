"""Errors raised to callers."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError


class CallerError(WagtailusherError):
    """A request ended without a complete answer; `outcome` states whether it ran."""

    outcome = Outcome.UNKNOWN


class NoAddressError(CallerError):
    """No entry VM could be reached; nothing was sent."""

    code = ErrorCode.PEER_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class RefusedError(CallerError):
    """The request was refused; `retry_after_ms` is the wait before a retry, if given."""

    def __init__(
        self, message: str, *, code: ErrorCode, outcome: Outcome, retry_after_ms: int | None
    ) -> None:
        super().__init__(message, code=code)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms


class UnknownOutcomeError(CallerError):
    """The request may have run, and its outcome could not be determined."""

    code = ErrorCode.HOME_GONE


class BrokenAnswerError(CallerError):
    """The answer was cut off after it began."""

    code = ErrorCode.ANSWER_TRUNCATED
