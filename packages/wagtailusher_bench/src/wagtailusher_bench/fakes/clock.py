"""A virtual clock; callbacks due at the same time run in the order of scheduling."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; no effect if it already ran."""
        self.callback = None


class VirtualClock:
    """Runs scheduled callbacks in virtual time, without waiting."""

    def __init__(self) -> None:
        self.time_ms = 0.0
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_count = 0

    @property
    def now_ms(self) -> int:
        """Return the time in whole ms, as deciders expect it."""
        return int(self.time_ms)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback once; a negative delay counts as zero."""
        self._timer_count += 1
        timer = Timer(callback)
        heappush(self._timers, (self.time_ms + max(0.0, delay_ms), self._timer_count, timer))
        return timer

    def call_every(
        self, interval_ms: float, callback: Callable[[], None], *, first_ms: float
    ) -> None:
        """Schedule a callback periodically without end, first after `first_ms`."""

        def repeat() -> None:
            self.call_later(interval_ms, repeat)
            callback()

        self.call_later(first_ms, repeat)

    def run_until(self, end_ms: float) -> None:
        """Run all callbacks due up to and including `end_ms` and advance the clock to it."""
        timers = self._timers
        while timers and timers[0][0] <= end_ms:
            self.time_ms, _, timer = heappop(timers)
            callback = timer.callback
            if callback is not None:
                timer.callback = None
                callback()
        self.time_ms = end_ms
