"""State of each endpoint known to this VM: its entry, load, failures and restarts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from wagtailusher_availability import AvailabilityDecider
from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.const import (
    ASSUMED_COLD_MS,
    EJECT_FAILURES,
    EJECT_MS,
    ENTRY_LAPSE_MS,
    MAX_EJECTED_SHARE,
    MISDIRECTED_EJECT_MS,
    REFUSED_EJECT_MS,
    VIEW_DELAY_MS,
)
from wagtailusher_gateway.engine_rates import EngineRates
from wagtailusher_gateway.models import Endpoint, FleetView, Service
from wagtailusher_gateway.outcomes import Outcomes
from wagtailusher_liveness import Liveness, LivenessChange, LivenessDecider

PEER_LOAD_AGE_MS = 2_500
"""Age beyond which a peer's load report is ignored; nearly two heartbeat intervals of the largest
fleets."""

PEERS_REFRESH_MS = 10
"""How long the sum of what peers reported is used; two decoding steps of an engine."""

MIN_REPORTED_FAILURES = 0.5
"""Decayed count of recent failures from which an idle endpoint is reported to peers; a single
failure is reported until it has decayed to half its weight."""

MIN_LOST_CONNECTIONS = 2
"""Connections of requests whose end, with none left, is taken for a restart of the endpoint; a
single one may be a fault of the network."""


@dataclass(slots=True, kw_only=True)
class Load:
    """Load that one VM puts on an endpoint, with decayed counts of its recent outcomes."""

    requests: int = 0
    prefill_tokens: int = 0
    """Prompt tokens of requests whose answer has not begun."""
    memory_tokens: int = 0
    """Prompt and output tokens of all requests."""
    answers: float = 0.0
    """Recent successful requests."""
    failures: float = 0.0
    """Recent requests that ended without a usable answer."""
    received_ms: int = 0
    """When a peer's report arrived; of a total, when the oldest one in it did."""
    is_updated_early: bool = True
    """Whether the peer reports each new long prompt at once, so that what it has queued at the
    endpoint only shrinks between its reports."""


@dataclass(slots=True, kw_only=True)
class TrackedEndpoint:
    """An endpoint with its load, its recent outcomes and the times until which it is ejected."""

    endpoint: Endpoint
    rates: EngineRates
    own_load: Load = field(default_factory=Load)
    outcomes: Outcomes = field(default_factory=Outcomes)
    peer_loads: dict[VmId, Load] = field(default_factory=dict)
    consecutive_failures: int = 0
    ejected_until_ms: int = 0
    cold_suspected_until_ms: int = 0
    crashed_until_ms: int = 0
    """Until when the entry may be that of an incarnation that crashed."""
    lost_ms: int = 0
    """When this VM last had a sign that the endpoint may have restarted."""
    was_unresponsive: bool = False
    lost_connections: int = 0
    """Connections of requests that the endpoint ended since one was served, or none was left."""
    _peers_total: Load | None = None
    """What peers reported, summed up at `_peers_total_ms`; None after a new report."""
    _peers_total_ms: int = 0

    def add_own(self, prefill_tokens: int, memory_tokens: int) -> None:
        """Add one request to this VM's load."""
        self.own_load.requests += 1
        self.own_load.prefill_tokens += prefill_tokens
        self.own_load.memory_tokens += memory_tokens

    def has_current_entry(self, view: FleetView, now_ms: int) -> bool:
        """Return whether the entry is that of the process which accepts connections now.

        A view shows a restart if it was confirmed later than the last sign of one. While a process
        that crashed is not replaced, its entry stays in the store.
        """
        if now_ms < self.crashed_until_ms:
            return False
        return not self.lost_ms or view.confirmed_ms >= self.lost_ms + VIEW_DELAY_MS

    def set_peer_load(self, vm_id: VmId, load: Load | None) -> None:
        """Replace what a peer reported; None if it reports no load here any more."""
        self._peers_total = None
        if load is None:
            self.peer_loads.pop(vm_id, None)
        else:
            self.peer_loads[vm_id] = load

    def total_load(self, now_ms: int) -> Load:
        """Return the load of all VMs; that of the peers is summed up anew now and then."""
        peers = self._peers_total
        if peers is None or not 0 <= now_ms - self._peers_total_ms < PEERS_REFRESH_MS:
            peers = self._peers_total = self._sum_peer_loads(now_ms)
            self._peers_total_ms = now_ms
        answers, failures = self.outcomes.recent(now_ms)
        return Load(
            requests=self.own_load.requests + peers.requests,
            prefill_tokens=self.own_load.prefill_tokens + peers.prefill_tokens,
            memory_tokens=self.own_load.memory_tokens + peers.memory_tokens,
            answers=answers + peers.answers,
            failures=failures + peers.failures,
            received_ms=min(now_ms, peers.received_ms),
        )

    def _sum_peer_loads(self, now_ms: int) -> Load:
        """Return the load of all peers.

        The queued prefill that they reported is reduced by what the engine can have processed since
        the report, unless they may have added to it without another one.
        """
        total = Load(received_ms=now_ms)
        prefill = 0.0
        rate = self.rates.rate(self.endpoint.service, self.endpoint.endpoint_id, now_ms)
        for load in self.peer_loads.values():
            age_ms = now_ms - load.received_ms
            if age_ms > PEER_LOAD_AGE_MS:
                continue
            total.requests += load.requests
            total.memory_tokens += load.memory_tokens
            done_tokens = age_ms * rate.prompt_tokens_per_ms if load.is_updated_early else 0.0
            prefill += max(0.0, load.prefill_tokens - done_tokens)
            total.answers += load.answers
            total.failures += load.failures
            total.received_ms = min(total.received_ms, load.received_ms)
        total.prefill_tokens = int(prefill)
        return total


