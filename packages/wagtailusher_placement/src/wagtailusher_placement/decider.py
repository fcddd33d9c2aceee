"""The decider that places requests on endpoints for one entry VM."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace
from random import Random

from wagtailusher_availability import AvailabilityDecider
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
from wagtailusher_liveness import Liveness, LivenessChange, LivenessDecider
from wagtailusher_placement.baseline_policies import Chooser
from wagtailusher_placement.const import (
    ANY_INCARNATION,
    MAX_DOUBT_MS,
    REFRESH_INTERVAL_MS,
    REFRESH_MS_PER_ENDPOINT,
)
from wagtailusher_placement.demand import spread_demand
from wagtailusher_placement.endpoints import (
    AttemptResult,
    CandidateScore,
    Choice,
    EndpointInfo,
    EndpointView,
    PlacementRequest,
)
from wagtailusher_placement.fleet import EndpointFleet
from wagtailusher_placement.in_flight_accounting import InFlightAccounting, is_timely, seems_cold
from wagtailusher_placement.lease_holder import LeaseHolder
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.lengths import LengthEstimator
from wagtailusher_placement.reports import CacheEvent, LoadReport
from wagtailusher_placement.scoring import choose_by_score
from wagtailusher_placement.tracked_endpoint import PlacedRequest, Pool, TrackedEndpoint
from wagtailusher_rate_limits import RateLimitDecider


class PlacementDecider:
    """Chooses endpoints and tracks this node's requests in flight at them.

    Until the first `update_published` it is standalone and needs no leases.
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
        liveness: LivenessDecider | None = None,
        rate_limits: RateLimitDecider | None = None,
        availability: AvailabilityDecider | None = None,
    ) -> None:
        """Report what is heard from endpoints to `liveness`; see `apply_liveness`.

        Endpoints in `rate_limits` get requests no faster than it allows, and those in
        `availability` none while they want none.
        """
        self.availability = availability or AvailabilityDecider()
        self._rate_limits = rate_limits or RateLimitDecider(
            vm_id, live_vm_ids=lambda now_ms: (vm_id,)
        )
        self._liveness = liveness or LivenessDecider()
        self._generator = Random(seed)
        self._choose = choose
        self._lengths = LengthEstimator()
        self._durations = LengthEstimator(default=0.0)
        self._lease_holder = LeaseHolder(vm_id=vm_id, limits=limits, incarnation=incarnation)
        self._fleet = EndpointFleet(
            vm_id=vm_id, failure_domain_id=failure_domain_id, holder=self._lease_holder
        )
        self._in_flight = InFlightAccounting(self._lengths, self._durations)
        self._starts = 0
        self._refreshed_at_ms: int | None = None

    def update_endpoints(self, endpoints: Iterable[EndpointInfo], now_ms: int) -> None:
        """Replace the published endpoints; requests in flight stay accounted for."""
        endpoints = tuple(endpoints)
        incarnations = {info.endpoint_id: ANY_INCARNATION for info in endpoints}
        self._liveness.update_endpoints(incarnations, now_ms)
        self._rate_limits.update_endpoints(incarnations)
        self.availability.update_endpoints(incarnations)
        for endpoint_id in self._fleet.update_endpoints(endpoints, now_ms):
            self._forget_statements(endpoint_id, now_ms)
        self._refresh(now_ms)

    def update_drained_domains(self, domains: Iterable[FailureDomainId], now_ms: int) -> None:
        """Replace the set of failure domains that operators drained."""
        self._fleet.update_drained_domains(domains, now_ms)
        self._refresh(now_ms)

    def update_published(
        self,
        vms: Iterable[PublishedVm],
        now_ms: int,
        version: int = 0,
        read_started_ms: int | None = None,
    ) -> None:
        """Apply the published list of VMs; from the first one on, this node needs leases.

        `read_started_ms` is when the read of the list began, `now_ms` by default.
        """
        self._lease_holder.check_pause(now_ms)
        began_ms = now_ms if read_started_ms is None else read_started_ms
        self._lease_holder.update_published(vms, now_ms, version, began_ms)
        self._fleet.update_stewards()
        self._refresh(now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Apply an endpoint's load report."""
        self._liveness.record_heard(report.endpoint_id, ANY_INCARNATION, report.reported_at_ms)
        if self._fleet.observe_report(report, now_ms):
            self._forget_statements(report.endpoint_id, now_ms)
        self._refresh_if_due(now_ms)

    def observe_refused_connection(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Void the lease on an endpoint that refused a connection; it may return cold."""
        endpoint = self._fleet.tracked.get(endpoint_id)
        if endpoint is not None:
            self._lease_holder.mark_cold(endpoint, now_ms)
            self._forget_statements(endpoint_id, now_ms)

    def observe_unreachable(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that an endpoint did not accept a connection for a request."""
        self._liveness.record_check(endpoint_id, ANY_INCARNATION, now_ms, is_answered=False)

    def apply_liveness(self, change: LivenessChange) -> None:
        """Send nothing to an endpoint that went silent, until it answers."""
        endpoint = self._fleet.tracked.get(change.endpoint_id)
        if endpoint is not None:
            endpoint.is_silent = change.state is not Liveness.RESPONSIVE
            self._fleet.mark_changed(endpoint)

    def apply_statements(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Send to an endpoint only as fast, and from when on, it stated that it takes requests."""
        endpoint = self._fleet.tracked.get(endpoint_id)
        if endpoint is not None:
            self._update_next_start(endpoint, now_ms)
            self._fleet.mark_changed(endpoint)

    def _update_next_start(self, endpoint: TrackedEndpoint, now_ms: int) -> None:
        endpoint_id = endpoint.info.endpoint_id
        endpoint.stated_until_ms = max(
            self._rate_limits.next_send_ms(endpoint_id, now_ms),
            self.availability.next_start_ms(endpoint_id),
        )

    def in_service_ids(self, pool_id: PoolId) -> tuple[EndpointId, ...]:
        """Return the endpoints of a pool that may get requests at all."""
        pool = self._fleet.pools.get(pool_id)
        endpoints = pool.endpoints if pool is not None else ()
        return tuple(item.info.endpoint_id for item in endpoints if item.in_service)

    def _forget_statements(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Forget what an endpoint stated, as another process has taken its place."""
        self.availability.forget(endpoint_id)
        self.apply_statements(endpoint_id, now_ms)

    def begin_doubt(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Send nothing to an endpoint that may have restarted cold; return whether this began.

        A request in flight shows by its own end whether the endpoint crashed.
        """
        endpoint = self._fleet.tracked.get(endpoint_id)
        if endpoint is None or endpoint.sent or not endpoint.info.has_cold_start:
            return False
        if now_ms < endpoint.doubted_until_ms:
            return False
        endpoint.doubted_until_ms = now_ms + MAX_DOUBT_MS
        return True

    def end_doubt(self, endpoint_id: EndpointId) -> None:
        """Let the endpoint's lease count again."""
        endpoint = self._fleet.tracked.get(endpoint_id)
        if endpoint is not None:
            endpoint.doubted_until_ms = 0
            self._fleet.mark_changed(endpoint)

    def observe_cache_event(self, event: CacheEvent, now_ms: int) -> None:
        """Apply a change of an endpoint's prefix cache."""
        self._fleet.prefixes.observe(event)

    def expected_output_tokens(self, key: ClassKey) -> float:
        """Return the learned output length in tokens of a workspace's class."""
        return self._lengths.estimate(key)

    def expected_duration_ms(self, key: ClassKey) -> int:
        """Return the learned time from sending to the end of an answer, 0 while unknown."""
        return round(self._durations.estimate(key))

    def choose(self, request: PlacementRequest, now_ms: int) -> Choice | None:
        """Return the endpoint for a request, or None when none can accept it now."""
        pool = self._fleet.pools.get(request.pool_id)
        if pool is None:
            return None
        scores = self._choose_staying(pool, request, now_ms)
        if not scores:
            return None
        best = pool.members[scores[0].endpoint_id].info
        return Choice(
            request_id=request.request_id,
            endpoint_id=best.endpoint_id,
            address=best.address,
            candidates=scores,
        )

    def _choose_staying(
        self, pool: Pool, request: PlacementRequest, now_ms: int
    ) -> tuple[CandidateScore, ...]:
        """Return the compared endpoints, those that may leave only if there are no others."""
        scores: tuple[CandidateScore, ...] = ()
        if leaving_ids := self.availability.leaving_ids:
            staying = replace(request, excluded=request.excluded | leaving_ids)
            scores = self._choose(pool, staying, self._generator, now_ms)
        return scores or self._choose(pool, request, self._generator, now_ms)

    def start_request(self, choice: Choice, request: PlacementRequest, now_ms: int) -> None:
        """Add a request to the in-flight work of the endpoint that was chosen for it."""
        self._refresh_if_due(now_ms)
        endpoint = self._fleet.tracked[choice.endpoint_id]
        self._starts += 1
        endpoint.last_start_number = self._starts
        self.availability.record_started(choice.endpoint_id, now_ms)
        self._rate_limits.record_sent(choice.endpoint_id, now_ms)
        self._update_next_start(endpoint, now_ms)
        prefixes = self._fleet.prefixes
        cached = prefixes.cached_share(choice.endpoint_id, request.prefix_hashes)
        self._in_flight.add_request(endpoint, request, cached * request.prompt_tokens, now_ms)

    def may_send(self, request_id: RequestId, now_ms: int) -> bool:
        """Return whether the request may still be sent; call right before its first byte.

        When it returns True, the request counts as sent. After False, call `finish_request` and
        place the request again.
        """
        self._lease_holder.check_pause(now_ms)
        placed = self._in_flight.get(request_id)
        if placed is None or not placed.endpoint.in_service:
            return False
        endpoint = placed.endpoint
        if not self.availability.may_send(endpoint.info.endpoint_id, now_ms):
            return False
        if endpoint.lease_until_ms <= now_ms and endpoint.fallback_ms <= now_ms:
            self._lease_holder.refresh((endpoint,), now_ms)
        if endpoint.sent + (not placed.sent) > endpoint.allowed(now_ms):
            return False
        if not placed.sent:
            self._liveness.record_sent(endpoint.info.endpoint_id, ANY_INCARNATION, now_ms)
        self._in_flight.mark_sent(placed, now_ms)
        return True

    def record_first_token(self, request_id: RequestId, now_ms: int) -> None:
        """Record the first token of the answer to a request."""
        placed = self._in_flight.get(request_id)
        if placed is None or placed.first_token_at_ms is not None:
            return
        self._liveness.record_begun(placed.endpoint.info.endpoint_id, ANY_INCARNATION, now_ms)
        self._update_warmth(placed, now_ms)
        self._in_flight.record_first_token_pace(placed, now_ms)
        self._fleet.prefixes.add_blocks(
            placed.endpoint.info.endpoint_id, placed.request.prefix_hashes
        )
        self._refresh_if_due(now_ms)

    def record_heard(self, request_id: RequestId, now_ms: int) -> None:
        """Record that bytes of an answer arrived from its endpoint."""
        placed = self._in_flight.get(request_id)
        if placed is not None:
            self._liveness.record_heard(placed.endpoint.info.endpoint_id, ANY_INCARNATION, now_ms)

    def record_progress(self, request_id: RequestId, tokens: int, now_ms: int) -> None:
        """Record further output tokens of an answer."""
        placed = self._in_flight.get(request_id)
        if placed is not None:
            self._in_flight.record_progress(placed, tokens, now_ms)

    def finish_request(self, request_id: RequestId, result: AttemptResult, now_ms: int) -> None:
        """Remove a request from the in-flight work; unknown request ids are ignored."""
        placed = self._in_flight.get(request_id)
        if placed is None:
            return
        if result is AttemptResult.COMPLETED:
            self.record_first_token(request_id, now_ms)
        if placed.sent:
            self._liveness.record_ended(
                placed.endpoint.info.endpoint_id,
                ANY_INCARNATION,
                had_begun=placed.first_token_at_ms is not None,
            )
        self._in_flight.remove_request(request_id, result, now_ms)
        self._fleet.mark_changed(placed.endpoint)
        if result is AttemptResult.CRASHED:
            self._lease_holder.mark_cold(placed.endpoint, now_ms)
        self._refresh_if_due(now_ms)

    def lease_requests(
        self, demand: Mapping[PoolId, Mapping[int, int]], now_ms: int
    ) -> tuple[LeaseRequest, ...]:
        """Return the lease requests to send now, given the demand by pool and tier.

        Call it several times a second; it also does the decider's periodic work.
        """
        self._lease_holder.check_pause(now_ms)
        self._detect_cold(now_ms)
        self._refresh_if_due(now_ms)
        demand_by_endpoint: dict[EndpointId, list[int]] = {}
        for pool_id, by_tier in demand.items():
            pool = self._fleet.pools.get(pool_id)
            if pool is None:
                continue
            for key, tiers in spread_demand(by_tier, pool.endpoints, now_ms).items():
                before = demand_by_endpoint.get(key)
                merged = tiers if before is None else list(map(max, before, tiers))
                demand_by_endpoint[key] = merged
        tiers_by_endpoint = {key: tuple(tiers) for key, tiers in demand_by_endpoint.items()}
        return self._lease_holder.due_requests(
            self._fleet.tracked.values(), tiers_by_endpoint, now_ms
        )

    def apply_grant(self, grant: LeaseGrant, now_ms: int) -> None:
        """Apply a steward's grant."""
        endpoint = self._fleet.tracked.get(grant.endpoint_id)
        if endpoint is not None and self._lease_holder.apply_grant(endpoint, grant, now_ms):
            self._fleet.mark_changed(endpoint)

    def apply_recall(self, recall: LeaseRecall, now_ms: int) -> None:
        """Release the lease on an endpoint that became cold."""
        endpoint = self._fleet.tracked.get(recall.endpoint_id)
        if endpoint is not None:
            self._lease_holder.apply_recall(endpoint, recall)

    def steward_id(self, endpoint_id: EndpointId) -> VmId | None:
        """Return the VM to send an endpoint's lease requests to, or None."""
        endpoint = self._fleet.tracked.get(endpoint_id)
        return None if endpoint is None else endpoint.steward_id

    def random_peer_steward(self, pool_id: PoolId, now_ms: int) -> VmId | None:
        """Return a random peer that is steward in this pool and so may have credits, or None."""
        return self._fleet.random_peer_steward(pool_id, self._generator)

    def endpoint_views(self, now_ms: int) -> tuple[EndpointView, ...]:
        """Return this node's view of every tracked endpoint."""
        return self._fleet.endpoint_views(now_ms)

    def _update_warmth(self, placed: PlacedRequest, now_ms: int) -> None:
        """Mark an endpoint cold, or credit its warm-up, from one first token."""
        endpoint = placed.endpoint
        pool = self._fleet.pools.get(placed.request.pool_id)
        if not endpoint.cold and seems_cold(placed, pool, now_ms):
            self._lease_holder.mark_cold(endpoint, now_ms)
        elif endpoint.cold and is_timely(placed, pool, now_ms):
            self._lease_holder.record_timely_first_token(endpoint, now_ms)
            self._fleet.mark_changed(endpoint)
        elif endpoint.cold and endpoint.credits > endpoint.info.cold_limit:
            self._lease_holder.mark_cold(endpoint, now_ms)

    def _refresh_if_due(self, now_ms: int) -> None:
        """Refresh time-dependent state; the more endpoints, the less often."""
        last_ms = self._refreshed_at_ms
        interval_ms = REFRESH_MS_PER_ENDPOINT * len(self._fleet.tracked)
        if last_ms is None or now_ms - last_ms >= max(REFRESH_INTERVAL_MS, interval_ms):
            self._refresh(now_ms)

    def _refresh(self, now_ms: int) -> None:
        """Refresh local shares, slowness and the detection of cold endpoints."""
        self._refreshed_at_ms = now_ms
        self._lease_holder.check_pause(now_ms)
        self._detect_cold(now_ms)
        for endpoint_id in self._rate_limits.limited_ids | self.availability.stated_ids:
            self.apply_statements(endpoint_id, now_ms)
        self._fleet.refresh(now_ms)

    def _detect_cold(self, now_ms: int) -> None:
        """Mark endpoints cold whose oldest sent request waits too long for its first token."""
        for endpoint in self._fleet.tracked.values():
            if not endpoint.awaiting_first_token or endpoint.cold:
                continue
            placed = next(iter(endpoint.awaiting_first_token.values()))
            pool = self._fleet.pools.get(placed.request.pool_id)
            if placed.sent and seems_cold(placed, pool, now_ms):
                self._lease_holder.mark_cold(endpoint, now_ms)
