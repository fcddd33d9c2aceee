"""A caller that makes one booking and retries at any node until it knows the outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from uuid import UUID

from tests.wagtailusher_once.schedules.messages import Attempt, Reply
from tests.wagtailusher_once.schedules.node import WALL_BASE_MS, Node
from wagtailusher_core import Outcome

if TYPE_CHECKING:
    from tests.wagtailusher_once.schedules.schedule import Schedule

MAX_HANDLES = 3
MAX_ATTEMPTS = 6
ANSWER_TIMEOUT_MS = (500, 5_000)
RETRY_MS = (0, 800)
OTHER_BODY_SHARE = 0.05
UUID_VERSION_BITS = 7 << 76 | 2 << 62


class Caller:
    """Sends attempts with one handle, and gets a new handle only after a `not_run` reply."""

    def __init__(self, schedule: Schedule, name: str, *, uses_key: bool) -> None:
        self.schedule = schedule
        self.world = schedule.world
        self.name = name
        self.uses_key = uses_key
        self.handle = ""
        self.first_sent_wall_ms = 0
        self.handle_attempts = 0
        self.handles = 0
        self.attempt_number = 0
        self.outcome: Outcome | None = None
        half_skew_ms = schedule.limits.max_clock_skew_ms // 2
        self.wall_offset_ms = self.world.rng.randint(-half_skew_ms, half_skew_ms)

    def start(self) -> None:
        """Request a ticket or generate a key, then send the first attempt."""
        if self.handles >= MAX_HANDLES:
            self.outcome = Outcome.NOT_RUN
            return
        self.handles += 1
        self.handle_attempts = 0
        if self.uses_key:
            self._generate_key()
            return
        self.handle = ""
        self._request_ticket()

    def _generate_key(self) -> None:
        """Generate a key that contains the current wall time, and send the first attempt."""
        self.first_sent_wall_ms = WALL_BASE_MS + self.world.now_ms + self.wall_offset_ms
        bits = self.first_sent_wall_ms << 80 | UUID_VERSION_BITS | self.world.rng.getrandbits(62)
        self.handle = str(UUID(int=bits))
        self._attempt()

    def _request_ticket(self) -> None:
        """Request a ticket from a random node, and again until one arrives."""
        if self.handle or self.outcome is not None:
            return
        node = self._pick_node()

        def issue_ticket() -> None:
            text = node.ticket_issuer.issue(node.now_wall_ms)
            self.world.send(node.vm_id, self.name, lambda: self._use_ticket(text))

        self.world.send(self.name, node.vm_id, lambda: node.run(issue_ticket))
        self.world.after(self.world.rng.randint(*ANSWER_TIMEOUT_MS), self._request_ticket)

    def _use_ticket(self, text: str) -> None:
        """Use the first ticket that arrives, after a random delay."""
        if not self.handle:
            self.handle = text
            hold_ms = self.world.rng.randint(*self.schedule.conditions.ticket_hold_ms)
            self.world.after(hold_ms, self._attempt)

    def _attempt(self) -> None:
        """Send one attempt, and schedule a retry for when no answer arrives in time."""
        if self.outcome is not None:
            return
        if self.handle_attempts >= MAX_ATTEMPTS:
            self.outcome = Outcome.UNKNOWN
            return
        self.attempt_number += 1
        self.handle_attempts += 1
        attempt_number = self.attempt_number
        is_first = self.handle_attempts == 1
        self._send(attempt_number, self._own_body(), is_first=is_first)
        if not is_first and self.world.rng.random() < OTHER_BODY_SHARE:
            self._send(attempt_number, b"other " + self._own_body(), is_first=False)
        if self.world.rng.random() < self.schedule.conditions.hedge_share:
            self._retry(attempt_number, self.world.rng.randint(*RETRY_MS))
        self._retry(attempt_number, self.world.rng.randint(*ANSWER_TIMEOUT_MS))

    def _own_body(self) -> bytes:
        """Return the body of this caller's booking."""
        return f"{self.name}-{self.handles}".encode()

    def _send(self, attempt_number: int, body: bytes, *, is_first: bool) -> None:
        """Send a body to a random node."""
        node = self._pick_node()
        attempt = Attempt(
            caller=self.name,
            number=attempt_number,
            booking=self.name,
            handle=self.handle,
            body=body,
            is_key=self.uses_key,
            first_sent_wall_ms=self.first_sent_wall_ms,
            first_attempt=is_first,
        )
        answer = self._reply_callback(node, body)
        self.world.send(
            self.name,
            node.vm_id,
            lambda: node.run(lambda: node.receive(attempt, answer)),
            may_duplicate=not is_first,
        )

    def _reply_callback(self, node: Node, body: bytes) -> Callable[[Reply], None]:
        """Return the callback that sends a node's reply to this caller."""
        return lambda reply: self.world.send(
            node.vm_id, self.name, lambda: self._receive(reply, body)
        )

    def _retry(self, attempt_number: int, delay_ms: int) -> None:
        """Attempt again later unless a newer attempt was sent meanwhile."""

        def step() -> None:
            if self.attempt_number == attempt_number:
                self._attempt()

        self.world.after(delay_ms, step)

    def _receive(self, reply: Reply, body: bytes) -> None:
        """Check a reply, and handle it when it belongs to the newest attempt."""
        is_late = reply.handle != self.handle or reply.number != self.attempt_number
        self.schedule.check_reply(reply, body, is_late=is_late)
        if self.outcome is not None or reply.handle != self.handle:
            return
        if reply.outcome is Outcome.COMPLETED:
            self.outcome = Outcome.COMPLETED
            return
        if reply.number != self.attempt_number:
            return
        is_unsent = reply.is_home_gone and self.handle_attempts == 1
        if reply.outcome is Outcome.NOT_RUN or is_unsent:
            self.start()
            return
        self._retry(self.attempt_number, self.world.rng.randint(*RETRY_MS))

    def _pick_node(self) -> Node:
        """Return a random process, including dead and replaced ones."""
        return self.world.rng.choice(self.schedule.processes)
