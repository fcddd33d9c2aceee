"""Limits the requests that all VMs together send to an endpoint in cold start."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
import math

from wagtailusher_core import EndpointId, VmId, rank_by_rendezvous
from wagtailusher_gateway.const import COLD_WINDOW_MARGIN_MS, COLD_WINDOW_MS


class ColdStartLimiter:
    """One VM's limit for each cold endpoint, over a sliding window of about a second.

    The limit is divided by all VMs that may still send, live or not, so that differing member
    lists lead to fewer requests rather than more. Where the limit is below one request per VM,
    rendezvous hashing selects the VMs that may send.
    """

    def __init__(
        self,
        vm_id: VmId,
        *,
        overage: float,
        slack: float,
        is_fleet_settled: Callable[[int], bool] = lambda now_ms: True,
    ) -> None:
        """Set the factor and the constant by which the fleet may exceed an endpoint's limit.

        `is_fleet_settled` returns whether the member list is complete enough to divide the limit
        by; until then nothing may be sent.
        """
        self._is_fleet_settled = is_fleet_settled
        self._vm_id = vm_id
        self._overage = overage
        self._slack = slack
        self._sent: dict[EndpointId, deque[int]] = {}
        self._selected: dict[EndpointId, tuple[int, tuple[VmId, ...], bool]] = {}
        """Whether this VM is one of so many that were selected of the given VMs."""

    def may_send(
        self, endpoint_id: EndpointId, per_s: float, vm_ids: tuple[VmId, ...], now_ms: int
    ) -> bool:
        """Return whether this VM may send one request to a cold endpoint now."""
        if per_s <= 0:
            return True
        if not self._is_fleet_settled(now_ms):
            return False
        return len(self._recent(endpoint_id, now_ms)) < self.limit_per_second(
            endpoint_id, per_s, vm_ids
        )

    def limit_per_second(
        self, endpoint_id: EndpointId, per_s: float, vm_ids: tuple[VmId, ...]
    ) -> int:
        """Return how many requests per second this VM may send to a cold endpoint."""
        limit = math.floor(per_s * self._overage + self._slack)
        count = max(1, len(vm_ids))
        if count <= limit:
            return limit // count
        return 1 if self._is_selected(endpoint_id, limit, vm_ids) else 0

    def _is_selected(self, endpoint_id: EndpointId, limit: int, vm_ids: tuple[VmId, ...]) -> bool:
        """Return whether this VM is among the `limit` VMs that may send to an endpoint."""
        known = self._selected.get(endpoint_id)
        if known is not None and known[:2] == (limit, vm_ids):
            return known[2]
        is_selected = self._vm_id in rank_by_rendezvous(endpoint_id, vm_ids)[:limit]
        self._selected[endpoint_id] = (limit, vm_ids, is_selected)
        return is_selected

    def record_sent(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record a request sent to an endpoint, cold or not."""
        self._recent(endpoint_id, now_ms).append(now_ms)

    def retain_endpoints(self, endpoint_ids: frozenset[EndpointId]) -> None:
        """Drop the state of all endpoints but these."""
        for endpoint_id in self._sent.keys() - endpoint_ids:
            del self._sent[endpoint_id]
        for endpoint_id in self._selected.keys() - endpoint_ids:
            del self._selected[endpoint_id]

    def _recent(self, endpoint_id: EndpointId, now_ms: int) -> deque[int]:
        """Return the times of the requests sent within the window."""
        times = self._sent.setdefault(endpoint_id, deque())
        while times and times[0] <= now_ms - COLD_WINDOW_MS - COLD_WINDOW_MARGIN_MS:
            times.popleft()
        return times
