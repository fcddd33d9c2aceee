"""The decider that places requests on endpoints for one entry VM."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from wagtailusher_core import (
    ClassKey,
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    PublishedVm,
    RequestId,
    VmId,
)
from wagtailusher_placement.accounts import WorkAccounts, is_timely, seems_cold
from wagtailusher_placement.baselines import Chooser
from wagtailusher_placement.const import REFRESH_INTERVAL_MS, REFRESH_MS_PER_ENDPOINT
from wagtailusher_placement.demand import spread_demand
from wagtailusher_placement.endpoints import (
    AttemptResult,
    Choice,
    EndpointInfo,
    EndpointView,
    PlacementRequest,
)
from wagtailusher_placement.fleet import EndpointFleet
from wagtailusher_placement.holder import LeaseHolder
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.lengths import LengthEstimator
from wagtailusher_placement.reports import CacheEvent, LoadReport
from wagtailusher_placement.scoring import choose_by_score
from wagtailusher_placement.tracked import PlacedWork


class PlacementDecider:
    """Chooses endpoints and keeps account of this node's work at them.

    Until the first `update_published` it stands alone and needs no leases.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        failure_domain_id: FailureDomainId,
        seed: int,
        choose: Chooser = choose_by_score,
        limits: LeaseLimits | None = None,
        incarnation: Incarnation | None = None,
    ) -> None:
        """Start without endpoints."""
        self._generator = Random(seed)
        self._choose = choose
        self._lengths = LengthEstimator()
        self._durations = LengthEstimator(default=0.0)
        self._holder = LeaseHolder(vm_id=vm_id, limits=limits, incarnation=incarnation)
        self._fleet = EndpointFleet(
            vm_id=vm_id, failure_domain_id=failure_domain_id, holder=self._holder
        )
        self._accounts = WorkAccounts(self._lengths, self._durations)
        self._starts = 0
        self._refreshed_at_ms: int | None = None

    def update_endpoints(self, endpoints: Iterable[EndpointInfo], now_ms: int) -> None:
        """Take over the published endpoints; work in flight keeps its account."""
        self._fleet.update_endpoints(endpoints, now_ms)
        self._refresh(now_ms)

    def update_drained_domains(self, domains: Iterable[FailureDomainId], now_ms: int) -> None:
        """Take over the failure domains that operators took out."""
        self._fleet.update_drained_domains(domains, now_ms)
        self._refresh(now_ms)

    def update_published(
        self,
        vms: Iterable[PublishedVm],
        now_ms: int,
        version: int = 0,
        read_started_ms: int | None = None,
    ) -> None:
        """Take over the published list of VMs; from the first one on, leases bind this node.

        `read_started_ms` tells when the reading began, now unless it is given.
        """
        self._holder.wake(now_ms)
        began_ms = now_ms if read_started_ms is None else read_started_ms
        self._holder.update_published(vms, now_ms, version, began_ms)
        self._fleet.update_stewards()
        self._refresh(now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Take in an endpoint's load."""
        self._fleet.observe_report(report, now_ms)
        self._refresh_if_due(now_ms)

    def observe_cache_event(self, event: CacheEvent, now_ms: int) -> None:
        """Take in a change of an endpoint's prefix cache."""
        self._fleet.prefixes.observe(event)

    def expected_output_tokens(self, key: ClassKey) -> float:
        """Return the learned output length of a class and workspace."""
        return self._lengths.expected(key)

    def expected_duration_ms(self, key: ClassKey) -> int:
        """Return the learned time from sending to the end of an answer, 0 while unknown."""
        return round(self._durations.expected(key))

    def choose(self, request: PlacementRequest, now_ms: int) -> Choice | None:
        """Return the endpoint for a request, or None when nothing may take it now."""
        pool = self._fleet.pools.get(request.pool_id)
        if pool is None:
            return None
        scores = self._choose(pool, request, self._generator, now_ms)
        if not scores:
            return None
        best = pool.members[scores[0].endpoint_id].info
        return Choice(
            request_id=request.request_id,
            endpoint_id=best.endpoint_id,
            address=best.address,
            candidates=scores,
        )

    def start_request(self, choice: Choice, request: PlacementRequest, now_ms: int) -> None:
        """Account a request to the endpoint that was chosen for it."""
        self._refresh_if_due(now_ms)
        item = self._fleet.tracked[choice.endpoint_id]
        self._starts += 1
        item.last_start = self._starts
        prefixes = self._fleet.prefixes
        cached = prefixes.cached_share(choice.endpoint_id, request.prefix_hashes)
        self._accounts.open(item, request, cached * request.prompt_tokens, now_ms)

    def may_send(self, request_id: RequestId, now_ms: int) -> bool:
        """Return whether the request may still go out; ask right before its first byte.

        True accounts the request as sent. After False, `finish_request` and place it again.
        """
        self._holder.wake(now_ms)
        work = self._accounts.get(request_id)
        if work is None or not work.endpoint.in_service:
            return False
        item = work.endpoint
        if item.lease_until_ms <= now_ms and item.fallback_ms <= now_ms:
            self._holder.refresh((item,), now_ms)
        if item.sent + (not work.sent) > item.allowed(now_ms):
            return False
        self._accounts.mark_sent(work, now_ms)
        return True

    def record_first_token(self, request_id: RequestId, now_ms: int) -> None:
        """Note that the answer to a request began."""
        work = self._accounts.get(request_id)
        if work is None or work.first_token_at_ms is not None:
            return
        self._judge_first_token(work, now_ms)
        self._accounts.begin_answer(work, now_ms)
        self._fleet.prefixes.expect(work.endpoint.info.endpoint_id, work.request.prefix_hashes)
        self._refresh_if_due(now_ms)

    def record_progress(self, request_id: RequestId, tokens: int, now_ms: int) -> None:
        """Note further tokens of an answer."""
        work = self._accounts.get(request_id)
        if work is not None:
            self._accounts.record_progress(work, tokens, now_ms)

    def finish_request(self, request_id: RequestId, end: AttemptResult, now_ms: int) -> None:
        """Close a request's account; unknown requests are ignored."""
        work = self._accounts.get(request_id)
        if work is None:
            return
        if end is AttemptResult.COMPLETED:
            self.record_first_token(request_id, now_ms)
        self._accounts.close(request_id, end, now_ms)
        self._fleet.mark_changed(work.endpoint)
        if end is AttemptResult.CRASHED:
            self._holder.turn_cold(work.endpoint, now_ms)
        self._refresh_if_due(now_ms)

    def lease_requests(
        self, demand: Mapping[PoolId, Mapping[int, int]], now_ms: int
    ) -> tuple[LeaseRequest, ...]:
        """Return the lease requests to send now, given the demand by pool and tier.

        Call it several times a second; it is also the decider's tick.
        """
        self._holder.wake(now_ms)
        self._find_cold(now_ms)
        self._refresh_if_due(now_ms)
        spread: dict[EndpointId, list[int]] = {}
        for pool_id, by_tier in demand.items():
            pool = self._fleet.pools.get(pool_id)
            if pool is None:
                continue
            for key, tiers in spread_demand(by_tier, pool.items, now_ms).items():
                before = spread.get(key)
                merged = tiers if before is None else list(map(max, before, tiers))
                spread[key] = merged
        demands = {key: tuple(tiers) for key, tiers in spread.items()}
        return self._holder.requests(self._fleet.tracked.values(), demands, now_ms)

    def apply_grant(self, grant: LeaseGrant, now_ms: int) -> None:
        """Take over a steward's grant."""
        item = self._fleet.tracked.get(grant.endpoint_id)
        if item is not None and self._holder.apply_grant(item, grant, now_ms):
            self._fleet.mark_changed(item)

    def apply_recall(self, recall: LeaseRecall, now_ms: int) -> None:
        """Give up the lease on an endpoint that turned cold."""
        item = self._fleet.tracked.get(recall.endpoint_id)
        if item is not None:
            self._holder.apply_recall(item, recall)

    def steward_id(self, endpoint_id: EndpointId) -> VmId | None:
        """Return the VM to which lease requests for an endpoint go."""
        item = self._fleet.tracked.get(endpoint_id)
        return None if item is None else item.steward_id

    def random_peer_steward(self, pool_id: PoolId, now_ms: int) -> VmId | None:
        """Return a peer that may place a request of this pool when this node may not."""
        return self._fleet.random_peer_steward(pool_id, self._generator)

    def endpoint_views(self, now_ms: int) -> tuple[EndpointView, ...]:
        """Return what this node believes about every endpoint."""
        return self._fleet.endpoint_views(now_ms)

    def _judge_first_token(self, work: PlacedWork, now_ms: int) -> None:
        """Find an endpoint cold, or a step warmer, by one first token."""
        item = work.endpoint
        pool = self._fleet.pools.get(work.request.pool_id)
        if not item.cold and seems_cold(work, pool, now_ms):
            self._holder.turn_cold(item, now_ms)
        elif item.cold and is_timely(work, pool, now_ms):
            self._holder.good_first_token(item, now_ms)
            self._fleet.mark_changed(item)
        elif item.cold and item.credits > item.info.cold_limit:
            self._holder.turn_cold(item, now_ms)

    def _refresh_if_due(self, now_ms: int) -> None:
        """Refresh what depends on time; the more endpoints, the less often."""
        last_ms = self._refreshed_at_ms
        interval_ms = REFRESH_MS_PER_ENDPOINT * len(self._fleet.tracked)
        if last_ms is None or now_ms - last_ms >= max(REFRESH_INTERVAL_MS, interval_ms):
            self._refresh(now_ms)

    def _refresh(self, now_ms: int) -> None:
        """Refresh shares, slowness and the signs of endpoints that turned cold."""
        self._refreshed_at_ms = now_ms
        self._holder.wake(now_ms)
        self._find_cold(now_ms)
        self._fleet.refresh(now_ms)

    def _find_cold(self, now_ms: int) -> None:
        """Find the endpoints cold that let their oldest request wait for its first token."""
        for item in self._fleet.tracked.values():
            if not item.waiting or item.cold:
                continue
            work = next(iter(item.waiting.values()))
            pool = self._fleet.pools.get(work.request.pool_id)
            if work.sent and seems_cold(work, pool, now_ms):
                self._holder.turn_cold(item, now_ms)
