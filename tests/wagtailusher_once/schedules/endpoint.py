"""An endpoint that counts runs and whose answers may be late, truncated or lost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from tests.wagtailusher_once.schedules.messages import Work, answer_to
from tests.wagtailusher_once.schedules.world import World

ENDPOINT = "endpoint"
SERVICE_MS = (1, 300)


class Endpoint:
    """Runs each request that reaches it."""

    def __init__(self, world: World, *, truncated_share: float) -> None:
        self.world = world
        self.truncated_share = truncated_share
        self.runs_by_handle: Counter[str] = Counter()
        self.runs_by_booking: Counter[str] = Counter()

    def send(self, node: str, work: Work, respond: Callable[[bytes, bool], None]) -> None:
        """Deliver work from a node once, late or never."""
        self.world.send(node, ENDPOINT, lambda: self._run(node, work, respond), may_duplicate=False)

    def _run(self, node: str, work: Work, respond: Callable[[bytes, bool], None]) -> None:
        """Run a request and answer it."""
        self.runs_by_handle[work.handle] += 1
        self.runs_by_booking[work.booking] += 1
        is_complete = self.world.rng.random() >= self.truncated_share
        body = answer_to(work.body)
        service_ms = self.world.rng.randint(*SERVICE_MS)
        self.world.after(
            service_ms,
            lambda: self.world.send(ENDPOINT, node, lambda: respond(body, is_complete)),
        )
