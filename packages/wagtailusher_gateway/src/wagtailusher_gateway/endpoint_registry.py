"""What this VM knows of each endpoint: its entry, its load, its failures and its restarts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.const import (
    EJECT_FAILURES,
    EJECT_MS,
    MAX_EJECTED_SHARE,
    MISDIRECTED_MS,
    PREFILL_TOKENS_PER_MS,
    REFUSED_MS,
    UNREACHABLE_MS,
    UNSEEN_RESTART_MS,
)
from wagtailusher_gateway.models import Endpoint, FleetView, Service
from wagtailusher_gateway.outcomes import Outcomes

PEER_LOAD_AGE_MS = 2_500
"""Age beyond which a peer's load no longer counts; nearly two beats of the largest fleets."""

TOLD_FAILURES = 0.5
"""Recent failures from which peers are told of an idle endpoint; one that counts half."""


@dataclass(slots=True, kw_only=True)
class Load:
    """Work at an endpoint that one VM sent there."""

    requests: int = 0
    prefill_tokens: int = 0
    """Prompt tokens of requests that have not begun to answer."""
    memory_tokens: int = 0
    """Prompt and output tokens of all requests."""
    answers: float = 0.0
    """Good answers lately."""
    failures: float = 0.0
    """Requests lately that ended without a usable answer."""
    seen_ms: int = 0


@dataclass(slots=True, kw_only=True)
class TrackedEndpoint:
    """An endpoint and what was seen of it."""

    endpoint: Endpoint
    own_load: Load = field(default_factory=Load)
    outcomes: Outcomes = field(default_factory=Outcomes)
    peer_loads: dict[VmId, Load] = field(default_factory=dict)
    failures_in_row: int = 0
    avoided_until_ms: int = 0
    cold_suspected_until_ms: int = 0

    def total_load(self, now_ms: int) -> Load:
        """Return the load of all VMs; what peers had waiting is taken to shrink as it is read."""
        requests, prefill, memory = (
            self.own_load.requests,
            float(self.own_load.prefill_tokens),
            self.own_load.memory_tokens,
        )
        answers, failures = self.outcomes.recent(now_ms)
        for load in self.peer_loads.values():
            age_ms = now_ms - load.seen_ms
            if age_ms > PEER_LOAD_AGE_MS:
                continue
            requests += load.requests
            memory += load.memory_tokens
            prefill += max(0.0, load.prefill_tokens - age_ms * PREFILL_TOKENS_PER_MS)
            answers += load.answers
            failures += load.failures
        return Load(
            requests=requests,
            prefill_tokens=int(prefill),
            memory_tokens=memory,
            answers=answers,
            failures=failures,
        )


class EndpointRegistry:
    """All endpoints by service."""

    def __init__(self) -> None:
        """Start without endpoints."""
        self._tracked: dict[EndpointId, TrackedEndpoint] = {}
        self._by_service: dict[str, list[TrackedEndpoint]] = {}

    def get(self, endpoint_id: EndpointId) -> TrackedEndpoint | None:
        """Return an endpoint that is known."""
        return self._tracked.get(endpoint_id)

    def update(self, view: FleetView, now_ms: int) -> tuple[EndpointId, ...]:
        """Take a view over; return the endpoints that restarted."""
        restarted = []
        for endpoint in view.endpoints.values():
            known = self._tracked.get(endpoint.endpoint_id)
            if known is None:
                self._tracked[endpoint.endpoint_id] = TrackedEndpoint(endpoint=endpoint)
                continue
            if known.endpoint.born_ms != endpoint.born_ms:
                restarted.append(endpoint.endpoint_id)
                known.failures_in_row = 0
                known.outcomes = Outcomes()
                known.avoided_until_ms = 0
            known.endpoint = endpoint
        for endpoint_id in self._tracked.keys() - view.endpoints.keys():
            if not self._tracked[endpoint_id].own_load.requests:
                del self._tracked[endpoint_id]
        self._by_service = {}
        for tracked in self._tracked.values():
            if tracked.endpoint.endpoint_id in view.endpoints:
                self._by_service.setdefault(tracked.endpoint.service, []).append(tracked)
        return tuple(restarted)

    def take_loads(
        self, vm_id: VmId, loads: Iterable[tuple[EndpointId, Load]], now_ms: int
    ) -> None:
        """Replace what a peer has at the endpoints."""
        told = dict(loads)
        for endpoint_id, tracked in self._tracked.items():
            load = told.get(endpoint_id)
            if load is None:
                tracked.peer_loads.pop(vm_id, None)
                continue
            load.seen_ms = now_ms
            tracked.peer_loads[vm_id] = load

    def own_loads(self, now_ms: int) -> list[tuple[EndpointId, Load]]:
        """Return what this VM has to tell of endpoints: the failing first, then the busiest."""
        told = []
        for endpoint_id, tracked in self._tracked.items():
            answers, failures = tracked.outcomes.recent(now_ms)
            if tracked.own_load.requests or failures >= TOLD_FAILURES:
                told.append(
                    (endpoint_id, replace(tracked.own_load, answers=answers, failures=failures))
                )
        return sorted(told, key=lambda item: (-round(item[1].failures), -item[1].requests))

    def usable(self, service: str, view: FleetView, now_ms: int) -> list[TrackedEndpoint]:
        """Return the endpoints of a service that may get work, without those that fail.

        At most a share is left out for failures, so that a common cause doesn't take out all.
        """
        allowed = [
            tracked
            for tracked in self._by_service.get(service, ())
            if not tracked.endpoint.is_draining
            and tracked.endpoint.failure_domain_id not in view.evacuated
        ]
        sound = [tracked for tracked in allowed if tracked.avoided_until_ms <= now_ms]
        if len(sound) >= len(allowed) * (1 - MAX_EJECTED_SHARE):
            return sound
        allowed.sort(key=lambda tracked: tracked.avoided_until_ms)
        return allowed[: max(1, round(len(allowed) * (1 - MAX_EJECTED_SHARE)))]

    def is_cold(
        self, tracked: TrackedEndpoint, service: Service, now_ms: int, *, view_stale: bool
    ) -> bool:
        """Tell whether an endpoint must be taken to be in cold start."""
        if service.cold_requests_per_s <= 0:
            return False
        cold_until_ms = max(tracked.endpoint.cold_until_ms, tracked.cold_suspected_until_ms)
        return view_stale or now_ms < cold_until_ms

    def note_success(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Note an answer."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.failures_in_row = 0
            tracked.outcomes.add(now_ms, failed=False)

    def note_failure(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Note a request without a usable answer; several in a row take the endpoint out."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is None:
            return
        tracked.failures_in_row += 1
        tracked.outcomes.add(now_ms, failed=True)
        if tracked.failures_in_row >= EJECT_FAILURES:
            tracked.avoided_until_ms = now_ms + EJECT_MS

    def note_unreachable(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Note a connection that was not made; the endpoint may come back cold."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.avoided_until_ms = max(tracked.avoided_until_ms, now_ms + UNREACHABLE_MS)
            tracked.cold_suspected_until_ms = now_ms + UNSEEN_RESTART_MS

    def note_misdirected(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Note that another endpoint answers at the address."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.avoided_until_ms = now_ms + MISDIRECTED_MS

    def note_refused(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Note that the endpoint had no room."""
        tracked = self._tracked.get(endpoint_id)
        if tracked is not None:
            tracked.avoided_until_ms = max(tracked.avoided_until_ms, now_ms + REFUSED_MS)
