"""Chooses an endpoint for a request; answers bursts of long prompts and of shared prompts."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
import random

from wagtailusher_core import EndpointId, FailureDomainId, VmId, rank_by_rendezvous
from wagtailusher_gateway.cold import ColdShares
from wagtailusher_gateway.const import (
    BEAT_INTERVAL_MS,
    FAR_LOAD_COST,
    FOREIGN_DOMAIN_COST_MS,
    KV_SHARE,
    PREFILL_CAP_MS,
    PREFILL_TOKENS_PER_MS,
    RUNNING_COST_MS,
    STALE_VIEW_MS,
)
from wagtailusher_gateway.endpoint_registry import EndpointRegistry, Load, TrackedEndpoint
from wagtailusher_gateway.lanes import Lanes, is_prompt_heavy
from wagtailusher_gateway.models import Endpoint, FleetView, RequestTerms, Service
from wagtailusher_gateway.outcomes import failing_costs_ms, failing_share
from wagtailusher_gateway.prefixes import MissingTokens, PrefixMemory

KEPT_BY_RANK = (0.9, 0.5)
"""Chance that the first and the second endpoint on which all VMs agree keep a shared prompt."""

REREAD_WEIGHT_MAX = 6.0
"""Most weight of a shared part read anew at busy endpoints, where it delays all who wait."""

REREAD_WAIT_MS = 40.0
"""Mean wait for reading that adds one to that weight; about the reading of one shared part."""

PLAIN_QUEUE = 1
"""Requests beyond its slots that a plain endpoint may get; covers the time between two."""

COLD_COST_MS = 60.0
"""Handicap of an endpoint in cold start, which serves more slowly."""

PLAIN_REQUEST_COST_MS = 60.0
"""Delay at a plain endpoint whose slots are all taken; a few service times."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Placed:
    """An endpoint with a place that this VM took, to be given back."""

    endpoint: Endpoint
    prefill_tokens: int
    memory_tokens: int
    is_cold: bool
    cost_ms: float
    """Expected delay and handicaps, by which the endpoint was chosen."""
    waiting_tokens: int
    """Prompt tokens that were taken to wait there."""
    running: int
    """Requests that were taken to run there."""


