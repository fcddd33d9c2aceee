"""Endpoints that are slow or failing in comparison with their peers."""

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

    __slots__ = ("at_ms", "count", "mean")

    def __init__(self) -> None:
        """Start without samples."""
        self.count = 0
        self.mean = 0.0
        self.at_ms = 0

    def add(self, value: float, now_ms: int) -> None:
        """Take in a sample."""
        self.count += 1
        self.mean += max(PACE_WEIGHT, 1 / self.count) * (value - self.mean)
        self.at_ms = now_ms

    def known(self) -> float | None:
        """Return the mean when there are enough samples for a comparison."""
        return self.mean if self.count >= PACE_MIN_SAMPLES else None


class EndpointHealth:
    """How fast one endpoint answers, how it fails, and whether it is ejected."""

    __slots__ = (
        "between_tokens",
        "ejected_until_ms",
        "ejections",
        "failures",
        "first_token",
        "slowness",
    )

    def __init__(self) -> None:
        """Start healthy."""
        self.first_token = Pace()
        self.between_tokens = Pace()
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0
        self.slowness = 1.0

    def succeeded(self) -> None:
        """Note a whole answer."""
        self.failures = 0

    def failed(self) -> None:
        """Note a request that failed for the endpoint's sake."""
        self.failures += 1

    def ease_off(self, ratio: float | None, now_ms: int) -> None:
        """Take over how many times slower than its peers the endpoint is."""
        if ratio is None:
            self.slowness = 1.0
            return
        last_ms = max(self.first_token.at_ms, self.between_tokens.at_ms)
        recovery = 0.5 ** (max(0, now_ms - last_ms) / PACE_RECOVERY_HALF_LIFE_MS)
        excess = max(0.0, min(ratio, MAX_SLOWNESS) - 1.0) * recovery
        self.slowness = 1.0 + excess if 1.0 + excess >= SLOW_FROM_RATIO else 1.0

    def eject(self, now_ms: int) -> None:
        """Take the endpoint out for a time that doubles with each ejection in a row."""
        duration_ms = min(MAX_EJECTION_MS, EJECTION_MS << min(self.ejections, 8))
        self.ejections += 1
        self.ejected_until_ms = now_ms + duration_ms
        self.failures = 0
        self.first_token = Pace()
        self.between_tokens = Pace()


def ratios_to_peers(values: Mapping[KeyT, float]) -> dict[KeyT, float]:
    """Return each value as a ratio to the median of the others; alone, it has no peers."""
    if len(values) < 2:
        return {}
    ordered = sorted(values.values())
    ratios: dict[KeyT, float] = {}
    for key, value in values.items():
        middle = _median_without(ordered, bisect_left(ordered, value))
        ratios[key] = value / middle if middle > 0 else 1.0
    return ratios


def _median_without(ordered: Sequence[float], left_out: int) -> float:
    """Return the median of sorted values without the one at an index."""
    count = len(ordered) - 1
    low, high = (count - 1) // 2, count // 2
    return (ordered[low + (low >= left_out)] + ordered[high + (high >= left_out)]) / 2


def compare_with_peers(peers: Mapping[EndpointId, EndpointHealth], now_ms: int) -> None:
    """Ease off the stragglers of one pool and eject a bounded number of the worst."""
    first = _known({key: health.first_token for key, health in peers.items()})
    between = _known({key: health.between_tokens for key, health in peers.items()})
    first_ratios = ratios_to_peers(first)
    between_ratios = ratios_to_peers(between)
    for key, health in peers.items():
        found = [ratios[key] for ratios in (first_ratios, between_ratios) if key in ratios]
        health.ease_off(max(found, default=None), now_ms)
        if found and max(found) < SLOW_FROM_RATIO and not health.failures:
            health.ejections = 0
    for health in ejectable(peers.values(), now_ms):
        health.eject(now_ms)


def ejectable(
    peers: Iterable[EndpointHealth], now_ms: int, max_share: float = MAX_EJECTED_SHARE
) -> Sequence[EndpointHealth]:
    """Return those to eject, worst first, as far as the bounded share of the pool allows."""
    members = list(peers)
    out = sum(1 for health in members if now_ms < health.ejected_until_ms)
    allowed = int(len(members) * max_share) - out
    if allowed <= 0:
        return ()
    bad = [
        health
        for health in members
        if now_ms >= health.ejected_until_ms
        and (health.failures >= EJECT_FROM_FAILURES or health.slowness >= EJECT_FROM_RATIO)
    ]
    bad.sort(key=lambda health: (-health.failures, -health.slowness))
    return bad[:allowed]


def _known(paces: Mapping[EndpointId, Pace]) -> dict[EndpointId, float]:
    """Return the paces that have enough samples."""
    return {key: mean for key, pace in paces.items() if (mean := pace.known()) is not None}
