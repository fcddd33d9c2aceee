"""Simulated processes and links: pauses, terminations, partitions and message loss."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wagtailusher_bench.fakes import VirtualClock

Callback = Callable[[], None]

CALLER_DELAY_MS = 1.0
LINK_DELAY_MS = 1.5


class Process:
    """A process whose callbacks are deferred while it is paused and dropped once it has ended."""

    def __init__(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.alive = True
        self._paused_until_ms = 0.0

    @property
    def is_paused(self) -> bool:
        """Return whether callbacks are deferred at present."""
        return self.clock.time_ms < self._paused_until_ms

    def run(self, callback: Callback) -> None:
        """Run a callback now, or at the end of the pause."""
        if not self.alive:
            return
        if self.is_paused:
            self.clock.call_later(
                self._paused_until_ms - self.clock.time_ms, lambda: self.run(callback)
            )
            return
        callback()

    def call_later(self, delay_ms: float, callback: Callback) -> None:
        """Run a callback in this process after a delay."""
        self.clock.call_later(delay_ms, lambda: self.run(callback))

    def call_every(self, interval_ms: float, callback: Callback, *, first_ms: float) -> None:
        """Run a callback periodically while the process is alive."""

        def repeat() -> None:
            callback()
            self.call_later(interval_ms, repeat)

        self.call_later(first_ms, repeat)

    def pause(self, duration_ms: float) -> None:
        """Defer all callbacks for a duration; overlapping pauses end with the last."""
        self._paused_until_ms = max(self._paused_until_ms, self.clock.time_ms + duration_ms)


class Links:
    """Links between named nodes and endpoints, each in a failure domain."""

    def __init__(self, clock: VirtualClock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._partitions: set[frozenset[str]] = set()
        self.domain_by_name: dict[str, str] = {}
        self.loss_percent = 0

    def cut(self, first: str, second: str) -> None:
        """Cut the link of two names; a failure domain's name stands for all its members."""
        self._partitions.add(frozenset((first, second)))

    def heal(self) -> None:
        """Restore all links."""
        self._partitions.clear()

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether the link of two names is cut."""
        if not self._partitions:
            return False
        first_names = (first, self.domain_by_name.get(first, ""))
        second_names = (second, self.domain_by_name.get(second, ""))
        return any(
            frozenset((first_name, second_name)) in self._partitions
            for first_name in first_names
            for second_name in second_names
            if first_name != second_name
        )

    def send(
        self, sender: str, receiver: str, callback: Callback, *, may_lose: bool = False
    ) -> None:
        """Deliver a message unless the link is cut; datagrams are also subject to random loss."""
        if self.is_cut(sender, receiver):
            return
        if may_lose and self._rng.random() * 100 < self.loss_percent:
            return
        self._clock.call_later(LINK_DELAY_MS, callback)
