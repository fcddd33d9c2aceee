"""Bounds what all VMs together send to an endpoint in cold start."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
import math

from wagtailusher_core import EndpointId, VmId, rank_by_rendezvous
from wagtailusher_gateway.const import COLD_WINDOW_MARGIN_MS, COLD_WINDOW_MS


class ColdShares:
    """One VM's share of each cold endpoint, over a sliding second.

    The share follows from the most VMs ever known, so that views that differ err towards sending
    less. Where the limit gives no whole request to each VM, rendezvous hashing picks the VMs that
    may send at all.
    """

    def __init__(
        self,
        vm_id: VmId,
        *,
        overage: float,
        slack: float,
        knows_fleet: Callable[[int], bool] = lambda now_ms: True,
    ) -> None:
        """Set the factor and the constant by which the fleet may exceed an endpoint's limit.

        `knows_fleet` tells whether the VMs that are known can be divided by; before that nothing
        may be sent.
        """
        self._knows_fleet = knows_fleet
        self._vm_id = vm_id
        self._overage = overage
        self._slack = slack
        self._sent: dict[EndpointId, deque[int]] = {}

    def may_send(
        self, endpoint_id: EndpointId, per_s: float, vm_ids: tuple[VmId, ...], now_ms: int
    ) -> bool:
        """Tell whether this VM may send one request to a cold endpoint now."""
        if per_s <= 0:
            return True
        if not self._knows_fleet(now_ms):
            return False
        return len(self._recent(endpoint_id, now_ms)) < self.share(endpoint_id, per_s, vm_ids)

    def share(self, endpoint_id: EndpointId, per_s: float, vm_ids: tuple[VmId, ...]) -> int:
        """Return how many requests this VM may send to a cold endpoint in one second."""
        limit = math.floor(per_s * self._overage + self._slack)
        count = max(1, len(vm_ids))
        if count <= limit:
            return limit // count
        chosen = rank_by_rendezvous(endpoint_id, vm_ids)[:limit]
        return 1 if self._vm_id in chosen else 0

    def note_sent(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Count a request that goes to an endpoint, cold or not."""
        self._recent(endpoint_id, now_ms).append(now_ms)

    def keep_only(self, endpoint_ids: frozenset[EndpointId]) -> None:
        """Forget the endpoints that are gone."""
        for endpoint_id in self._sent.keys() - endpoint_ids:
            del self._sent[endpoint_id]

    def _recent(self, endpoint_id: EndpointId, now_ms: int) -> deque[int]:
        """Return the times of the sends within the window."""
        times = self._sent.setdefault(endpoint_id, deque())
        while times and times[0] <= now_ms - COLD_WINDOW_MS - COLD_WINDOW_MARGIN_MS:
            times.popleft()
        return times
