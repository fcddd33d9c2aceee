"""Processes and links of a scenario: pauses, deaths, partitions and loss."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wagtailusher_bench.fakes import VirtualClock

Step = Callable[[], None]

NEAR_MS = 1.0
LINK_MS = 1.5


class Process:
    """A process whose steps wait while it is paused and vanish once it is dead."""

    def __init__(self, clock: VirtualClock) -> None:
        """Start running."""
        self.clock = clock
        self.alive = True
        self._paused_until_ms = 0.0

    @property
    def is_paused(self) -> bool:
        """Return whether steps wait at present."""
        return self.clock.time_ms < self._paused_until_ms

    def run(self, step: Step) -> None:
        """Run a step now, or once the process wakes."""
        if not self.alive:
            return
        if self.is_paused:
            self.clock.call_later(
                self._paused_until_ms - self.clock.time_ms, lambda: self.run(step)
            )
            return
        step()

    def call_later(self, delay_ms: float, step: Step) -> None:
        """Run a step of this process later."""
        self.clock.call_later(delay_ms, lambda: self.run(step))

    def call_every(self, interval_ms: float, step: Step, *, first_ms: float) -> None:
        """Repeat a step as long as the process lives."""

        def repeat() -> None:
            step()
            self.call_later(interval_ms, repeat)

        self.call_later(first_ms, repeat)

    def pause(self, duration_ms: float) -> None:
        """Stop all steps for a time."""
        self._paused_until_ms = max(self._paused_until_ms, self.clock.time_ms + duration_ms)


class Links:
    """Messages between named places, each in a failure domain."""

    def __init__(self, clock: VirtualClock, rng: Random) -> None:
        """Connect everything."""
        self._clock = clock
        self._rng = rng
        self._cuts: set[frozenset[str]] = set()
        self.domains: dict[str, str] = {}
        self.lost_percent = 0

    def cut(self, one: str, other: str) -> None:
        """Part two places; the name of a failure domain stands for all in it."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Connect everything again."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two places."""
        if not self._cuts:
            return False
        names = (one, self.domains.get(one, ""))
        others = (other, self.domains.get(other, ""))
        return any(frozenset((a, b)) in self._cuts for a in names for b in others if a != b)

    def send(self, one: str, other: str, step: Step, *, may_lose: bool = False) -> None:
        """Deliver a message unless the places are parted; datagrams may be lost as well."""
        if self.is_cut(one, other):
            return
        if may_lose and self._rng.random() * 100 < self.lost_percent:
            return
        self._clock.call_later(LINK_MS, step)
