"""A caller of a scenario, who retries as a client library would."""

from __future__ import annotations

from typing import TYPE_CHECKING
from uuid import UUID

from tests.scenario.calls import Attempt, Call, Reply, answer_to
from tests.scenario.clockwork import NEAR_MS
from tests.scenario.node import WALL_BASE_MS, EntryNode
from wagtailusher_core import ErrorCode, Outcome

if TYPE_CHECKING:
    from tests.scenario.fleet import Fleet

MAX_ATTEMPTS = 5
MAX_REPEATS = 20
RETRY_MS = 300
PATIENCE_MS = 5_000
TOKEN_PATIENCE_MS = 100
_ELSEWHERE = frozenset({ErrorCode.DRAINING, ErrorCode.NOT_READY, ErrorCode.TICKET_EXPIRED})
_UUID_VERSION_BITS = 7 << 76 | 2 << 62


class Caller:
    """Carries one call through its attempts."""

    def __init__(
        self, fleet: Fleet, call: Call, *, first_node: int, by_key: bool, repeating: bool
    ) -> None:
        """Prepare a call; nodes are tried in turn from a first one."""
        self._fleet = fleet
        self._call = call
        self._next_node = first_node
        self._by_key = by_key
        self._repeating = repeating
        self._ticket: str | None = None
        self._key: str | None = None
        self._sendings = 0
        self._number = 0
        self._node: EntryNode | None = None
        self._attempt: Attempt | None = None

    def start(self) -> None:
        """Take a ticket or a key where the call needs one, then send."""
        self._ticket = self._key = None
        self._sendings = 0
        self._node = self._pick_node()
        if not self._node.alive:
            self._retry_elsewhere()
        elif self._call.spec.repeatable:
            self._send()
        elif self._by_key:
            self._key = self._draw_key()
            self._send()
        else:
            self._ask_for_ticket(self._node)

    def _ask_for_ticket(self, node: EntryNode) -> None:
        """Ask a node for a ticket, or another when no answer comes."""
        self._number += 1
        number = self._number

        def answer() -> None:
            ticket = node.mint_ticket() if node.peers.is_ready else None
            self._fleet.clock.call_later(NEAR_MS, lambda: self._take_ticket(number, ticket))

        self._fleet.clock.call_later(NEAR_MS, lambda: node.run(answer))
        self._fleet.clock.call_later(PATIENCE_MS, lambda: self._give_up_waiting(number))

    def _take_ticket(self, number: int, ticket: str | None) -> None:
        """Send with the ticket; a node that isn't ready mints none."""
        if self._number != number or self._call.outcome is not None:
            return
        if ticket is None:
            self._retry_elsewhere()
            return
        self._ticket = ticket
        self._send()

    def _give_up_waiting(self, number: int) -> None:
        """Ask another node for a ticket."""
        if self._number == number and self._ticket is None:
            self._retry_elsewhere()

    def _draw_key(self) -> str:
        """Return a key that carries the present time."""
        wall_ms = WALL_BASE_MS + self._fleet.clock.now_ms
        bits = wall_ms << 80 | _UUID_VERSION_BITS | self._fleet.rng.getrandbits(62)
        return str(UUID(int=bits))

    def _send(self) -> None:
        """Send one attempt to the node at hand."""
        node = self._node
        if node is None or not node.alive:
            self._retry_elsewhere()
            return
        self._number += 1
        attempt = Attempt(
            attempt_id=f"{self._call.call_id}/{self._number}",
            call=self._call,
            body=self._call.body,
            ticket=self._ticket,
            key=self._key,
            is_first=not self._sendings,
            sent_ms=self._fleet.clock.time_ms,
        )
        self._sendings += 1
        self._attempt = attempt
        clock = self._fleet.clock

        def answer(reply: Reply) -> None:
            clock.call_later(NEAR_MS, lambda: self._receive(reply))

        def arrive() -> None:
            if node.alive:
                node.run(lambda: node.receive(attempt, answer))
            elif self._attempt is attempt:
                self._sendings -= 1
                self._attempt = None
                self._retry_elsewhere()

        clock.call_later(NEAR_MS, arrive)
        patience_ms = max(PATIENCE_MS, 3 * self._call.spec.target_ms)
        patience_ms += self._call.spec.output_tokens * TOKEN_PATIENCE_MS
        clock.call_later(patience_ms, lambda: self._time_out(attempt, node))

    def _time_out(self, attempt: Attempt, node: EntryNode) -> None:
        """Leave when an answer doesn't come."""
        if self._attempt is not attempt or self._call.outcome is not None:
            return
        node.run(lambda: node.handle_caller_disconnect(attempt))
        self._receive(Reply(attempt=attempt, outcome=Outcome.UNKNOWN, code=ErrorCode.CALLER_LEFT))

    def _receive(self, reply: Reply) -> None:
        """Act on the reply to the newest attempt."""
        call = self._call
        if reply.attempt is not self._attempt or call.outcome is not None:
            return
        call.code = reply.code
        if reply.outcome is Outcome.COMPLETED:
            self._complete(reply)
            return
        if reply.outcome is Outcome.NOT_RUN:
            self._fleet.note_not_run(reply.attempt)
            is_over = reply.code not in _ELSEWHERE and not self._repeating
        else:
            self._fleet.cut_off += 1
            is_over = False
        limit = MAX_REPEATS if self._repeating else MAX_ATTEMPTS
        if is_over or self._number >= limit:
            self._end(reply.outcome)
            return
        self._attempt = None
        pause_ms = max(RETRY_MS, reply.retry_after_ms)
        self._fleet.clock.call_later(pause_ms, lambda: self._again(reply))

    def _again(self, reply: Reply) -> None:
        """Try another node: with the same handle unless that was refused."""
        is_unsent = reply.code is ErrorCode.HOME_GONE and self._sendings == 1
        if reply.outcome is Outcome.NOT_RUN or is_unsent or self._call.spec.repeatable:
            self.start()
            return
        self._node = self._pick_node()
        self._send()

    def _retry_elsewhere(self) -> None:
        """Try another node after nothing was sent to this one."""
        self._number += 1
        if self._number >= MAX_REPEATS:
            sent = self._sendings > 0
            self._end(Outcome.UNKNOWN if sent else Outcome.NOT_RUN)
            return

        def again() -> None:
            if self._sendings:
                self._node = self._pick_node()
                self._send()
            else:
                self.start()

        self._fleet.clock.call_later(RETRY_MS, again)

    def _complete(self, reply: Reply) -> None:
        """Check the answer and end."""
        if reply.answer and reply.answer != answer_to(self._call.body):
            self._fleet.violations.append(
                f"{self._call.call_id} was answered {reply.answer.decode()}"
            )
        if not self._call.runs:
            self._fleet.violations.append(f"{self._call.call_id} completed and never ran")
        self._call.answer = reply.answer
        self._end(Outcome.COMPLETED)

    def _end(self, outcome: Outcome) -> None:
        """Note how the call ended."""
        self._call.outcome = outcome
        self._call.ended_ms = self._fleet.clock.time_ms

    def _pick_node(self) -> EntryNode:
        """Return the next node in turn."""
        node = self._fleet.numbered[self._next_node % len(self._fleet.numbered)]
        self._next_node += 1
        return node