class EndpointRegistry:
    """All known endpoints, by identifier and by service."""

    def __init__(
        self,
        liveness: LivenessDecider | None = None,
        availability: AvailabilityDecider | None = None,
    ) -> None:
        """Leave out the endpoints that `liveness` finds unresponsive, and those that want none."""
        self.liveness = liveness or LivenessDecider()
        self.availability = availability or AvailabilityDecider()
        self.rates = EngineRates()
        self._tracked: dict[EndpointId, TrackedEndpoint] = {}
        self._by_service: dict[str, list[TrackedEndpoint]] = {}
        self._reported_by: dict[VmId, frozenset[EndpointId]] = {}
        """Endpoints with loads in the last report of each peer."""

    def get(self, endpoint_id: EndpointId) -> TrackedEndpoint | None:
        """Return the state of an endpoint, or None if it is unknown."""
        return self._tracked.get(endpoint_id)

    def update(self, view: FleetView, now_ms: int) -> tuple[EndpointId, ...]:
        """Apply a view; return the endpoints that restarted."""
        incarnations = {key: endpoint.born_ms for key, endpoint in view.endpoints.items()}
        self.liveness.update_endpoints(incarnations, now_ms)
        self.availability.update_endpoints(incarnations)
        restarted = []
        for endpoint in view.endpoints.values():
            existing = self._tracked.get(endpoint.endpoint_id)
            if existing is None:
                self._tracked[endpoint.endpoint_id] = TrackedEndpoint(
                    endpoint=endpoint, rates=self.rates
                )
                continue
            if existing.endpoint.born_ms != endpoint.born_ms:
                restarted.append(endpoint.endpoint_id)
                existing.consecutive_failures = 0
                existing.outcomes = Outcomes()
                existing.ejected_until_ms = 0
                existing.crashed_until_ms = 0
            existing.endpoint = endpoint
        for endpoint_id in self._tracked.keys() - view.endpoints.keys():
            if not self._tracked[endpoint_id].own_load.requests:
                del self._tracked[endpoint_id]
        self.rates.update_endpoints(
            {key: endpoint.service for key, endpoint in view.endpoints.items()}, restarted
        )
        self._by_service = {}
        for tracked in self._tracked.values():
            if tracked.endpoint.endpoint_id in view.endpoints:
                self._by_service.setdefault(tracked.endpoint.service, []).append(tracked)
        return tuple(restarted)

    def set_peer_loads(
        self, vm_id: VmId, loads: Iterable[tuple[EndpointId, Load]], now_ms: int
    ) -> None:
        """Replace the loads that a peer reported for all endpoints."""
        reported = dict(loads)
        for endpoint_id in self._reported_by.get(vm_id, frozenset()) - reported.keys():
            if endpoint_id in self._tracked:
                self._tracked[endpoint_id].set_peer_load(vm_id, None)
        for endpoint_id, load in reported.items():
            tracked = self._tracked.get(endpoint_id)
            if tracked is not None:
                load.received_ms = now_ms
                tracked.set_peer_load(vm_id, load)
        if reported:
            self._reported_by[vm_id] = frozenset(reported)
        else:
            self._reported_by.pop(vm_id, None)

    def own_loads(self, now_ms: int) -> list[tuple[EndpointId, Load]]:
        """Return the loads to report to peers: failing endpoints first, then the busiest.

        Requests to an endpoint that this VM does not reach take no place there.
        """
        reported = []
        for endpoint_id, tracked in self._tracked.items():
            if self.liveness.state(endpoint_id) is Liveness.UNRESPONSIVE:
                continue
            if not tracked.own_load.requests and not tracked.outcomes.failures:
                continue
            answers, failures = tracked.outcomes.recent(now_ms)
            if tracked.own_load.requests or failures >= MIN_REPORTED_FAILURES:
                reported.append(
                    (endpoint_id, replace(tracked.own_load, answers=answers, failures=failures))
                )
        return sorted(reported, key=lambda item: (-round(item[1].failures), -item[1].requests))

    def unreached_services(self, view: FleetView) -> tuple[str, ...]:
        """Return the services of which this VM reaches no endpoint that may get requests."""
        if not self.liveness.has_doubts:
            return ()
        return tuple(sorted(name for name in self._by_service if self.is_unreached(name, view)))

    def is_unreached(self, service: str, view: FleetView) -> bool:
        """Return whether no endpoint of a service accepts this VM's connections."""
        if not self.liveness.has_doubts:
            return False
        states = {
            self.liveness.state(tracked.endpoint.endpoint_id)
            for tracked in self._by_service.get(service, ())
            if may_get_requests(tracked.endpoint, view)
        }
        return states == {Liveness.UNRESPONSIVE}

    def is_brittle(self, service: str, now_ms: int) -> bool:
        """Return whether an endpoint of a service stated that it is brittle; all are then."""
        return not self.availability.is_empty and any(
            self.availability.is_brittle(tracked.endpoint.endpoint_id, now_ms)
            for tracked in self._by_service.get(service, ())
        )

    def slots_by_endpoint(self, service: str) -> dict[EndpointId, int]:
        """Return the slots of each endpoint of a service."""
        return {
            tracked.endpoint.endpoint_id: tracked.endpoint.slots
            for tracked in self._by_service.get(service, ())
        }

    def usable_endpoints(
        self, service: str, view: FleetView, now_ms: int, software_version: str | None = None
    ) -> list[TrackedEndpoint]:
        """Return the endpoints of a service that may get requests, without the ejected ones.

        Only those that are known to have a software version if one is required, and none that
        wants no requests. Silent ones, and those that may leave, are left out while there are
        others. Of these, at most `MAX_EJECTED_SHARE` is ejected, so that a common cause does not
        eject all.
        """
        allowed = self._most_responsive(
            tracked
            for tracked in self._by_service.get(service, ())
            if may_get_requests(tracked.endpoint, view, software_version)
            and (software_version is None or tracked.has_current_entry(view, now_ms))
            and self.availability.may_start(tracked.endpoint.endpoint_id, now_ms)
        )
        allowed = self._without_leaving(allowed)
        healthy = [tracked for tracked in allowed if tracked.ejected_until_ms <= now_ms]
        if len(healthy) >= len(allowed) * (1 - MAX_EJECTED_SHARE):
            return healthy
        allowed.sort(key=lambda tracked: tracked.ejected_until_ms)
        return allowed[: max(1, round(len(allowed) * (1 - MAX_EJECTED_SHARE)))]

    def _without_leaving(self, allowed: list[TrackedEndpoint]) -> list[TrackedEndpoint]:
        """Return the endpoints without those that may leave; if these are all, all."""
        if self.availability.is_empty:
            return allowed
        staying = [
            tracked
            for tracked in allowed
            if not self.availability.may_leave(tracked.endpoint.endpoint_id)
        ]
        return staying or allowed

    def wait_ms(
        self, service: str, view: FleetView, now_ms: int, software_version: str | None = None
    ) -> int | None:
        """Return for how long no endpoint of a service wants requests, 0 if one does.

        None if all that could get them leave.
        """
        endpoint_ids = (
            tracked.endpoint.endpoint_id
            for tracked in self._by_service.get(service, ())
            if may_get_requests(tracked.endpoint, view, software_version)
        )
        return self.availability.shortest_wait_ms(endpoint_ids, now_ms)

    def _most_responsive(self, allowed: Iterable[TrackedEndpoint]) -> list[TrackedEndpoint]:
        """Return the responsive endpoints; without any, the suspected ones; without these, all."""
        if not self.liveness.has_doubts:
            return list(allowed)
        by_state: dict[Liveness, list[TrackedEndpoint]] = {}
        for tracked in allowed:
            state = self.liveness.state(tracked.endpoint.endpoint_id)
            by_state.setdefault(state, []).append(tracked)
        return next((by_state[state] for state in Liveness if state in by_state), [])

    def is_cold(
        self, tracked: TrackedEndpoint, service: Service, now_ms: int, *, view_stale: bool
    ) -> bool:
        """Return whether an endpoint must be treated as being in cold start."""
        if service.cold_requests_per_s <= 0:
            return False
        cold_until_ms = max(tracked.endpoint.cold_until_ms, tracked.cold_suspected_until_ms)
        return view_stale or now_ms < cold_until_ms

    def software_version(self, endpoint: Endpoint, view: FleetView, now_ms: int) -> str:
        """Return the software version of what answers at an endpoint now, empty if unknown."""
        tracked = self._tracked.get(endpoint.endpoint_id)
        is_known = tracked is not None and tracked.has_current_entry(view, now_ms)
        return endpoint.software_version if is_known else ""

    def record_crash(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that an endpoint crashed; its entry may outlive it until it has lapsed."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.lost_ms = now_ms
            tracked.crashed_until_ms = now_ms + ENTRY_LAPSE_MS

    def record_connection_lost(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that an endpoint ended a request's connection, before the request is released.

        If it ended those of all requests, it may have restarted.
        """
        tracked = self._tracked.get(endpoint_id)
        if tracked is None:
            return
        tracked.lost_connections += 1
        if tracked.own_load.requests > 1:
            return
        if tracked.lost_connections >= MIN_LOST_CONNECTIONS:
            tracked.lost_ms = now_ms
        tracked.lost_connections = 0

    def record_liveness(self, change: LivenessChange, now_ms: int) -> None:
        """Record that an endpoint may restart unseen, or may have done so.

        A peer's word counts where this VM has no request whose connection would tell.
        """
        tracked = self._tracked.get(change.endpoint_id)
        if tracked is None:
            return
        if change.state is Liveness.UNRESPONSIVE or tracked.was_unresponsive:
            tracked.lost_ms = now_ms
            tracked.was_unresponsive = change.state is Liveness.UNRESPONSIVE
        elif change.told_by is not None and not change.in_flight:
            tracked.lost_ms = now_ms
            tracked.cold_suspected_until_ms = now_ms + ASSUMED_COLD_MS

    def record_request_success(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record a successful request."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.consecutive_failures = 0
            tracked.lost_connections = 0
            tracked.outcomes.add(now_ms, failed=False)

    def record_request_failure(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record a request without a usable answer; several in a row eject the endpoint."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is None:
            return
        tracked.consecutive_failures += 1
        tracked.outcomes.add(now_ms, failed=True)
        if tracked.consecutive_failures >= EJECT_FAILURES:
            tracked.ejected_until_ms = now_ms + EJECT_MS

    def record_unreachable(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record a failed connection; the endpoint may be cold when it is reachable again."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.lost_ms = now_ms
            tracked.cold_suspected_until_ms = now_ms + ASSUMED_COLD_MS
            self.liveness.record_check(
                endpoint_id, tracked.endpoint.born_ms, now_ms, is_answered=False
            )

    def record_misdirected(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that another endpoint answered at this endpoint's address."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.ejected_until_ms = now_ms + MISDIRECTED_EJECT_MS

    def record_refusal(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that the endpoint refused a request for lack of capacity."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.ejected_until_ms = max(tracked.ejected_until_ms, now_ms + REFUSED_EJECT_MS)


def may_get_requests(
    endpoint: Endpoint, view: FleetView, software_version: str | None = None
) -> bool:
    """Return whether an endpoint may get requests that require a software version, if any.

    An unknown version, which is empty, meets no requirement.
    """
    if endpoint.is_draining or endpoint.failure_domain_id in view.evacuated:
        return False
    if software_version is None:
        return True
    return bool(software_version) and endpoint.software_version == software_version
