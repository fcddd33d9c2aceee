"""Virtual time, processes that can be paused and killed, and unreliable links."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from itertools import count
from random import Random

Step = Callable[[], None]

FAST_MS = (1, 20)
SLOW_MS = (200, 6_000)


class World:
    """Runs steps in the order of virtual time."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_ms = 0
        self.cut: set[frozenset[str]] = set()
        self.loss = 0.0
        self.slow_share = 0.0
        self._order = count()
        self._steps: list[tuple[int, int, Step]] = []

    def after(self, delay_ms: int, step: Step) -> None:
        """Schedule a step after a delay."""
        heapq.heappush(self._steps, (self.now_ms + delay_ms, next(self._order), step))

    def run(self, until_ms: int) -> None:
        """Run all steps up to a time."""
        while self._steps and self._steps[0][0] <= until_ms:
            self.now_ms, _, step = heapq.heappop(self._steps)
            step()

    def delay_ms(self) -> int:
        """Return a random delay that is sometimes long enough to reorder any messages."""
        low_ms, high_ms = SLOW_MS if self.rng.random() < self.slow_share else FAST_MS
        return int(low_ms + self.rng.random() * (high_ms - low_ms))

    def send(self, source: str, target: str, step: Step, *, may_duplicate: bool = True) -> None:
        """Deliver a message with a delay, out of order, twice or never."""
        if frozenset((source, target)) in self.cut or self.rng.random() < self.loss:
            return
        copies = 2 if may_duplicate and self.rng.random() < self.loss else 1
        for _ in range(copies):
            self.after(self.delay_ms(), step)


class Process:
    """A process whose steps are deferred while it is paused and dropped when it is dead."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.alive = True
        self.paused_until_ms = 0

    def step(self, delay_ms: int, step: Step) -> None:
        """Schedule a step of this process after a delay."""
        self.world.after(delay_ms, lambda: self.run(step))

    def run(self, step: Step) -> None:
        """Run a step now, or when the pause ends."""
        if not self.alive:
            return
        if self.world.now_ms < self.paused_until_ms:
            self.world.after(self.paused_until_ms - self.world.now_ms, lambda: self.run(step))
            return
        step()

    def pause(self, duration_ms: int) -> None:
        """Defer all steps for a time."""
        self.paused_until_ms = max(self.paused_until_ms, self.world.now_ms + duration_ms)
