"""Robust estimates from observations that fade with age, joined over the VMs of a fleet."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
import math

from wagtailusher_core import VmId

MEMORY_MS = 15_000
"""Age at which an observation no longer counts; an engine that turns slow is followed in half."""

MAX_OBSERVATIONS = 24
"""Most observations of one quantity at one VM; some minutes of a VM in a large fleet."""

ESTIMATE_MS = 400
"""How long a computed estimate is used; a heartbeat tells each engine's about as often."""

QUANTILE = 0.4
"""Quantile taken of times; below a half, as unknown load and slow spells only lengthen them."""

MAX_VM_WEIGHT = 8.0
"""Largest weight of one VM's observations of an engine, so that one VM alone never decides."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Weighted:
    """A value and the number of observations that it stands for."""

    value: float
    weight: float


NOTHING = Weighted(value=0.0, weight=0.0)
"""Stands for no observation."""


class Observations:
    """The last observations of one quantity at this VM."""

    __slots__ = ("_computed_ms", "_estimate", "_items")

    def __init__(self) -> None:
        self._items: deque[tuple[float, float, int]] = deque(maxlen=MAX_OBSERVATIONS)
        self._estimate = NOTHING
        self._computed_ms: int | None = None

    def add(self, value: float, weight: float, now_ms: int) -> None:
        """Add an observation; its weight is 1 if nothing is in doubt."""
        self._items.append((value, weight, now_ms))

    def estimate(self, now_ms: int) -> Weighted:
        """Return the quantile of the observations that still count, at most a while old."""
        if not self._items:
            return NOTHING
        if self._computed_ms is None or now_ms - self._computed_ms >= ESTIMATE_MS:
            self._computed_ms = now_ms
            self._estimate = quantile(
                (value, weight * remaining_share(now_ms - at_ms))
                for value, weight, at_ms in self._items
            )
        return self._estimate


class SharedEstimate:
    """One quantity of one engine: this VM's observations and what peers reported of theirs."""

    __slots__ = ("_own", "_peers")

    def __init__(self) -> None:
        self._own = Observations()
        self._peers: dict[VmId, tuple[float, float, int]] = {}
        """Value, weight and time of the last report of each peer."""

    def add(self, value: float, weight: float, now_ms: int) -> None:
        """Add an observation of this VM."""
        self._own.add(value, weight, now_ms)

    def set_peer(self, vm_id: VmId, value: float, weight: float, sent_ms: int) -> None:
        """Replace what a peer reported."""
        self._peers[vm_id] = (value, min(MAX_VM_WEIGHT, weight), sent_ms)

    def own(self, now_ms: int) -> Weighted:
        """Return this VM's estimate from its own observations."""
        return self._own.estimate(now_ms)

    def joined(self, now_ms: int) -> Weighted:
        """Return the estimate of all VMs, each with its weight and age."""
        own = self._own.estimate(now_ms)
        if not self._peers:
            return quantile(((own.value, min(MAX_VM_WEIGHT, own.weight)),))
        reports = [(own.value, min(MAX_VM_WEIGHT, own.weight))]
        for vm_id, (value, weight, sent_ms) in list(self._peers.items()):
            share = remaining_share(now_ms - sent_ms)
            if not share:
                del self._peers[vm_id]
                continue
            reports.append((value, share * weight))
        return quantile(reports)


def remaining_share(age_ms: int) -> float:
    """Return the share of its weight that an observation of some age still has."""
    return max(0.0, 1.0 - max(0, age_ms) / MEMORY_MS)


def quantile(items: Iterable[tuple[float, float]]) -> Weighted:
    """Return the weighted quantile of values and weights, with the sum of the weights."""
    ordered = sorted(item for item in items if item[1] > 0)
    total = sum(weight for _, weight in ordered)
    below = 0.0
    for value, weight in ordered:
        below += weight
        if below >= QUANTILE * total:
            return Weighted(value=value, weight=total)
    return NOTHING


def shrink(base: float, base_weight: float, items: Iterable[Weighted]) -> float:
    """Return the geometric mean of values and of a base that counts as some observations."""
    total, total_weight = 0.0, base_weight
    for item in items:
        if item.weight > 0 and item.value > 0:
            total += item.weight * math.log(item.value / base)
            total_weight += item.weight
    return base * math.exp(total / total_weight)
