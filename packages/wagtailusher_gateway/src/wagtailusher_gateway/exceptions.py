"""Errors of the gateway."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError


class GatewayError(WagtailusherError):
    """Base class of the gateway's errors."""


class RefusedError(GatewayError):
    """A request is answered with an error by the gateway itself."""

    def __init__(
        self,
        message: str,
        *,
        code: ErrorCode,
        status: int,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int | None = None,
    ) -> None:
        """Store the answer's status, the request's outcome, and the retry delay in ms, if any."""
        super().__init__(message, code=code)
        self.status = status
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms


class BrokenStreamError(GatewayError):
    """A stream was interrupted and can't be resumed."""

    code = ErrorCode.ANSWER_TRUNCATED


class ForwardError(GatewayError):
    """A request was not handed on by a VM of the fleet."""

    code = ErrorCode.PEER_UNAUTHENTICATED


class ViewError(GatewayError):
    """A peer's view can't be decoded."""

    code = ErrorCode.WIRE_MALFORMED
