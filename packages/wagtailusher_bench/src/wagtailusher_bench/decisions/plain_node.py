"""A plain balancer to compare against: it chooses an endpoint and sends at once."""

from __future__ import annotations

from dataclasses import replace

from wagtailusher_bench.decisions.calls import Call, Ending
from wagtailusher_bench.decisions.network import Network
from wagtailusher_bench.fakes import JobEnd
from wagtailusher_core import EndpointId, FailureDomainId, PublishedVm, RequestId, VmId
from wagtailusher_placement import (
    AttemptResult,
    CacheEvent,
    Choice,
    Chooser,
    EndpointInfo,
    LoadReport,
    PlacementDecider,
    PlacementRequest,
)

_UNLIMITED = 1_000_000
_MAX_ATTEMPTS = 3


class PlainNode:
    """Keeps no queue, no tiers and no leases; repeats what failed and may be repeated."""

    def __init__(self, vm: PublishedVm, network: Network, *, seed: int, choose: Chooser) -> None:
        """Start without endpoints."""
        self._network = network
        self._clock = network.clock
        self._placement = PlacementDecider(
            vm_id=vm.vm_id, failure_domain_id=vm.failure_domain_id, seed=seed, choose=choose
        )
        self._held: dict[RequestId, tuple[Call, EndpointId, int]] = {}

    def submit(self, call: Call, forwarded_from: VmId | None = None) -> None:
        """Take a call and send it."""
        self._try(call, 1, frozenset())

    def handle_caller_disconnect(self, call: Call) -> None:
        """Drop a call; one that may not be repeated goes on."""
        request_id = RequestId(call.call_id)
        if request_id not in self._held or not call.traffic.is_repeatable:
            return
        _, endpoint_id, attempt = self._held.pop(request_id)
        self._placement.finish_request(request_id, AttemptResult.CANCELLED, self._clock.now_ms)
        self._network.cancel(endpoint_id, f"{request_id}/{attempt}")

    def observe_report(self, report: LoadReport) -> None:
        """Take in a load report."""
        self._placement.observe_report(report, self._clock.now_ms)

    def observe_cache_event(self, event: CacheEvent) -> None:
        """Ignore cache events."""

    def update_endpoints(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Take over the published endpoints, without their limits."""
        unlimited = [
            replace(info, concurrency_limit=_UNLIMITED, cold_limit=_UNLIMITED) for info in endpoints
        ]
        self._placement.update_endpoints(unlimited, self._clock.now_ms)

    def update_published(self, vms: tuple[PublishedVm, ...]) -> None:
        """Ignore the other nodes."""

    def update_drained_domains(self, domains: frozenset[FailureDomainId]) -> None:
        """Take over the domains that are out."""
        self._placement.update_drained_domains(domains, self._clock.now_ms)

    def tick(self) -> None:
        """Have nothing to do."""

    def _try(self, call: Call, attempt: int, excluded: frozenset[EndpointId]) -> None:
        """Choose an endpoint and send."""
        traffic = call.traffic
        now_ms = self._clock.now_ms
        request = PlacementRequest(
            request_id=RequestId(call.call_id),
            pool_id=traffic.pool_id,
            tier=0,
            key=traffic.policy(call.workspace_id).key,
            prompt_tokens=call.prompt_tokens,
            excluded=excluded,
        )
        choice = self._placement.choose(request, now_ms)
        if choice is None:
            self._network.end(call, Ending.REFUSED, "no_endpoint")
            return
        self._placement.start_request(choice, request, now_ms)
        self._held[request.request_id] = (call, choice.endpoint_id, attempt)
        self._send(call, choice, attempt, excluded)

    def _send(
        self, call: Call, choice: Choice, attempt: int, excluded: frozenset[EndpointId]
    ) -> None:
        request_id = choice.request_id
        if not self._network.engines[choice.endpoint_id].is_up:
            self._end_attempt(call, choice, attempt, excluded, JobEnd.REFUSED)
            return
        self._placement.may_send(request_id, self._clock.now_ms)
        self._network.start(call)
        self._network.submit(
            call,
            choice.endpoint_id,
            f"{request_id}/{attempt}",
            priority=0,
            on_progress=lambda tokens: self._progress(request_id, attempt, tokens),
            on_end=lambda end: self._end_attempt(call, choice, attempt, excluded, end),
        )

    def _progress(self, request_id: RequestId, attempt: int, tokens: int) -> None:
        held = self._held.get(request_id)
        if held is None or held[2] != attempt:
            return
        self._placement.record_first_token(request_id, self._clock.now_ms)
        self._placement.record_progress(request_id, tokens, self._clock.now_ms)
        self._network.first_token(held[0])

    def _end_attempt(
        self,
        call: Call,
        choice: Choice,
        attempt: int,
        excluded: frozenset[EndpointId],
        end: JobEnd,
    ) -> None:
        held = self._held.get(choice.request_id)
        if held is None or held[2] != attempt or end is JobEnd.CANCELLED:
            return
        del self._held[choice.request_id]
        self._placement.finish_request(
            choice.request_id, AttemptResult(end.value), self._clock.now_ms
        )
        if end is JobEnd.COMPLETED:
            self._network.end(call, Ending.COMPLETED)
            return
        never_sent = end is JobEnd.REFUSED
        may_repeat = call.first_ms is None and (call.traffic.is_repeatable or never_sent)
        if may_repeat and attempt < _MAX_ATTEMPTS:
            self._try(call, attempt + 1, excluded | {choice.endpoint_id})
            return
        self._network.end(call, Ending.FAILED, end.value)
