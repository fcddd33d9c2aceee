"""An endpoint that counts what it runs and whose answers come late, cut short or never."""

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
        """Start without any runs."""
        self.world = world
        self.truncated_share = truncated_share
        self.runs_by_handle: Counter[str] = Counter()
        self.runs_by_booking: Counter[str] = Counter()

    def send(self, node: str, work: Work, back: Callable[[bytes, bool], None]) -> None:
        """Take bytes from a node; they arrive once, late or never."""
        self.world.send(node, ENDPOINT, lambda: self._run(node, work, back), may_duplicate=False)

    def _run(self, node: str, work: Work, back: Callable[[bytes, bool], None]) -> None:
        """Run a request and answer it."""
        self.runs_by_handle[work.handle] += 1
        self.runs_by_booking[work.booking] += 1
        is_whole = self.world.rng.random() >= self.truncated_share
        body = answer_to(work.body)
        service_ms = self.world.rng.randint(*SERVICE_MS)
        self.world.after(
            service_ms,
            lambda: self.world.send(ENDPOINT, node, lambda: back(body, is_whole)),
        )
