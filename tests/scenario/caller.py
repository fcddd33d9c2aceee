"""A caller of a scenario, which retries as a client library does."""

from __future__ import annotations

from typing import TYPE_CHECKING
from uuid import UUID

from tests.scenario.calls import Attempt, Call, Reply, expected_answer
from tests.scenario.node import WALL_BASE_MS, EntryNode
from tests.scenario.simulation import CALLER_DELAY_MS
from wagtailusher_core import ErrorCode, Outcome

if TYPE_CHECKING:
    from tests.scenario.fleet import Fleet

MAX_ATTEMPTS = 5
MAX_REPEATS = 20
RETRY_PAUSE_MS = 300
CALLER_TIMEOUT_MS = 5_000
TIMEOUT_PER_TOKEN_MS = 100
_RETRYABLE_CODES = frozenset({ErrorCode.DRAINING, ErrorCode.NOT_READY, ErrorCode.TICKET_EXPIRED})
_UUID_VERSION_BITS = 7 << 76 | 2 << 62


class Caller:
    """Sends one call, with retries, until it ends."""

    def __init__(
        self, fleet: Fleet, call: Call, *, first_node: int, by_key: bool, repeating: bool
    ) -> None:
        """Initialize the caller; the nodes are tried in turn from `first_node`."""
        self._fleet = fleet
        self._call = call
        self._next_node = first_node
        self._by_key = by_key
        self._repeating = repeating
        self._ticket: str | None = None
        self._key: str | None = None
        self._send_count = 0
        self._attempt_number = 0
        self._node: EntryNode | None = None
        self._attempt: Attempt | None = None

    def start(self) -> None:
        """Get a ticket or generate a key if the call needs one, then send."""
        self._ticket = self._key = None
        self._send_count = 0
        self._node = self._pick_node()
        if not self._node.alive:
            self._retry_elsewhere()
        elif self._call.spec.repeatable:
            self._send()
        elif self._by_key:
            self._key = self._generate_key()
            self._send()
        else:
            self._request_ticket(self._node)

    def _request_ticket(self, node: EntryNode) -> None:
        """Request a ticket from a node, or from another after a timeout."""
        self._attempt_number += 1
        attempt_number = self._attempt_number

        def send_ticket() -> None:
            ticket = node.issue_ticket() if node.peers.is_ready else None
            self._fleet.clock.call_later(
                CALLER_DELAY_MS, lambda: self._handle_ticket(attempt_number, ticket)
            )

        self._fleet.clock.call_later(CALLER_DELAY_MS, lambda: node.run(send_ticket))
        self._fleet.clock.call_later(
            CALLER_TIMEOUT_MS, lambda: self._time_out_ticket(attempt_number)
        )

    def _handle_ticket(self, attempt_number: int, ticket: str | None) -> None:
        """Send with the ticket; None means that the node isn't ready to issue one."""
        if self._attempt_number != attempt_number or self._call.outcome is not None:
            return
        if ticket is None:
            self._retry_elsewhere()
            return
        self._ticket = ticket
        self._send()

    def _time_out_ticket(self, attempt_number: int) -> None:
        """Request a ticket from another node if none has arrived."""
        if self._attempt_number == attempt_number and self._ticket is None:
            self._retry_elsewhere()

    def _generate_key(self) -> str:
        """Return an idempotency key, a UUID of version 7 with the current time."""
        wall_ms = WALL_BASE_MS + self._fleet.clock.now_ms
        bits = wall_ms << 80 | _UUID_VERSION_BITS | self._fleet.rng.getrandbits(62)
        return str(UUID(int=bits))

    def _send(self) -> None:
        """Send one attempt to the current node."""
        node = self._node
        if node is None or not node.alive:
            self._retry_elsewhere()
            return
        self._attempt_number += 1
        attempt = Attempt(
            attempt_id=f"{self._call.call_id}/{self._attempt_number}",
            call=self._call,
            body=self._call.body,
            ticket=self._ticket,
            key=self._key,
            is_first=not self._send_count,
            sent_ms=self._fleet.clock.time_ms,
        )
        self._send_count += 1
        self._attempt = attempt
        clock = self._fleet.clock

        def deliver_reply(reply: Reply) -> None:
            clock.call_later(CALLER_DELAY_MS, lambda: self._receive(reply))

        def handle_arrival() -> None:
            if node.alive:
                node.run(lambda: node.receive(attempt, deliver_reply))
            elif self._attempt is attempt:
                self._send_count -= 1
                self._attempt = None
                self._retry_elsewhere()

        clock.call_later(CALLER_DELAY_MS, handle_arrival)
        timeout_ms = max(CALLER_TIMEOUT_MS, 3 * self._call.spec.target_ms)
        timeout_ms += self._call.spec.output_tokens * TIMEOUT_PER_TOKEN_MS
        clock.call_later(timeout_ms, lambda: self._time_out(attempt, node))

    def _time_out(self, attempt: Attempt, node: EntryNode) -> None:
        """Disconnect when no reply has arrived in time."""
        if self._attempt is not attempt or self._call.outcome is not None:
            return
        node.run(lambda: node.handle_caller_disconnect(attempt))
        self._receive(Reply(attempt=attempt, outcome=Outcome.UNKNOWN, code=ErrorCode.CALLER_LEFT))

    def _receive(self, reply: Reply) -> None:
        """Complete, retry or end the call after the reply to its latest attempt."""
        call = self._call
        if reply.attempt is not self._attempt or call.outcome is not None:
            return
        call.code = reply.code
        if reply.outcome is Outcome.COMPLETED:
            self._complete(reply)
            return
        if reply.outcome is Outcome.NOT_RUN:
            self._fleet.record_not_run(reply.attempt)
            is_final = reply.code not in _RETRYABLE_CODES and not self._repeating
        else:
            self._fleet.cut_off_count += 1
            is_final = False
        limit = MAX_REPEATS if self._repeating else MAX_ATTEMPTS
        if is_final or self._attempt_number >= limit:
            self._finish(reply.outcome)
            return
        self._attempt = None
        pause_ms = max(RETRY_PAUSE_MS, reply.retry_after_ms)
        self._fleet.clock.call_later(pause_ms, lambda: self._retry(reply))

    def _retry(self, reply: Reply) -> None:
        """Try another node, with the same ticket or key unless that was refused."""
        is_unsent = reply.code is ErrorCode.HOME_GONE and self._send_count == 1
        if reply.outcome is Outcome.NOT_RUN or is_unsent or self._call.spec.repeatable:
            self.start()
            return
        self._node = self._pick_node()
        self._send()

    def _retry_elsewhere(self) -> None:
        """Try another node after this one was unavailable and nothing was sent to it."""
        self._attempt_number += 1
        if self._attempt_number >= MAX_REPEATS:
            sent = self._send_count > 0
            self._finish(Outcome.UNKNOWN if sent else Outcome.NOT_RUN)
            return

        def retry() -> None:
            if self._send_count:
                self._node = self._pick_node()
                self._send()
            else:
                self.start()

        self._fleet.clock.call_later(RETRY_PAUSE_MS, retry)

    def _complete(self, reply: Reply) -> None:
        """Check the answer and end the call."""
        if reply.answer and reply.answer != expected_answer(self._call.body):
            self._fleet.violations.append(
                f"{self._call.call_id} got the wrong answer {reply.answer.decode()}"
            )
        if not self._call.execution_count:
            self._fleet.violations.append(f"{self._call.call_id} completed but never ran")
        self._call.answer = reply.answer
        self._finish(Outcome.COMPLETED)

    def _finish(self, outcome: Outcome) -> None:
        """Record the call's outcome and end."""
        self._call.outcome = outcome
        self._call.ended_ms = self._fleet.clock.time_ms

    def _pick_node(self) -> EntryNode:
        """Return the next node in turn."""
        node = self._fleet.nodes[self._next_node % len(self._fleet.nodes)]
        self._next_node += 1
        return node
