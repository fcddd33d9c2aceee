"""Requests that callers send in a scenario, and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tests.scenario.steps import ClassSpec
from wagtailusher_core import ErrorCode, Outcome, VmId


@dataclass(slots=True, kw_only=True)
class Call:
    """A caller's request with all its attempts, their executions and the final outcome."""

    call_id: str
    spec: ClassSpec
    sent_ms: float
    body: bytes
    crashing: bool = False
    first_token_ms: float | None = None
    ended_ms: float | None = None
    outcome: Outcome | None = None
    code: ErrorCode | None = None
    answer: bytes = b""
    execution_count: int = 0
    refused_handles: set[str] = field(default_factory=set)
    executed_handles: set[str] = field(default_factory=set)

    @property
    def is_on_target(self) -> bool:
        """Return whether the answer was complete and within the target.

        The target applies to the first token of streamed answers and to the end of others.
        """
        if self.outcome is not Outcome.COMPLETED or self.ended_ms is None:
            return False
        measured_ms = self.ended_ms
        if self.spec.output_tokens and self.first_token_ms is not None:
            measured_ms = self.first_token_ms
        return measured_ms - self.sent_ms <= self.spec.target_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt to send a call to a node; a repeatable call has neither ticket nor key."""

    attempt_id: str
    call: Call
    body: bytes
    ticket: str | None = None
    key: str | None = None
    is_first: bool = False
    sent_ms: float = 0.0
    original_handle: str | None = None

    @property
    def handle(self) -> str:
        """Return the id that a refusal applies to: ticket, key or attempt id of the caller."""
        return self.original_handle or self.ticket or self.key or self.attempt_id

    def with_ticket(self, successor_ticket: str) -> Attempt:
        """Return the attempt under the peer's ticket that replaces the caller's ticket or key."""
        return replace(self, ticket=successor_ticket, key=None, original_handle=self.handle)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The reply to one attempt."""

    attempt: Attempt
    outcome: Outcome
    code: ErrorCode | None = None
    answer: bytes = b""
    connected: bool = True
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SendRecord:
    """The sending of an attempt's first byte to an endpoint."""

    at_ms: float
    node_id: VmId
    endpoint: str
    domain: str
    class_name: str


def expected_answer(body: bytes) -> bytes:
    """Return the complete answer that an endpoint gives to a body."""
    return b"<" + body + b">"
