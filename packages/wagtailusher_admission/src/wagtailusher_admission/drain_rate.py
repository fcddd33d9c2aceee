"""The rate at which a pool starts requests while others are queued."""

from __future__ import annotations

from wagtailusher_admission.const import DEFAULT_START_INTERVAL_MS, START_INTERVAL_SMOOTHING


class DrainRate:
    """A smoothed interval between the starts of a pool that has a queue."""

    __slots__ = ("_interval_ms", "_last_start_ms")

    def __init__(self) -> None:
        self._interval_ms = DEFAULT_START_INTERVAL_MS
        self._last_start_ms: int | None = None

    def record_start(self, now_ms: int, *, others_wait: bool) -> None:
        """Record a start; intervals without a queue are left out."""
        if self._last_start_ms is not None:
            sample_ms = now_ms - self._last_start_ms
            self._interval_ms += START_INTERVAL_SMOOTHING * (sample_ms - self._interval_ms)
        self._last_start_ms = now_ms if others_wait else None

    def wait_ms(self, requests_ahead: int) -> float:
        """Return the expected wait of a request behind this many others."""
        return (requests_ahead + 1) * self._interval_ms
