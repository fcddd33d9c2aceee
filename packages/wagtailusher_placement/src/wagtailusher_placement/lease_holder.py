"""A node's leases: requests, grants, recalls and the fallback to the local share."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wagtailusher_core import EndpointId, Incarnation, PublishedVm, VmId
from wagtailusher_placement.cold_start import ColdStart
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

    def refresh(self, endpoints: Iterable[TrackedEndpoint], now_ms: int) -> None:
        """Recompute the endpoints' local shares from the lists in use and the time."""
        self._window.prune(now_ms)
        for endpoint in endpoints:
            if self.is_standalone:
                self._refresh_standalone(endpoint)
            else:
                self._refresh_share(endpoint)

    def add_endpoint(self, endpoint: TrackedEndpoint, *, assume_cold: bool, now_ms: int) -> None:
        """Initialize an endpoint that is new to this node; `assume_cold` starts its ramp cold."""
        info = endpoint.info
        endpoint.local_cold_start = ColdStart(
            cold_limit=info.cold_limit,
            concurrency_limit=info.concurrency_limit,
            cold=assume_cold and info.has_cold_start,
            now_ms=now_ms,
        )
        if not info.has_cold_start:
            endpoint.cold = False
        if assume_cold:
            self.mark_cold(endpoint, now_ms)

    def mark_cold(self, endpoint: TrackedEndpoint, now_ms: int) -> None:
        """Void the lease at once; the next request reports the cold endpoint to the steward."""
        if not endpoint.info.has_cold_start:
            return
        if endpoint.local_cold_start is not None:
            endpoint.local_cold_start.mark_cold(now_ms)
        endpoint.void_lease(self._sequence + 1)
        endpoint.suspects_cold = True
        endpoint.good_first_tokens = 0
        if self.is_standalone:
            self._refresh_standalone(endpoint)

    def record_timely_first_token(self, endpoint: TrackedEndpoint, now_ms: int) -> None:
        """Record a timely first token, which counts towards the endpoint's warm-up."""
        if self.is_standalone and endpoint.local_cold_start is not None:
            endpoint.local_cold_start.record_timely_first_tokens(1, now_ms)
            self._refresh_standalone(endpoint)
        elif endpoint.cold:
            endpoint.good_first_tokens += 1

    def find_steward(self, endpoint: TrackedEndpoint) -> VmId | None:
        """Return an endpoint's steward by the current list, or None when no VM is live."""
        return self._steward_table.find_steward(endpoint.info)

    def due_requests(
        self,
        endpoints: Iterable[TrackedEndpoint],
        demands: Mapping[EndpointId, tuple[int, ...]],
        now_ms: int,
    ) -> tuple[LeaseRequest, ...]:
        """Return the lease requests that are due, given the demand by endpoint and tier."""
        if self.is_standalone:
            return ()
        tracked = tuple(endpoints)
        spacing_ms = 1_000 * len(tracked) // self.limits.requests_per_second
        self._min_interval_ms = min(spacing_ms, self.limits.lifetime_ms * 3 // 4)
        return tuple(
            self._build_request(endpoint, demands.get(endpoint.info.endpoint_id, ()), now_ms)
            for endpoint in tracked
            if self._is_due(endpoint, demands.get(endpoint.info.endpoint_id, ()), now_ms)
        )

    def apply_grant(self, endpoint: TrackedEndpoint, grant: LeaseGrant, now_ms: int) -> bool:
        """Apply a grant; return False for one that is outdated or not from the steward."""
        sent_ms = endpoint.sent_requests.get(grant.sequence)
        if sent_ms is None or grant.steward_id != endpoint.steward_id:
            return False
        if grant.sequence <= endpoint.applied_sequence or grant.sequence < endpoint.min_sequence:
            return False
        endpoint.must_confirm = grant.credits < endpoint.credits
        endpoint.applied_sequence = grant.sequence
        endpoint.applied_at_ms = now_ms
        endpoint.steward_epoch = grant.steward_epoch
        endpoint.credits = grant.credits
        endpoint.lease_until_ms = sent_ms + grant.lifetime_ms - self.limits.clock_margin_ms
        endpoint.cold = grant.cold
        endpoint.suspects_cold = False
        self._refresh_share(endpoint)
        return True

    def apply_recall(self, endpoint: TrackedEndpoint, recall: LeaseRecall) -> None:
        """Void the lease on an endpoint that its steward marked cold."""
        if (
            recall.steward_id == endpoint.steward_id
            and recall.steward_epoch >= endpoint.steward_epoch
        ):
            endpoint.void_lease(self._sequence + 1)

    def _refresh_standalone(self, endpoint: TrackedEndpoint) -> None:
        """Set the credits to the allowance of this node's own cold start."""
        cold_start = endpoint.local_cold_start
        if cold_start is None:
            return
        cold_start.update_limits(
            cold_limit=endpoint.info.cold_limit, concurrency_limit=endpoint.info.concurrency_limit
        )
        endpoint.cold = cold_start.cold
        endpoint.credits = cold_start.allowance
        endpoint.lease_until_ms = NEVER_MS

    def _refresh_share(self, endpoint: TrackedEndpoint) -> None:
        """Compute the local share and the time from which it may be used."""
        if endpoint.lease_until_ms == NEVER_MS:
            endpoint.lease_until_ms = 0
            endpoint.cold = None if endpoint.info.has_cold_start else False
        endpoint.local_share = endpoint.info.concurrency_limit // max(1, self._window.max_count)
        if endpoint.cold is not False or self._pause_detector.needs_reread:
            endpoint.fallback_ms = NEVER_MS
            return
        endpoint.fallback_ms = self._share_from_ms
        if endpoint.applied_at_ms is not None:
            endpoint.fallback_ms = max(
                endpoint.fallback_ms, endpoint.applied_at_ms + self.limits.fallback_ms
            )

    def _is_due(self, endpoint: TrackedEndpoint, demand: tuple[int, ...], now_ms: int) -> bool:
        """Return whether a lease request for an endpoint should be sent now."""
        if not endpoint.published or endpoint.steward_id is None:
            return False
        wanted = sum(demand)
        is_idle = wanted == 0 and endpoint.in_flight == 0 and endpoint.local_share == 0
        if endpoint.last_request_ms is None or endpoint.must_confirm:
            return True
        if is_idle and endpoint.cold is False:
            return False
        return now_ms - endpoint.last_request_ms >= self._interval_ms(endpoint, wanted, now_ms)

    def _interval_ms(self, endpoint: TrackedEndpoint, wanted: int, now_ms: int) -> int:
        """Return how long after the last request the next one is due.

        The interval grows with the number of endpoints, so that the request rate stays bounded.
        """
        if endpoint.suspects_cold:
            return self.limits.urgent_renewal_ms
        if endpoint.cold and endpoint.steward_id != self._vm_id and not endpoint.allowed(now_ms):
            return self.limits.lifetime_ms // 2
        lacks_credits = wanted > endpoint.allowed(now_ms)
        interval_ms = self.limits.urgent_renewal_ms if lacks_credits else self.limits.renewal_ms
        return max(interval_ms, self._min_interval_ms)

    def _build_request(
        self, endpoint: TrackedEndpoint, demand: tuple[int, ...], now_ms: int
    ) -> LeaseRequest:
        """Return the request for one endpoint and record when it was sent."""
        self._sequence += 1
        oldest_ms = now_ms - self.limits.lifetime_ms
        endpoint.sent_requests = {
            sequence: sent_ms
            for sequence, sent_ms in endpoint.sent_requests.items()
            if sent_ms > oldest_ms
        }
        endpoint.sent_requests[self._sequence] = now_ms
        endpoint.last_request_ms = now_ms
        endpoint.must_confirm = False
        timely_count = endpoint.good_first_tokens
        endpoint.good_first_tokens = 0
        return LeaseRequest(
            node_id=self._vm_id,
            endpoint_id=endpoint.info.endpoint_id,
            held=endpoint.credits if now_ms < endpoint.lease_until_ms else 0,
            in_flight=endpoint.in_flight,
            demand_by_tier=demand,
            sequence=self._sequence,
            confirms=endpoint.applied_sequence,
            suspects_cold=endpoint.suspects_cold,
            good_first_tokens=timely_count,
            list_version=self._list_version,
        )
