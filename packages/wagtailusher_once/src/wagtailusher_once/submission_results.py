"""Results of submitting a request that must run at most once."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import ErrorCode, Incarnation, VmId


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A complete response of an endpoint, retained for retries of its request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Return the size in bytes that counts against the limit of retained answers."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(frozen=True, slots=True, kw_only=True)
class RunHere:
    """This node accepted the request and may dispatch it once."""

    ticket_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardTo:
    """Another node is the request's home; for an idempotency key no incarnation is specified.

    After a handover the ticket is set: it is forwarded in place of the caller's ticket.
    """

    home_id: VmId
    incarnation: Incarnation | None = None
    ticket: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The request completed; this is its complete response."""

    ticket_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEvicted:
    """The request completed, but its answer is no longer retained (outcome `completed`)."""

    ticket_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class InProgress:
    """An earlier attempt is queued here or was dispatched and has not ended."""

    ticket_id: str
    dispatched: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """The request may have run elsewhere or before; it is not run here (outcome `unknown`)."""

    code: ErrorCode


@dataclass(frozen=True, slots=True, kw_only=True)
class BodyConflict:
    """The ticket or key was used with another body; this body was not run."""

    ticket_id: str
    code: ErrorCode = ErrorCode.KEY_CONFLICT


@dataclass(frozen=True, slots=True, kw_only=True)
class AlreadyRefused:
    """The request was refused before its dispatch and never runs (outcome `not_run`)."""

    code: ErrorCode
    ticket_id: str = ""
    retry_after_ms: int = 0


Submission = (
    RunHere
    | ForwardTo
    | Replay
    | AnswerEvicted
    | InProgress
    | OutcomeUnknown
    | BodyConflict
    | AlreadyRefused
)