class Placement:
    """Places of all endpoints as this VM sees them."""

    def __init__(
        self,
        *,
        registry: EndpointRegistry,
        cold: ColdShares,
        failure_domain_id: FailureDomainId,
        seed: int,
        far_interval_ms: Callable[[], int] = lambda: BEAT_INTERVAL_MS,
        on_long_prompt: Callable[[int], None] = lambda now_ms: None,
    ) -> None:
        """Start with the given beliefs.

        `far_interval_ms` tells how often loads of other failure domains are heard, and
        `on_long_prompt` is told when one was placed.
        """
        self._far_interval_ms = far_interval_ms
        self._on_long_prompt = on_long_prompt
        self.registry = registry
        self._cold = cold
        self._failure_domain_id = failure_domain_id
        self._prefixes = PrefixMemory()
        self._lanes: dict[str, Lanes] = {}
        self._random = random.Random(seed)

    def update(self, view: FleetView, now_ms: int) -> None:
        """Take a view over."""
        for endpoint_id in self.registry.update(view, now_ms):
            self._prefixes.forget(endpoint_id)
        self._cold.keep_only(frozenset(view.endpoints))

    def note_demand(self, service: Service, terms: RequestTerms, now_ms: int) -> None:
        """Count a request that arrives, whether or not it finds a place."""
        if service.engine is not None:
            lanes = self._lanes.setdefault(service.name, Lanes())
            lanes.note(terms, service.engine.batch_requests, now_ms)

    def take(
        self,
        service: Service,
        terms: RequestTerms,
        view: FleetView,
        vm_ids: tuple[VmId, ...],
        now_ms: int,
        *,
        avoid: frozenset[EndpointId] = frozenset(),
    ) -> Placed | None:
        """Take a place at the endpoint where the request is expected to begin first."""
        usable = self.registry.usable(service.name, view, now_ms)
        handicaps = self._handicaps_ms(service, terms, usable)
        open_places = [
            place
            for place in self._open(service, terms, usable, view, vm_ids, now_ms)
            if place[0].endpoint.endpoint_id in handicaps
        ]
        fresh = [place for place in open_places if place[0].endpoint.endpoint_id not in avoid]
        open_places = fresh or open_places
        if not open_places:
            return None
        kept = self._kept_by_agreement(service, terms, handicaps, open_places)
        fleet_factor = max(1, len(vm_ids)) / len(open_places)
        missing = self._prefixes.expect_missing(terms.shared_parts, fleet_factor, now_ms)
        costs = self._costs(service, handicaps, open_places, kept, missing)
        best = min(range(len(open_places)), key=lambda index: costs[index])
        endpoint_id = open_places[best][0].endpoint.endpoint_id
        chance = kept.get(endpoint_id, 0.0) * self._prefixes.repeat_chance(len(vm_ids))
        unread_tokens = terms.own_prompt_tokens + missing(endpoint_id, chance)
        return self._occupy(service, terms, open_places[best], costs[best], unread_tokens, now_ms)

    def release(self, placed: Placed, *, began: bool) -> None:
        """Give a place back; `began` says that the prompt was already counted as read."""
        tracked = self.registry.get(placed.endpoint.endpoint_id)
        if tracked is None:
            return
        tracked.own_load.requests -= 1
        tracked.own_load.memory_tokens -= placed.memory_tokens
        if not began:
            tracked.own_load.prefill_tokens -= placed.prefill_tokens

    def note_began(self, placed: Placed) -> None:
        """Note that the prompt was read."""
        tracked = self.registry.get(placed.endpoint.endpoint_id)
        if tracked is not None:
            tracked.own_load.prefill_tokens -= placed.prefill_tokens

    def _handicaps_ms(
        self, service: Service, terms: RequestTerms, usable: list[TrackedEndpoint]
    ) -> dict[EndpointId, float]:
        """Return the endpoints that a request may use, with each one's handicap in ms."""
        ids = [tracked.endpoint.endpoint_id for tracked in usable]
        if service.engine is None:
            return dict.fromkeys(ids, 0.0)
        return self._lanes.setdefault(service.name, Lanes()).handicaps_ms(terms, ids)

    def _open(
        self,
        service: Service,
        terms: RequestTerms,
        usable: list[TrackedEndpoint],
        view: FleetView,
        vm_ids: tuple[VmId, ...],
        now_ms: int,
    ) -> Iterator[tuple[TrackedEndpoint, Load, bool]]:
        """Yield the endpoints with room, their load and whether they are cold."""
        stale = now_ms - view.confirmed_ms > STALE_VIEW_MS
        for tracked in usable:
            load = tracked.total_load(now_ms)
            if not _has_room(tracked.endpoint, service, terms, load):
                continue
            is_cold = self.registry.is_cold(tracked, service, now_ms, view_stale=stale)
            if is_cold and not self._cold.may_send(
                tracked.endpoint.endpoint_id, service.cold_requests_per_s, vm_ids, now_ms
            ):
                continue
            yield tracked, load, is_cold

    def _costs(
        self,
        service: Service,
        handicaps: dict[EndpointId, float],
        open_places: list[tuple[TrackedEndpoint, Load, bool]],
        kept: dict[EndpointId, float],
        missing: MissingTokens,
    ) -> list[float]:
        """Return the expected delay at each place, in ms; chance decides between equals."""
        far_cost_ms = self._far_cost_ms()
        reread_ms = _reread_weight(load for _, load, _ in open_places) / PREFILL_TOKENS_PER_MS
        failing_ms = failing_costs_ms(
            failing_share(load.answers, load.failures) for _, load, _ in open_places
        )

        def cost_ms(place: tuple[TrackedEndpoint, Load, bool], failing_cost_ms: float) -> float:
            tracked, load, is_cold = place
            endpoint_id = tracked.endpoint.endpoint_id
            return (
                self._random.random()
                + _delay_ms(service, tracked.endpoint, load)
                + reread_ms * missing(endpoint_id, kept.get(endpoint_id, 0.0))
                + handicaps[endpoint_id]
                + failing_cost_ms
                + (COLD_COST_MS if is_cold else 0.0)
                + (far_cost_ms if self._is_far(tracked.endpoint) else 0.0)
            )

        return [cost_ms(*pair) for pair in zip(open_places, failing_ms, strict=True)]

    def _kept_by_agreement(
        self,
        service: Service,
        terms: RequestTerms,
        handicaps: dict[EndpointId, float],
        open_places: list[tuple[TrackedEndpoint, Load, bool]],
    ) -> dict[EndpointId, float]:
        """Return the chances that the endpoints on which all VMs agree keep a shared prompt."""
        if service.engine is None or not terms.shared_parts:
            return {}
        own = [place for place in open_places if not self._is_far(place[0].endpoint)]
        is_local = own and self._far_cost_ms() > FOREIGN_DOMAIN_COST_MS
        agreed = _agreed(terms, own if is_local else open_places, handicaps)
        return dict(zip(agreed, KEPT_BY_RANK, strict=False))

    def _is_far(self, endpoint: Endpoint) -> bool:
        """Tell whether an endpoint is in another failure domain."""
        return endpoint.failure_domain_id != self._failure_domain_id

    def _far_cost_ms(self) -> float:
        """Return the handicap of endpoints in other failure domains, in ms."""
        late_ms = self._far_interval_ms() - BEAT_INTERVAL_MS
        return FOREIGN_DOMAIN_COST_MS + FAR_LOAD_COST * max(0, late_ms)

    def _occupy(
        self,
        service: Service,
        terms: RequestTerms,
        place: tuple[TrackedEndpoint, Load, bool],
        cost_ms: float,
        unread_tokens: int,
        now_ms: int,
    ) -> Placed:
        """Count a request at an endpoint."""
        tracked, load, is_cold = place
        endpoint_id = tracked.endpoint.endpoint_id
        placed = Placed(
            endpoint=tracked.endpoint,
            prefill_tokens=unread_tokens if service.engine is not None else 0,
            memory_tokens=_memory_tokens(terms),
            is_cold=is_cold,
            cost_ms=cost_ms,
            waiting_tokens=load.prefill_tokens,
            running=load.requests,
        )
        tracked.own_load.requests += 1
        tracked.own_load.prefill_tokens += placed.prefill_tokens
        tracked.own_load.memory_tokens += placed.memory_tokens
        self._cold.note_sent(endpoint_id, now_ms)
        self._prefixes.note_used(terms.shared_parts, endpoint_id, now_ms)
        if is_prompt_heavy(terms):
            self._on_long_prompt(now_ms)
        return placed


