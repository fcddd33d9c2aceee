"""Detection of endpoints that are slow or failing in comparison with their peers."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

from wagtailusher_core import EndpointId
from wagtailusher_placement.const import (
    EJECT_FROM_FAILURES,
    EJECT_FROM_RATIO,
    EJECTION_MS,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_MS,
    MAX_SLOWNESS,
    PACE_MIN_SAMPLES,
    PACE_RECOVERY_HALF_LIFE_MS,
    PACE_WEIGHT,
    SLOW_FROM_RATIO,
)

KeyT = TypeVar("KeyT")


class Pace:
    """A moving average of how long something takes."""

    __slots__ = ("last_sample_ms", "count", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.last_sample_ms = 0

    def add(self, value: float, now_ms: int) -> None:
        """Add a sample."""
        self.count += 1
        self.mean += max(PACE_WEIGHT, 1 / self.count) * (value - self.mean)
        self.last_sample_ms = now_ms

    def mean_if_sampled(self) -> float | None:
        """Return the mean, or None with too few samples for a comparison."""
        return self.mean if self.count >= PACE_MIN_SAMPLES else None


class EndpointHealth:
    """One endpoint's response times, failures and ejection."""

    __slots__ = (
        "between_tokens",
        "ejected_until_ms",
        "ejections",
        "failures",
        "first_token",
        "slowness",
    )

    def __init__(self) -> None:
        self.first_token = Pace()
        self.between_tokens = Pace()
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.slowness = 1.0

    def record_success(self) -> None:
        """Record a complete answer, which resets the count of failures."""
        self.failures = 0

    def record_failure(self) -> None:
        """Record a request that failed because of the endpoint."""
        self.failures += 1

    def update_slowness(self, ratio: float | None, now_ms: int) -> None:
        """Set the slowness from the endpoint's time as a ratio to its peers', None if unknown."""
        if ratio is None:
            self.slowness = 1.0
            return
        last_ms = max(self.first_token.last_sample_ms, self.between_tokens.last_sample_ms)
        recovery = 0.5 ** (max(0, now_ms - last_ms) / PACE_RECOVERY_HALF_LIFE_MS)
        excess = max(0.0, min(ratio, MAX_SLOWNESS) - 1.0) * recovery
        self.slowness = 1.0 + excess if 1.0 + excess >= SLOW_FROM_RATIO else 1.0

    def eject(self, now_ms: int) -> None:
        """Eject the endpoint for a time that doubles with each consecutive ejection."""
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS << min(self.ejections, 8))
        self.ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self.failures = 0
        self.first_token = Pace()
        self.between_tokens = Pace()


def ratios_to_peers(values: Mapping[KeyT, float]) -> dict[KeyT, float]:
    """Return each value as a ratio to the median of the others; nothing for a single value."""
    if len(values) < 2:
        return {}
    ordered = sorted(values.values())
    ratios: dict[KeyT, float] = {}
    for key, value in values.items():
        middle = _median_without(ordered, bisect_left(ordered, value))
        ratios[key] = value / middle if middle > 0 else 1.0
    return ratios


def _median_without(ordered: Sequence[float], left_out: int) -> float:
    """Return the median of sorted values, leaving out the one at an index."""
    count = len(ordered) - 1
    low, high = (count - 1) // 2, count // 2
    return (ordered[low + (low >= left_out)] + ordered[high + (high >= left_out)]) / 2


def compare_with_peers(peers: Mapping[EndpointId, EndpointHealth], now_ms: int) -> None:
    """Update the slowness of a pool's endpoints and eject a bounded number of the worst."""
    first_means = _sampled_means({key: health.first_token for key, health in peers.items()})
    between_means = _sampled_means({key: health.between_tokens for key, health in peers.items()})
    first_ratios = ratios_to_peers(first_means)
    between_ratios = ratios_to_peers(between_means)
    for key, health in peers.items():
        ratios_found = [ratios[key] for ratios in (first_ratios, between_ratios) if key in ratios]
        health.update_slowness(max(ratios_found, default=None), now_ms)
        if ratios_found and max(ratios_found) < SLOW_FROM_RATIO and not health.failures:
            health.ejections = 0
    for health in endpoints_to_eject(peers.values(), now_ms):
        health.eject(now_ms)


def endpoints_to_eject(
    peers: Iterable[EndpointHealth], now_ms: int, max_share: float = MAX_EJECTED_SHARE
) -> Sequence[EndpointHealth]:
    """Return the endpoints to eject, worst first, limited to a share of the pool."""
    members = list(peers)
    ejected_count = sum(1 for health in members if now_ms < health.ejected_until_ms)
    allowed = int(len(members) * max_share) - ejected_count
    if allowed <= 0:
        return ()
    candidates = [
        health
        for health in members
        if now_ms >= health.ejected_until_ms
        and (health.failures >= EJECT_FROM_FAILURES or health.slowness >= EJECT_FROM_RATIO)
    ]
    candidates.sort(key=lambda health: (-health.failures, -health.slowness))
    return candidates[:allowed]


def _sampled_means(paces: Mapping[EndpointId, Pace]) -> dict[EndpointId, float]:
    """Return the means of the paces that have enough samples."""
    return {
        key: mean for key, pace in paces.items() if (mean := pace.mean_if_sampled()) is not None
    }
