"""A node's leases: requests, grants, recalls and the fallback to the local share."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wagtailusher_core import EndpointId, Incarnation, PublishedVm, VmId
from wagtailusher_placement.coldstart import ColdStart
from wagtailusher_placement.const import NEVER_MS
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.pause_detector import PauseDetector
from wagtailusher_placement.published_window import PublishedWindow
from wagtailusher_placement.steward_table import StewardTable
from wagtailusher_placement.tracked_endpoint import TrackedEndpoint


class LeaseHolder:
    """Decides how many requests this node may have in flight at each endpoint.

    Until the first published list it is standalone and may use each endpoint's whole limit, or the
    allowance of its own cold start. From then on it uses leases, and the safe local share of a
    warm endpoint whose steward is unavailable.
    """

    def __init__(
        self, *, vm_id: VmId, limits: LeaseLimits | None, incarnation: Incarnation | None
    ) -> None:
        self._vm_id = vm_id
        self.limits = limits or LeaseLimits()
        self._window = PublishedWindow(window_ms=self.limits.settling_ms)
        self._steward_table = StewardTable(())
        self._list_version = 0
        self._sequence = (incarnation or 0) << 20
        self._pause_detector = PauseDetector(self.limits.pause_tolerance_ms)
        self._share_from_ms = NEVER_MS
        self._min_interval_ms = 0
        self.is_standalone = True

    def update_published(
        self, vms: Iterable[PublishedVm], now_ms: int, version: int, read_started_ms: int
    ) -> None:
        """Apply the published list of VMs; `read_started_ms` is when its read began."""
        changed = self._pause_detector.confirm_list(version, read_started_ms)
        if changed and self._share_from_ms != NEVER_MS:
            self._share_from_ms = now_ms + self.limits.settling_ms
        published = tuple(vms)
        self.is_standalone = False
        self._steward_table = StewardTable(published)
        self._list_version = version
        self._window.update(published, now_ms)
        since_ms = self._window.seen_since_ms.get(self._vm_id)
        if since_ms is None:
            self._share_from_ms = NEVER_MS
        elif self._share_from_ms == NEVER_MS:
            self._share_from_ms = now_ms + self.limits.settling_ms

    def check_pause(self, now_ms: int) -> None:
        """Check for a pause of this process, during which the number of VMs may have changed."""
        self._pause_detector.check_pause(now_ms, self._list_version)

    def refresh(self, items: Iterable[TrackedEndpoint], now_ms: int) -> None:
        """Recompute the endpoints' local shares from the lists in use and the time."""
        self._window.prune(now_ms)
        for item in items:
            if self.is_standalone:
                self._refresh_standalone(item)
            else:
                self._refresh_share(item)

    def add_endpoint(self, item: TrackedEndpoint, *, assume_cold: bool, now_ms: int) -> None:
        """Initialize an endpoint that is new to this node; `assume_cold` starts its ramp cold."""
        info = item.info
        item.local_cold_start = ColdStart(
            cold_limit=info.cold_limit,
            concurrency_limit=info.concurrency_limit,
            cold=assume_cold and info.has_cold_start,
            now_ms=now_ms,
        )
        if not info.has_cold_start:
            item.cold = False
        if assume_cold:
            self.mark_cold(item, now_ms)

    def mark_cold(self, item: TrackedEndpoint, now_ms: int) -> None:
        """Void the lease at once; the next request reports the cold endpoint to the steward."""
        if not item.info.has_cold_start:
            return
        if item.local_cold_start is not None:
            item.local_cold_start.mark_cold(now_ms)
        item.void_lease(self._sequence + 1)
        item.suspects_cold = True
        item.good_first_tokens = 0
        if self.is_standalone:
            self._refresh_standalone(item)

    def record_timely_first_token(self, item: TrackedEndpoint, now_ms: int) -> None:
        """Record a timely first token, which counts towards the endpoint's warm-up."""
        if self.is_standalone and item.local_cold_start is not None:
            item.local_cold_start.record_timely_first_tokens(1, now_ms)
            self._refresh_standalone(item)
        elif item.cold:
            item.good_first_tokens += 1

    def find_steward(self, item: TrackedEndpoint) -> VmId | None:
        """Return an endpoint's steward by the current list, or None when no VM is live."""
        return self._steward_table.find_steward(item.info)

    def due_requests(
        self,
        items: Iterable[TrackedEndpoint],
        demands: Mapping[EndpointId, tuple[int, ...]],
        now_ms: int,
    ) -> tuple[LeaseRequest, ...]:
        """Return the lease requests that are due, given the demand by endpoint and tier."""
        if self.is_standalone:
            return ()
        tracked = tuple(items)
        spacing_ms = 1_000 * len(tracked) // self.limits.requests_per_second
        self._min_interval_ms = min(spacing_ms, self.limits.lifetime_ms * 3 // 4)
        return tuple(
            self._build_request(item, demands.get(item.info.endpoint_id, ()), now_ms)
            for item in tracked
            if self._is_due(item, demands.get(item.info.endpoint_id, ()), now_ms)
        )

    def apply_grant(self, item: TrackedEndpoint, grant: LeaseGrant, now_ms: int) -> bool:
        """Apply a grant; return False for one that is outdated or not from the steward."""
        sent_ms = item.sent_requests.get(grant.sequence)
        if sent_ms is None or grant.steward_id != item.steward_id:
            return False
        if grant.sequence <= item.applied_sequence or grant.sequence < item.min_sequence:
            return False
        item.must_confirm = grant.credits < item.credits
        item.applied_sequence = grant.sequence
        item.applied_at_ms = now_ms
        item.steward_epoch = grant.steward_epoch
        item.credits = grant.credits
        item.lease_until_ms = sent_ms + grant.lifetime_ms - self.limits.clock_margin_ms
        item.cold = grant.cold
        item.suspects_cold = False
        self._refresh_share(item)
        return True

    def apply_recall(self, item: TrackedEndpoint, recall: LeaseRecall) -> None:
        """Void the lease on an endpoint that its steward marked cold."""
        if recall.steward_id == item.steward_id and recall.steward_epoch >= item.steward_epoch:
            item.void_lease(self._sequence + 1)

    def _refresh_standalone(self, item: TrackedEndpoint) -> None:
        """Set the credits to the allowance of this node's own cold start."""
        cold_start = item.local_cold_start
        if cold_start is None:
            return
        cold_start.update_limits(
            cold_limit=item.info.cold_limit, concurrency_limit=item.info.concurrency_limit
        )
        item.cold = cold_start.cold
        item.credits = cold_start.allowance
        item.lease_until_ms = NEVER_MS

    def _refresh_share(self, item: TrackedEndpoint) -> None:
        """Compute the local share and the time from which it may be used."""
        if item.lease_until_ms == NEVER_MS:
            item.lease_until_ms = 0
            item.cold = None if item.info.has_cold_start else False
        item.local_share = item.info.concurrency_limit // max(1, self._window.max_count)
        if item.cold is not False or self._pause_detector.needs_reread:
            item.fallback_ms = NEVER_MS
            return
        item.fallback_ms = self._share_from_ms
        if item.applied_at_ms is not None:
            item.fallback_ms = max(item.fallback_ms, item.applied_at_ms + self.limits.fallback_ms)

    def _is_due(self, item: TrackedEndpoint, demand: tuple[int, ...], now_ms: int) -> bool:
        """Return whether a lease request for an endpoint should be sent now."""
        if not item.published or item.steward_id is None:
            return False
        wanted = sum(demand)
        is_idle = wanted == 0 and item.in_flight == 0 and item.local_share == 0
        if item.last_request_ms is None or item.must_confirm:
            return True
        if is_idle and item.cold is False:
            return False
        return now_ms - item.last_request_ms >= self._interval_ms(item, wanted, now_ms)

    def _interval_ms(self, item: TrackedEndpoint, wanted: int, now_ms: int) -> int:
        """Return how long after the last request the next one is due.

        The interval grows with the number of endpoints, so that the request rate stays bounded.
        """
        if item.suspects_cold:
            return self.limits.urgent_renewal_ms
        if item.cold and item.steward_id != self._vm_id and not item.allowed(now_ms):
            return self.limits.lifetime_ms // 2
        lacks_credits = wanted > item.allowed(now_ms)
        interval_ms = self.limits.urgent_renewal_ms if lacks_credits else self.limits.renewal_ms
        return max(interval_ms, self._min_interval_ms)

    def _build_request(
        self, item: TrackedEndpoint, demand: tuple[int, ...], now_ms: int
    ) -> LeaseRequest:
        """Return the request for one endpoint and record when it was sent."""
        self._sequence += 1
        oldest_ms = now_ms - self.limits.lifetime_ms
        item.sent_requests = {
            sequence: sent_ms
            for sequence, sent_ms in item.sent_requests.items()
            if sent_ms > oldest_ms
        }
        item.sent_requests[self._sequence] = now_ms
        item.last_request_ms = now_ms
        item.must_confirm = False
        timely_count = item.good_first_tokens
        item.good_first_tokens = 0
        return LeaseRequest(
            node_id=self._vm_id,
            endpoint_id=item.info.endpoint_id,
            held=item.credits if now_ms < item.lease_until_ms else 0,
            in_flight=item.in_flight,
            demand_by_tier=demand,
            sequence=self._sequence,
            confirms=item.applied_sequence,
            suspects_cold=item.suspects_cold,
            good_first_tokens=timely_count,
            list_version=self._list_version,
        )
