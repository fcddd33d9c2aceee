"""Chooses an endpoint for a request by expected delay, prompt caching and failure rate."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
import copy
from operator import attrgetter
import random

from wagtailusher_core import EndpointId, FailureDomainId, VmId
from wagtailusher_gateway.capacity import (
    PrefillCaps,
    count_free_places,
    has_capacity,
    memory_tokens,
)
from wagtailusher_gateway.cold_start_limiter import ColdStartLimiter
from wagtailusher_gateway.const import (
    HEARTBEAT_INTERVAL_MS,
    REMOTE_DOMAIN_COST_MS,
    REMOTE_LOAD_AGE_COST,
    STALE_VIEW_MS,
)
from wagtailusher_gateway.contention import PlaceContention
from wagtailusher_gateway.delays import delay_ms, reprefill_weight
from wagtailusher_gateway.endpoint_registry import EndpointRegistry, TrackedEndpoint
from wagtailusher_gateway.engine_partition import EnginePartition, is_prompt_heavy
from wagtailusher_gateway.engine_rates import EngineRate
from wagtailusher_gateway.models import Endpoint, FleetView, RequestTerms, Service
from wagtailusher_gateway.outcomes import expected_failure_rate, failure_penalties_ms
from wagtailusher_gateway.placement_choice import (
    TIE_BREAK_MS,
    Barrier,
    Candidate,
    CandidateTerms,
    Choice,
    PlacementQuery,
    without_excluded,
)
from wagtailusher_gateway.prefixes import MissingTokens
from wagtailusher_gateway.prompt_caches import (
    CacheRanking,
    PromptCaches,
    cache_doubt,
)
from wagtailusher_gateway.reservation import Reservation
from wagtailusher_rate_limits import RateLimitDecider

COLD_COST_MS = 60.0
"""Cost penalty of an endpoint in cold start, which serves more slowly."""


class Placement:
    """Reserves and releases slots at all endpoints, as this VM sees them."""

    def __init__(
        self,
        *,
        registry: EndpointRegistry,
        cold_limiter: ColdStartLimiter,
        contention: PlaceContention,
        rate_limits: RateLimitDecider,
        failure_domain_id: FailureDomainId,
        seed: int,
        remote_interval_ms: Callable[[], int] = lambda: HEARTBEAT_INTERVAL_MS,
        on_long_prompt: Callable[[int], None] = lambda now_ms: None,
        unreaching_ids: Callable[[], frozenset[VmId]] = frozenset,
    ) -> None:
        """Initialize the placement.

        `remote_interval_ms` returns the interval at which loads from other failure domains arrive,
        `on_long_prompt` is called with the time when a long prompt was placed, and `unreaching_ids`
        returns the peers that don't send requests, as they reach no endpoint.
        """
        self._unreaching_ids = unreaching_ids
        self._remote_interval_ms = remote_interval_ms
        self._on_long_prompt = on_long_prompt
        self.registry = registry
        self._cold_limiter = cold_limiter
        self._contention = contention
        self.rate_limits = rate_limits
        self._failure_domain_id = failure_domain_id
        self.engine_rates = registry.rates
        self.caches = PromptCaches(registry.rates, failure_domain_id)
        self._partitions: dict[str, EnginePartition] = {}
        self._prefill_caps = PrefillCaps()
        self._random = random.Random(seed)

    def update(self, view: FleetView, now_ms: int) -> None:
        """Apply a view."""
        self._prefill_caps.update(view.configuration)
        for endpoint_id in self.registry.update(view, now_ms):
            self.caches.prefixes.remove_endpoint(endpoint_id)
        self.rate_limits.update_endpoints(
            {key: endpoint.born_ms for key, endpoint in view.endpoints.items()}
        )
        self._cold_limiter.retain_endpoints(frozenset(view.endpoints))
        self._contention.retain_endpoints(frozenset(view.endpoints))

    def record_arrival(self, service: Service, terms: RequestTerms, now_ms: int) -> None:
        """Add an arriving request to the demand estimate, whether or not it can be placed."""
        if service.engine is not None:
            partition = self._partitions.setdefault(service.name, EnginePartition())
            rate = self.engine_rates.service_rate(service.name, now_ms)
            partition.record_demand(terms, service.engine.batch_requests, rate, now_ms)

    def try_reserve(
        self,
        service: Service,
        terms: RequestTerms,
        view: FleetView,
        vm_ids: tuple[VmId, ...],
        now_ms: int,
        *,
        rank: int,
        excluded: frozenset[EndpointId] = frozenset(),
        software_version: str | None = None,
        may_use_limited: bool = True,
    ) -> Reservation | None:
        """Reserve a slot at the endpoint with the lowest cost; return None if all are full.

        `excluded` endpoints are used only if no other one has capacity; not those of other versions
        than a required `software_version`, nor those that name a limit unless `may_use_limited`.
        """
        query = PlacementQuery(
            service=service,
            terms=terms,
            view=view,
            vm_ids=vm_ids,
            now_ms=now_ms,
            rank=rank,
            excluded=excluded,
            software_version=software_version,
            may_use_limited=may_use_limited,
        )
        choice = self.choose(query)
        if choice.best is None:
            return None
        return self._reserve(query, choice, choice.best)

    def choose(self, query: PlacementQuery) -> Choice:
        """Return the endpoint with the lowest cost and what it was compared with; reserve none."""
        service, terms, now_ms = query.service, query.terms, query.now_ms
        usable = self.registry.usable_endpoints(
            service.name, query.view, now_ms, query.software_version
        )
        penalties, remote_cost_ms = (
            self._penalties_ms(service, terms, usable, len(query.vm_ids), now_ms),
            self._remote_cost_ms(),
        )
        ranking = self.caches.rank(service, terms, usable, penalties, remote_cost_ms, now_ms)
        exempt_ids = self._exempt_ids(service, ranking, penalties, now_ms)
        barriers: dict[EndpointId, Barrier] = {}
        candidates = [
            item
            for item in self._candidates(query, usable, barriers)
            if self._is_open(query, item, penalties, exempt_ids, barriers)
        ]
        candidates = without_excluded(candidates, query.excluded)
        if not candidates:
            return Choice(usable=usable, barriers=barriers)
        cached_chances = ranking.cached_chances({_id_of(item) for item in candidates})
        prefixes, vm_count = self.caches.prefixes, max(1, len(query.vm_ids))
        missing = prefixes.estimate_missing(terms.shared_parts, vm_count / len(penalties), now_ms)
        costs = self._costs(service, terms, penalties, candidates, cached_chances, missing, now_ms)
        best = min(costs, key=attrgetter("cost_ms"))
        chance = cached_chances.get(best.endpoint_id, 0.0) * prefixes.repeat_chance(vm_count)
        return Choice(
            usable=usable,
            barriers=barriers,
            candidates=costs,
            best=best,
            cached_chances=cached_chances,
            uncached_tokens=terms.own_prompt_tokens + missing(best.endpoint_id, chance),
        )

    def trial(self, generator: random.Random) -> Placement:
        """Return a copy to choose with, whose arrivals and random numbers are its own.

        It shares the loads, so nothing may be reserved with it.
        """
        found = copy.copy(self)
        found._random = generator
        found._partitions = {key: copy.copy(item) for key, item in self._partitions.items()}
        return found

    def _is_open(
        self,
        query: PlacementQuery,
        candidate: Candidate,
        penalties: dict[EndpointId, float],
        exempt_ids: Collection[EndpointId],
        barriers: dict[EndpointId, Barrier],
    ) -> bool:
        """Return whether a request may take a place at an endpoint with capacity; add why not."""
        endpoint_id = _id_of(candidate)
        if endpoint_id not in penalties:
            barriers[endpoint_id] = Barrier.PARTITION
        elif not query.may_use_limited and self.rate_limits.has_limit(endpoint_id):
            barriers[endpoint_id] = Barrier.FOR_MORE_URGENT
        elif not self._may_compete(query, candidate, exempt_ids):
            barriers[endpoint_id] = Barrier.FOR_OTHER_VMS
        else:
            return True
        return False

    def release(self, reservation: Reservation, *, is_prefill_done: bool) -> None:
        """Release a reservation; `is_prefill_done` if its prefill was already subtracted."""
        tracked = self.registry.get(reservation.endpoint.endpoint_id)
        if tracked is None:
            return
        tracked.own_load.requests -= 1
        tracked.own_load.memory_tokens -= reservation.memory_tokens
        if not is_prefill_done:
            tracked.own_load.prefill_tokens -= reservation.prefill_tokens

    def record_prefill_done(self, reservation: Reservation) -> None:
        """Subtract a request's prefill from the load, as its answer has begun."""
        tracked = self.registry.get(reservation.endpoint.endpoint_id)
        if tracked is not None:
            tracked.own_load.prefill_tokens -= reservation.prefill_tokens

    def _penalties_ms(
        self,
        service: Service,
        terms: RequestTerms,
        usable: list[TrackedEndpoint],
        vm_count: int,
        now_ms: int,
    ) -> dict[EndpointId, float]:
        """Return the endpoints that a request may use, with the cost penalty of each in ms."""
        ids = [tracked.endpoint.endpoint_id for tracked in usable]
        if service.engine is None:
            return dict.fromkeys(ids, 0.0)
        partition = self._partitions.setdefault(service.name, EnginePartition())
        rate = self.engine_rates.service_rate(service.name, now_ms)
        cost_ms = partition.reading_cost_ms(terms, rate, vm_count, len(ids), now_ms)
        return partition.penalties_ms(terms, ids, self.rate_limits.limited_ids, cost_ms)

    def _candidates(
        self,
        query: PlacementQuery,
        usable: list[TrackedEndpoint],
        barriers: dict[EndpointId, Barrier],
    ) -> Iterator[Candidate]:
        """Yield the endpoints with capacity, their load and whether they are cold.

        Add to `barriers` why the others have none.
        """
        service, view, vm_ids, now_ms = query.service, query.view, query.vm_ids, query.now_ms
        self._contention.set_vm_ids(self._sending_ids(vm_ids))
        stale = now_ms - view.confirmed_ms > STALE_VIEW_MS
        is_brittle = self.registry.is_brittle(service.name, now_ms)
        for tracked in usable:
            load, endpoint_id = tracked.total_load(now_ms), tracked.endpoint.endpoint_id
            cap_tokens = self._prefill_caps.cap_tokens(
                service.name, query.rank, self._rate(tracked, now_ms)
            )
            has_room = has_capacity(tracked.endpoint, service, query.terms, load, cap_tokens)
            if is_brittle:
                has_room = service.engine is None or has_room
            if not has_room:
                barriers[endpoint_id] = Barrier.FULL
                continue
            if is_brittle and not self._has_own_place(tracked):
                barriers[endpoint_id] = Barrier.NO_OWN_PLACE
                continue
            if not self.rate_limits.may_send(endpoint_id, now_ms):
                barriers[endpoint_id] = Barrier.LIMITED
                continue
            is_stale = stale or not tracked.has_current_entry(view, now_ms)
            is_cold = self.registry.is_cold(tracked, service, now_ms, view_stale=is_stale)
            if is_cold and not self._cold_limiter.may_send(
                endpoint_id, service.cold_requests_per_s, vm_ids, now_ms
            ):
                barriers[endpoint_id] = Barrier.COLD_LIMIT
                continue
            yield tracked, load, is_cold

    def _has_own_place(self, tracked: TrackedEndpoint) -> bool:
        """Return whether one of this VM's places at a brittle endpoint is free.

        Together the VMs so never send more than it runs, whatever they know of each other's loads.
        """
        endpoint = tracked.endpoint
        places = self._contention.own_places(endpoint.endpoint_id, endpoint.slots)
        return tracked.own_load.requests < places

    def holds_no_place(self, service: str, vm_ids: tuple[VmId, ...], now_ms: int) -> bool:
        """Return whether all places at the endpoints of a brittle service are other VMs'."""
        if not self.registry.is_brittle(service, now_ms):
            return False
        self._contention.set_vm_ids(self._sending_ids(vm_ids))
        slots = self.registry.slots_by_endpoint(service)
        return not any(self._contention.own_places(key, count) for key, count in slots.items())

    def place_holders(self, service: str, now_ms: int) -> frozenset[VmId] | None:
        """Return the VMs that have places at a brittle service's endpoints, None if all may."""
        if not self.registry.is_brittle(service, now_ms):
            return None
        slots = self.registry.slots_by_endpoint(service)
        return frozenset[VmId]().union(
            *(self._contention.place_holders(key, count) for key, count in slots.items())
        )

    def _sending_ids(self, vm_ids: tuple[VmId, ...]) -> tuple[VmId, ...]:
        """Return the VMs that compete for places."""
        unreaching_ids = self._unreaching_ids()
        if not unreaching_ids:
            return vm_ids
        return tuple(vm_id for vm_id in vm_ids if vm_id not in unreaching_ids)

    def _costs(
        self,
        service: Service,
        terms: RequestTerms,
        penalties: dict[EndpointId, float],
        candidates: list[Candidate],
        cached_chances: dict[EndpointId, float],
        missing: MissingTokens,
        now_ms: int,
    ) -> list[CandidateTerms]:
        """Return the terms of each candidate's cost: delay, penalties and random tie-breaks."""
        remote_cost_ms = self._remote_cost_ms()
        typical = self.engine_rates.service_rate(service.name, now_ms)
        weight = reprefill_weight((load for _, load, _ in candidates), typical)
        failure_penalties = failure_penalties_ms(
            expected_failure_rate(load.answers, load.failures) for _, load, _ in candidates
        )

        def cost(candidate: Candidate, failure_penalty_ms: float) -> CandidateTerms:
            tracked, load, is_cold = candidate
            endpoint_id = tracked.endpoint.endpoint_id
            rate = self._rate(tracked, now_ms)
            missing_tokens = missing(endpoint_id, cached_chances.get(endpoint_id, 0.0))
            return CandidateTerms(
                candidate=candidate,
                delay_ms=delay_ms(service, tracked.endpoint, load, rate, terms.max_output_tokens),
                missing_tokens=missing_tokens,
                missing_ms=weight * rate.prompt_ms(missing_tokens),
                partition_ms=penalties[endpoint_id],
                failure_ms=failure_penalty_ms,
                cold_ms=COLD_COST_MS if is_cold else 0.0,
                domain_ms=remote_cost_ms if self._is_remote(tracked.endpoint) else 0.0,
                tie_break_ms=TIE_BREAK_MS * self._random.random(),
            )

        return [cost(*pair) for pair in zip(candidates, failure_penalties, strict=True)]

    def _exempt_ids(
        self,
        service: Service,
        ranking: CacheRanking,
        penalties: dict[EndpointId, float],
        now_ms: int,
    ) -> Collection[EndpointId]:
        """Return the endpoints at which this VM does not compete with others.

        Those that probably have the prompt cached differ by the request; places at brittle ones are
        shared out.
        """
        if self.registry.is_brittle(service.name, now_ms):
            return penalties.keys()
        return ranking.preferred_ids(penalties.keys())

    def _may_compete(
        self, query: PlacementQuery, candidate: Candidate, exempt_ids: Collection[EndpointId]
    ) -> bool:
        """Return whether this VM may take a place at an engine, or leaves it to other VMs.

        Requests that require a software version are exempt, as they have few to choose from.
        """
        (tracked, load, _), service = candidate, query.service
        endpoint_id = tracked.endpoint.endpoint_id
        is_exempt = query.software_version is not None or endpoint_id in exempt_ids
        if service.engine is None or is_exempt:
            return True
        rate = self._rate(tracked, query.now_ms)
        cap_tokens = self._prefill_caps.cap_tokens(service.name, query.rank, rate)
        free_places = count_free_places(tracked.endpoint, query.terms, load, cap_tokens)
        return self._contention.may_compete(endpoint_id, free_places, query.rank)

    def _rate(self, tracked: TrackedEndpoint, now_ms: int) -> EngineRate:
        endpoint = tracked.endpoint
        return self.engine_rates.rate(endpoint.service, endpoint.endpoint_id, now_ms)

    def queued_tokens(self, endpoint_id: EndpointId, now_ms: int) -> int:
        """Return the prompt tokens believed to be queued at an endpoint."""
        tracked = self.registry.get(endpoint_id)
        return tracked.total_load(now_ms).prefill_tokens if tracked is not None else 0

    def running_requests(self, endpoint_id: EndpointId, now_ms: int) -> int:
        """Return the requests believed to be at an endpoint."""
        tracked = self.registry.get(endpoint_id)
        return tracked.total_load(now_ms).requests if tracked is not None else 0

    def _is_remote(self, endpoint: Endpoint) -> bool:
        return endpoint.failure_domain_id != self._failure_domain_id

    def _remote_cost_ms(self) -> float:
        """Return the cost penalty of endpoints in other failure domains, in ms."""
        extra_age_ms = self._remote_interval_ms() - HEARTBEAT_INTERVAL_MS
        return REMOTE_DOMAIN_COST_MS + REMOTE_LOAD_AGE_COST * max(0, extra_age_ms)

    def _reserve(self, query: PlacementQuery, choice: Choice, best: CandidateTerms) -> Reservation:
        """Add a request to an endpoint's load and return its reservation."""
        service, terms, now_ms = query.service, query.terms, query.now_ms
        (tracked, load, is_cold), endpoint_id = best.candidate, best.endpoint_id
        uncached_tokens = choice.uncached_tokens
        rate = self._rate(tracked, now_ms)
        queued_tokens = load.prefill_tokens + uncached_tokens
        reservation = Reservation(
            endpoint=tracked.endpoint,
            prefill_tokens=uncached_tokens if service.engine is not None else 0,
            memory_tokens=memory_tokens(terms),
            is_cold=is_cold,
            cost_ms=best.cost_ms,
            waiting_tokens=load.prefill_tokens,
            running=load.requests,
            own_running=tracked.own_load.requests,
            load_age_ms=now_ms - load.received_ms,
            expected_first_ms=rate.first_event_ms + rate.prompt_ms(queued_tokens),
            output_tokens=terms.max_output_tokens,
            cache_doubt=cache_doubt(terms, uncached_tokens),
            cache_belief=self.caches.new_belief(
                terms, endpoint_id, choice.cached_chances, rate, load.prefill_tokens, now_ms
            ),
        )
        tracked.add_own(reservation.prefill_tokens, reservation.memory_tokens)
        self._cold_limiter.record_sent(endpoint_id, now_ms)
        self.rate_limits.record_sent(endpoint_id, now_ms)
        self.registry.availability.record_started(endpoint_id, now_ms)
        self.caches.prefixes.record_use(terms.shared_parts, endpoint_id, now_ms)
        if is_prompt_heavy(terms):
            self._on_long_prompt(now_ms)
        return reservation


def _id_of(candidate: Candidate) -> EndpointId:
    return candidate[0].endpoint.endpoint_id
