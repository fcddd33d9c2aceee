"""What a caller is told when there is no answer."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError


class CallerError(WagtailusherError):
    """A request ended without its answer; `outcome` tells whether it ran."""

    outcome = Outcome.UNKNOWN


class NoAddressError(CallerError):
    """No entry VM could be reached; nothing was sent."""

    code = ErrorCode.PEER_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class RefusedError(CallerError):
    """The request was refused; `retry_after_ms` tells when to come back."""

    def __init__(
        self, message: str, *, code: ErrorCode, outcome: Outcome, retry_after_ms: int | None
    ) -> None:
        """Store the refusal."""
        super().__init__(message, code=code)
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms


class UnknownOutcomeError(CallerError):
    """The request may have run; it was not sent again."""

    code = ErrorCode.HOME_GONE


class BrokenAnswerError(CallerError):
    """An answer began and broke off."""

    code = ErrorCode.ANSWER_TRUNCATED
