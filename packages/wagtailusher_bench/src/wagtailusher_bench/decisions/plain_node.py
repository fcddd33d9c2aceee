"""A baseline load balancer node that chooses an endpoint and sends at once."""

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
    """Baseline without queue, tiers and leases; retries failed calls that are safe to repeat."""

    def __init__(self, vm: PublishedVm, network: Network, *, seed: int, choose: Chooser) -> None:
        self._network = network
        self._clock = network.clock
        self._placement = PlacementDecider(
            vm_id=vm.vm_id, failure_domain_id=vm.failure_domain_id, seed=seed, choose=choose
        )
        self._in_flight: dict[RequestId, tuple[Call, EndpointId, int]] = {}

    def submit(self, call: Call, forwarded_from: VmId | None = None) -> None:
        """Send a call to an endpoint at once."""
        self._start_attempt(call, 1, frozenset())

    def handle_caller_disconnect(self, call: Call) -> None:
        """Cancel a call; one that is not repeatable runs to its end."""
        request_id = RequestId(call.call_id)
        if request_id not in self._in_flight or not call.traffic.is_repeatable:
            return
        _, endpoint_id, attempt = self._in_flight.pop(request_id)
        self._placement.finish_request(request_id, AttemptResult.CANCELLED, self._clock.now_ms)
        self._network.cancel(endpoint_id, f"{request_id}/{attempt}")

    def observe_report(self, report: LoadReport) -> None:
        """Pass a load report to the endpoint choice."""
        self._placement.observe_report(report, self._clock.now_ms)

    def observe_cache_event(self, event: CacheEvent) -> None:
        """Ignore cache events."""

    def update_endpoints(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Apply the published endpoints without their concurrency limits."""
        unlimited = [
            replace(info, concurrency_limit=_UNLIMITED, cold_limit=_UNLIMITED) for info in endpoints
        ]
        self._placement.update_endpoints(unlimited, self._clock.now_ms)

    def update_published(self, vms: tuple[PublishedVm, ...]) -> None:
        """Ignore the other nodes."""

    def update_drained_domains(self, domains: frozenset[FailureDomainId]) -> None:
        """Apply the set of drained failure domains."""
        self._placement.update_drained_domains(domains, self._clock.now_ms)

    def tick(self) -> None:
        """Do nothing; there is no periodic work."""

    def _start_attempt(self, call: Call, attempt: int, excluded: frozenset[EndpointId]) -> None:
        """Choose an endpoint and send, or refuse the call if there is none."""
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
            self._network.record_end(call, Ending.REFUSED, "no_endpoint")
            return
        self._placement.start_request(choice, request, now_ms)
        self._in_flight[request.request_id] = (call, choice.endpoint_id, attempt)
        self._send(call, choice, attempt, excluded)

    def _send(
        self, call: Call, choice: Choice, attempt: int, excluded: frozenset[EndpointId]
    ) -> None:
        request_id = choice.request_id
        if not self._network.engines[choice.endpoint_id].is_up:
            self._finish_attempt(call, choice, attempt, excluded, JobEnd.REFUSED)
            return
        self._placement.may_send(request_id, self._clock.now_ms)
        self._network.record_start(call)
        self._network.submit(
            call,
            choice.endpoint_id,
            f"{request_id}/{attempt}",
            priority=0,
            on_progress=lambda tokens: self._handle_progress(request_id, attempt, tokens),
            on_end=lambda end: self._finish_attempt(call, choice, attempt, excluded, end),
        )

    def _handle_progress(self, request_id: RequestId, attempt: int, tokens: int) -> None:
        in_flight = self._in_flight.get(request_id)
        if in_flight is None or in_flight[2] != attempt:
            return
        self._placement.record_first_token(request_id, self._clock.now_ms)
        self._placement.record_progress(request_id, tokens, self._clock.now_ms)
        self._network.record_caller_first_token(in_flight[0])

    def _finish_attempt(
        self,
        call: Call,
        choice: Choice,
        attempt: int,
        excluded: frozenset[EndpointId],
        end: JobEnd,
    ) -> None:
        in_flight = self._in_flight.get(choice.request_id)
        if in_flight is None or in_flight[2] != attempt or end is JobEnd.CANCELLED:
            return
        del self._in_flight[choice.request_id]
        self._placement.finish_request(
            choice.request_id, AttemptResult(end.value), self._clock.now_ms
        )
        if end is JobEnd.COMPLETED:
            self._network.record_end(call, Ending.COMPLETED)
            return
        never_sent = end is JobEnd.REFUSED
        may_retry = call.first_ms is None and (call.traffic.is_repeatable or never_sent)
        if may_retry and attempt < _MAX_ATTEMPTS:
            self._start_attempt(call, attempt + 1, excluded | {choice.endpoint_id})
            return
        self._network.record_end(call, Ending.FAILED, end.value)
