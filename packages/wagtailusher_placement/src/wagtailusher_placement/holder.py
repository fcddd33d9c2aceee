"""The leases that a node holds, asks for, loses and falls back from."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wagtailusher_core import EndpointId, Incarnation, PublishedVm, VmId
from wagtailusher_placement.coldstart import ColdStart
from wagtailusher_placement.const import NEVER_MS
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.pauses import PauseWatch
from wagtailusher_placement.published_window import PublishedWindow
from wagtailusher_placement.stewardship import StewardTable
from wagtailusher_placement.tracked import TrackedEndpoint


class LeaseHolder:
    """Decides how many requests this node may have in flight at each endpoint.

    Until the first published list it stands alone and may use each endpoint's whole limit, or
    what a cold start of its own permits. From then on it uses leases, and the safe local share of
    a warm endpoint whose steward is lost.
    """

    def __init__(
        self, *, vm_id: VmId, limits: LeaseLimits | None, incarnation: Incarnation | None
    ) -> None:
        """Start standing alone."""
        self._vm_id = vm_id
        self.limits = limits or LeaseLimits()
        self._window = PublishedWindow(window_ms=self.limits.settling_ms)
        self._table = StewardTable(())
        self._list_version = 0
        self._sequence = (incarnation or 0) << 20
        self._pauses = PauseWatch(self.limits.pause_tolerance_ms)
        self._share_from_ms = NEVER_MS
        self._least_interval_ms = 0
        self.is_alone = True

    def update_published(
        self, vms: Iterable[PublishedVm], now_ms: int, version: int, read_started_ms: int
    ) -> None:
        """Take over the published list of VMs, whose reading began at a time."""
        changed = self._pauses.end_doubt(version, read_started_ms)
        if changed and self._share_from_ms != NEVER_MS:
            self._share_from_ms = now_ms + self.limits.settling_ms
        published = tuple(vms)
        self.is_alone = False
        self._table = StewardTable(published)
        self._list_version = version
        self._window.update(published, now_ms)
        since_ms = self._window.seen_since_ms.get(self._vm_id)
        if since_ms is None:
            self._share_from_ms = NEVER_MS
        elif self._share_from_ms == NEVER_MS:
            self._share_from_ms = now_ms + self.limits.settling_ms

    def wake(self, now_ms: int) -> None:
        """Note that this process runs; after a pause the number of VMs may have changed."""
        self._pauses.wake(now_ms, self._list_version)

    def refresh(self, items: Iterable[TrackedEndpoint], now_ms: int) -> None:
        """Bring the endpoints' shares in line with the list and the time."""
        self._window.prune(now_ms)
        for item in items:
            if self.is_alone:
                self._refresh_alone(item)
            else:
                self._refresh_share(item)

    def first_seen(self, item: TrackedEndpoint, *, is_return: bool, now_ms: int) -> None:
        """Note an endpoint that is new here or came back."""
        info = item.info
        item.local_start = ColdStart(
            cold_limit=info.cold_limit,
            concurrency_limit=info.concurrency_limit,
            cold=is_return and info.has_cold_start,
            now_ms=now_ms,
        )
        if not info.has_cold_start:
            item.cold = False
        if is_return:
            self.turn_cold(item, now_ms)

    def turn_cold(self, item: TrackedEndpoint, now_ms: int) -> None:
        """Fall back at once, and tell the steward with the next request."""
        if not item.info.has_cold_start:
            return
        if item.local_start is not None:
            item.local_start.turn_cold(now_ms)
        item.void_lease(self._sequence + 1)
        item.suspects_cold = True
        item.good_first_tokens = 0
        if self.is_alone:
            self._refresh_alone(item)

    def good_first_token(self, item: TrackedEndpoint, now_ms: int) -> None:
        """Note a timely first token, by which a cold endpoint warms up."""
        if self.is_alone and item.local_start is not None:
            item.local_start.good_first_tokens(1, now_ms)
            self._refresh_alone(item)
        elif item.cold:
            item.good_first_tokens += 1

    def find_steward(self, item: TrackedEndpoint) -> VmId | None:
        """Return the steward of an endpoint by the list at hand."""
        return self._table.find_steward(item.info)

    def requests(
        self,
        items: Iterable[TrackedEndpoint],
        demands: Mapping[EndpointId, tuple[int, ...]],
        now_ms: int,
    ) -> tuple[LeaseRequest, ...]:
        """Return the requests that are due."""
        if self.is_alone:
            return ()
        known = tuple(items)
        spacing_ms = 1_000 * len(known) // self.limits.requests_per_second
        self._least_interval_ms = min(spacing_ms, self.limits.lifetime_ms * 3 // 4)
        return tuple(
            self._request(item, demands.get(item.info.endpoint_id, ()), now_ms)
            for item in known
            if self._is_due(item, demands.get(item.info.endpoint_id, ()), now_ms)
        )

    def apply_grant(self, item: TrackedEndpoint, grant: LeaseGrant, now_ms: int) -> bool:
        """Take over a grant; return False for one that is old or not from the steward."""
        sent_ms = item.sent_requests.get(grant.sequence)
        if sent_ms is None or grant.steward_id != item.steward_id:
            return False
        if grant.sequence <= item.applied_sequence or grant.sequence < item.least_sequence:
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
        """Give up the lease on an endpoint that its steward found cold."""
        if recall.steward_id == item.steward_id and recall.steward_epoch >= item.steward_epoch:
            item.void_lease(self._sequence + 1)

    def _refresh_alone(self, item: TrackedEndpoint) -> None:
        """Take the allowance from this node's own cold start."""
        start = item.local_start
        if start is None:
            return
        start.update_limits(
            cold_limit=item.info.cold_limit, concurrency_limit=item.info.concurrency_limit
        )
        item.cold = start.cold
        item.credits = start.allowance
        item.lease_until_ms = NEVER_MS

    def _refresh_share(self, item: TrackedEndpoint) -> None:
        """Compute the local share, and from when it may be used."""
        if item.lease_until_ms == NEVER_MS:
            item.lease_until_ms = 0
            item.cold = None if item.info.has_cold_start else False
        item.share = item.info.concurrency_limit // max(1, self._window.greatest_count)
        if item.cold is not False or self._pauses.has_doubt:
            item.fallback_ms = NEVER_MS
            return
        item.fallback_ms = self._share_from_ms
        if item.applied_at_ms is not None:
            item.fallback_ms = max(item.fallback_ms, item.applied_at_ms + self.limits.fallback_ms)

    def _is_due(self, item: TrackedEndpoint, demand: tuple[int, ...], now_ms: int) -> bool:
        """Return whether a request for an endpoint's credits should go out now."""
        if not item.published or item.steward_id is None:
            return False
        wanted = sum(demand)
        is_idle = wanted == 0 and item.in_flight == 0 and item.share == 0
        if item.last_request_ms is None or item.must_confirm:
            return True
        if is_idle and item.cold is False:
            return False
        return now_ms - item.last_request_ms >= self._interval_ms(item, wanted, now_ms)

    def _interval_ms(self, item: TrackedEndpoint, wanted: int, now_ms: int) -> int:
        """Return how long after the last request the next one is due.

        Many endpoints lengthen it, so that the rate of requests stays bounded.
        """
        if item.suspects_cold:
            return self.limits.urgent_renewal_ms
        if item.cold and item.steward_id != self._vm_id and not item.allowed(now_ms):
            return self.limits.lifetime_ms // 2
        is_short = wanted > item.allowed(now_ms)
        interval_ms = self.limits.urgent_renewal_ms if is_short else self.limits.renewal_ms
        return max(interval_ms, self._least_interval_ms)

    def _request(self, item: TrackedEndpoint, demand: tuple[int, ...], now_ms: int) -> LeaseRequest:
        """Return the request for one endpoint and remember when it was sent."""
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
        good = item.good_first_tokens
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
            good_first_tokens=good,
            list_version=self._list_version,
        )