def _reread_weight(loads: Iterable[Load]) -> float:
    """Return the weight of a shared part read anew; it grows as more prompts wait."""
    waiting = [load.prefill_tokens for load in loads]
    mean_wait_ms = sum(waiting) / len(waiting) / PREFILL_TOKENS_PER_MS
    return min(REREAD_WEIGHT_MAX, 1.0 + mean_wait_ms / REREAD_WAIT_MS)


def _delay_ms(service: Service, endpoint: Endpoint, load: Load) -> float:
    """Return how long the work at an endpoint is expected to delay a new request."""
    if service.engine is None:
        return PLAIN_REQUEST_COST_MS * load.requests / max(1, endpoint.slots)
    return load.prefill_tokens / PREFILL_TOKENS_PER_MS + RUNNING_COST_MS * load.requests


def _memory_tokens(terms: RequestTerms) -> int:
    """Return the tokens of its own that a request holds in an engine's memory."""
    return terms.own_prompt_tokens + terms.max_output_tokens


def _has_room(endpoint: Endpoint, service: Service, terms: RequestTerms, load: Load) -> bool:
    """Tell whether one more request fits at an endpoint."""
    engine = service.engine
    if engine is None:
        return load.requests < endpoint.slots + PLAIN_QUEUE
    if load.requests >= endpoint.slots:
        return False
    if load.requests and load.prefill_tokens > PREFILL_CAP_MS * PREFILL_TOKENS_PER_MS:
        return False
    taken = load.memory_tokens + _memory_tokens(terms)
    return not load.requests or taken <= engine.memory_tokens * KV_SHARE


def _agreed(
    terms: RequestTerms,
    open_places: list[tuple[TrackedEndpoint, Load, bool]],
    handicaps: dict[EndpointId, float],
) -> list[EndpointId]:
    """Return the endpoints in the order in which all VMs prefer them for a shared prompt."""
    ids = [place[0].endpoint.endpoint_id for place in open_places]
    own_lane = [endpoint_id for endpoint_id in ids if not handicaps.get(endpoint_id)]
    ranked = rank_by_rendezvous(terms.shared_parts[-1].part_id, own_lane or ids)
    return [EndpointId(endpoint_id) for endpoint_id in ranked]
