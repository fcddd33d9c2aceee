"""What a node answers to a request that must run at most once."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import ErrorCode, Incarnation, VmId


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredAnswer:
    """A whole answer of an endpoint, kept for repeats of its request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def size_bytes(self) -> int:
        """Return the size that counts against the limit of kept answers."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(frozen=True, slots=True, kw_only=True)
class RunHere:
    """This node accepted the request and may dispatch it once."""

    ticket_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardTo:
    """Another node is the request's home; no incarnation is named for an idempotency key.

    A ticket is named where the right to run was handed over: it goes in place of the caller's.
    """

    home_id: VmId
    incarnation: Incarnation | None = None
    ticket: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """The request completed; this is its whole answer."""

    ticket_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEvicted:
    """The request completed, but its answer is no longer kept (outcome `completed`)."""

    ticket_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class InProgress:
    """An earlier attempt is queued here or was dispatched and has not ended."""

    ticket_id: str
    dispatched: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """Nobody can tell whether the request ran; it is not run here (outcome `unknown`)."""

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
