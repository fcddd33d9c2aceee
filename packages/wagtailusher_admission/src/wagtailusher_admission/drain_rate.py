"""How fast a pool takes requests while some wait."""

from __future__ import annotations

from wagtailusher_admission.const import DEFAULT_START_INTERVAL_MS, START_INTERVAL_SMOOTHING


class DrainRate:
    """A smoothed interval between the starts of a pool that has a queue."""

    __slots__ = ("_interval_ms", "_last_start_ms")

    def __init__(self) -> None:
        """Start without a measurement."""
        self._interval_ms = DEFAULT_START_INTERVAL_MS
        self._last_start_ms: int | None = None

    def started(self, now_ms: int, *, others_wait: bool) -> None:
        """Count a start; time without a queue is left out."""
        if self._last_start_ms is not None:
            sample_ms = now_ms - self._last_start_ms
            self._interval_ms += START_INTERVAL_SMOOTHING * (sample_ms - self._interval_ms)
        self._last_start_ms = now_ms if others_wait else None

    def wait_ms(self, requests_ahead: int) -> float:
        """Return how long it takes to start this many requests and one more."""
        return (requests_ahead + 1) * self._interval_ms
