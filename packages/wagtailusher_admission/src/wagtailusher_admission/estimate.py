"""Running estimates of durations and their deviation."""

from __future__ import annotations

from wagtailusher_admission.const import ESTIMATE_SMOOTHING


class TimeEstimate:
    """A smoothed mean and mean deviation; the first samples weigh more."""

    __slots__ = ("_count", "deviation_ms", "mean_ms")

    def __init__(self) -> None:
        self._count = 0
        self.mean_ms = 0.0
        self.deviation_ms = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether there was a sample."""
        return self._count > 0

    def add(self, sample_ms: float) -> None:
        """Add a sample."""
        self._count += 1
        weight = max(ESTIMATE_SMOOTHING, 1.0 / self._count)
        error_ms = sample_ms - self.mean_ms
        self.mean_ms += weight * error_ms
        self.deviation_ms += weight * (abs(error_ms) * (self._count > 1) - self.deviation_ms)
