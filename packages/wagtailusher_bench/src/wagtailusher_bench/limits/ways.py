"""Three ways in which one VM finds out how fast it may send to an endpoint with a limit."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from wagtailusher_core import EndpointId, VmId
from wagtailusher_rate_limits import RateLimitDecider

ENDPOINT = EndpointId("i-1")
DEMAND_MEMORY_MS = 1_000
"""Time over which a VM counts the requests that it could send, and believes its peers' counts."""
MS_PER_S = 1000


class Way(Protocol):
    """One VM's decisions; the fleet calls it with the VMs that it believes to be live."""

    def may_send(self, live_ids: tuple[VmId, ...], now_ms: int) -> bool:
        """Return whether a request may be sent now."""

    def record_sent(self, now_ms: int) -> None:
        """Record a request that is sent."""


@dataclass(slots=True, kw_only=True)
class _Paced:
    """Keeps the interval that a share sets between two requests."""

    limit_per_s: float
    sent_ms: int | None = None

    def is_due(self, share: float, now_ms: int) -> bool:
        """Return whether the interval of a share of the limit has passed."""
        if share <= 0:
            return False
        if self.sent_ms is None:
            return True
        return now_ms >= self.sent_ms + MS_PER_S / (share * self.limit_per_s)


class CountWay:
    """Each live VM has an equal share."""

    def __init__(self, vm_id: VmId, limit_per_s: float) -> None:
        self._paced = _Paced(limit_per_s=limit_per_s)

    def may_send(self, live_ids: tuple[VmId, ...], now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        return self._paced.is_due(1 / max(1, len(live_ids)), now_ms)

    def record_sent(self, now_ms: int) -> None:
        """Record a request that is sent."""
        self._paced.sent_ms = now_ms


class DemandWay:
    """Each VM has a share by its part of the fleet's demand, which VMs tell each other."""

    def __init__(self, vm_id: VmId, limit_per_s: float) -> None:
        self._paced = _Paced(limit_per_s=limit_per_s)
        self._wanted_ms: deque[int] = deque()
        self._told: dict[VmId, tuple[int, int]] = {}

    def record_wanted(self, now_ms: int) -> None:
        """Record a request that could be sent to the endpoint."""
        self._wanted_ms.append(now_ms)

    def demand(self, now_ms: int) -> int:
        """Return the requests of the last second."""
        while self._wanted_ms and self._wanted_ms[0] <= now_ms - DEMAND_MEMORY_MS:
            self._wanted_ms.popleft()
        return len(self._wanted_ms)

    def receive_demand(self, vm_id: VmId, demand: int, now_ms: int) -> None:
        """Record a peer's demand."""
        self._told[vm_id] = (demand, now_ms)

    def may_send(self, live_ids: tuple[VmId, ...], now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        own = self.demand(now_ms)
        others = sum(
            demand
            for vm_id, (demand, told_ms) in self._told.items()
            if vm_id in live_ids and now_ms - told_ms <= DEMAND_MEMORY_MS
        )
        return self._paced.is_due(own / max(1, own + others), now_ms)

    def record_sent(self, now_ms: int) -> None:
        """Record a request that is sent."""
        self._paced.sent_ms = now_ms


@dataclass(slots=True)
class _Live:
    """The VMs that the fleet's model lets one VM believe to be live, and all that it knows."""

    ids: tuple[VmId, ...] = ()
    most: int = 0


class OrderWay:
    """The product's decider: the first VMs in an order known to all hold the limit."""

    def __init__(self, vm_id: VmId, limit_per_s: float) -> None:
        self._live = _Live()
        self._decider = RateLimitDecider(
            vm_id,
            live_vm_ids=lambda now_ms: self._live.ids,
            known_vm_count=lambda: self._live.most,
        )
        self._decider.update_endpoints({ENDPOINT: 1})
        self._decider.record_answer(ENDPOINT, 1, limit_per_s, 0)

    def may_send(self, live_ids: tuple[VmId, ...], now_ms: int) -> bool:
        """Return whether a request may be sent now."""
        self._live.ids = live_ids
        self._live.most = max(self._live.most, len(live_ids))
        return self._decider.may_send(ENDPOINT, now_ms)

    def record_sent(self, now_ms: int) -> None:
        """Record a request that is sent."""
        self._decider.record_sent(ENDPOINT, now_ms)


WAYS: Mapping[str, type[CountWay] | type[DemandWay] | type[OrderWay]] = {
    "count": CountWay,
    "demand": DemandWay,
    "order": OrderWay,
}
