"""What callers send in a scenario and what became of it."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tests.scenario.steps import ClassSpec
from wagtailusher_core import ErrorCode, Outcome, VmId


@dataclass(slots=True, kw_only=True)
class Call:
    """What one caller wants, over all its attempts."""

    call_id: str
    spec: ClassSpec
    sent_ms: float
    body: bytes
    crashing: bool = False
    first_ms: float | None = None
    ended_ms: float | None = None
    outcome: Outcome | None = None
    code: ErrorCode | None = None
    answer: bytes = b""
    runs: int = 0
    refused_handles: set[str] = field(default_factory=set)
    run_handles: set[str] = field(default_factory=set)

    @property
    def is_on_target(self) -> bool:
        """Return whether the answer came whole and in time."""
        if self.outcome is not Outcome.COMPLETED or self.ended_ms is None:
            return False
        reached_ms = self.ended_ms
        if self.spec.output_tokens and self.first_ms is not None:
            reached_ms = self.first_ms
        return reached_ms - self.sent_ms <= self.spec.target_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One sending of a call to a node; a plain repeatable one has no handle."""

    attempt_id: str
    call: Call
    body: bytes
    ticket: str | None = None
    key: str | None = None
    is_first: bool = False
    sent_ms: float = 0.0
    origin: str | None = None

    @property
    def handle(self) -> str:
        """Return what a refusal is about: what the caller brought."""
        return self.origin or self.ticket or self.key or self.attempt_id

    def under(self, successor: str) -> Attempt:
        """Return the attempt under the ticket that succeeds the caller's."""
        return replace(self, ticket=successor, key=None, origin=self.handle)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """What a caller is told about one attempt."""

    attempt: Attempt
    outcome: Outcome
    code: ErrorCode | None = None
    answer: bytes = b""
    connected: bool = True
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SendRecord:
    """The first byte of an attempt going out to an endpoint."""

    at_ms: float
    node_id: VmId
    endpoint: str
    domain: str
    class_name: str


def answer_to(body: bytes) -> bytes:
    """Return the whole answer to a body."""
    return b"<" + body + b">"
