"""Virtual time: callbacks in order of time, and of scheduling at the same time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush


class Timer:
    """A callback that was scheduled and may be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        """Hold a callback."""
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drop the callback."""
        self.callback = None


class VirtualClock:
    """Runs scheduled callbacks without waiting."""

    def __init__(self) -> None:
        """Start at zero."""
        self.time_ms = 0.0
        self._timers: list[tuple[float, int, Timer]] = []
        self._count = 0

    @property
    def now_ms(self) -> int:
        """Return the time as deciders take it."""
        return int(self.time_ms)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback."""
        self._count += 1
        timer = Timer(callback)
        heappush(self._timers, (self.time_ms + max(0.0, delay_ms), self._count, timer))
        return timer

    def call_every(
        self, interval_ms: float, callback: Callable[[], None], *, first_ms: float
    ) -> None:
        """Repeat a callback for good."""

        def repeat() -> None:
            self.call_later(interval_ms, repeat)
            callback()

        self.call_later(first_ms, repeat)

    def run_until(self, end_ms: float) -> None:
        """Run what is due before or at a time."""
        timers = self._timers
        while timers and timers[0][0] <= end_ms:
            self.time_ms, _, timer = heappop(timers)
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                callback()
        self.time_ms = end_ms
