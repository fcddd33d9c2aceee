"""The state that the nodes of a simulated fleet share: clock, delays, endpoints and nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from wagtailusher_bench.decisions.calls import Call, Ending
from wagtailusher_bench.decisions.const import CALLER_TO_NODE_MS, NODE_TO_ENDPOINT_MS
from wagtailusher_bench.fakes import FakeEngine, Job, JobEnd, VirtualClock
from wagtailusher_core import EndpointId, FailureDomainId, PublishedVm, VmId
from wagtailusher_placement import CacheEvent, EndpointInfo, LoadReport


class Node(Protocol):
    """Interface of an entry VM in the simulated fleet."""

    def submit(self, call: Call, forwarded_from: VmId | None = None) -> None:
        """Handle a call from a caller, or one that another node forwarded."""

    def handle_caller_disconnect(self, call: Call) -> None:
        """Handle the disconnect of a call's caller."""

    def observe_report(self, report: LoadReport) -> None:
        """Handle an endpoint's load report."""

    def observe_cache_event(self, event: CacheEvent) -> None:
        """Handle an engine's cache event."""

    def update_endpoints(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Apply the published list of endpoints."""

    def update_published(self, vms: tuple[PublishedVm, ...]) -> None:
        """Apply the published list of VMs."""

    def update_drained_domains(self, domains: frozenset[FailureDomainId]) -> None:
        """Apply the set of drained failure domains."""

    def tick(self) -> None:
        """Run periodic work; called every TICK_INTERVAL_MS."""


@dataclass(slots=True, kw_only=True)
class Network:
    """The clock, endpoints and nodes of one run, with network delays between them."""

    clock: VirtualClock
    engines: dict[EndpointId, FakeEngine] = field(default_factory=dict)
    nodes: dict[VmId, Node] = field(default_factory=dict)

    def record_start(self, call: Call) -> None:
        """Record when a call's first byte is sent to an endpoint, on its first attempt only."""
        if call.started_ms is None:
            call.started_ms = self.clock.time_ms

    def submit(
        self,
        call: Call,
        endpoint_id: EndpointId,
        job_id: str,
        *,
        priority: int,
        on_progress: Callable[[int], None],
        on_end: Callable[[JobEnd], None],
    ) -> None:
        """Send a call to an endpoint; requests and callbacks are delayed by NODE_TO_ENDPOINT_MS."""
        clock = self.clock
        engine = self.engines[endpoint_id]
        call.executions += 1
        job = Job(
            job_id=job_id,
            sent_ms=clock.time_ms,
            on_progress=lambda tokens: self._call_after_delay(lambda: on_progress(tokens)),
            on_end=lambda end: self._call_after_delay(lambda: on_end(end)),
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            service_work_ms=call.service_work_ms,
            prefix_hashes=call.prefix_hashes,
            priority=priority,
            crashes_endpoint=call.crashes_endpoint,
        )
        self._call_after_delay(lambda: engine.submit(job))

    def cancel(self, endpoint_id: EndpointId, job_id: str) -> None:
        """Cancel a job at an endpoint after the network delay."""
        self._call_after_delay(lambda: self.engines[endpoint_id].cancel(job_id))

    def record_caller_first_token(self, call: Call) -> None:
        """Record when the caller receives the first token of an answer."""
        if call.first_ms is None:
            call.first_ms = self.clock.time_ms + CALLER_TO_NODE_MS

    def record_end(self, call: Call, ending: Ending, code: str = "") -> None:
        """Record how and when a call ended at the caller; later ends are ignored."""
        if call.ending is Ending.OPEN:
            call.ending = ending
            call.code = code
            call.ended_ms = self.clock.time_ms + CALLER_TO_NODE_MS

    def _call_after_delay(self, action: Callable[[], None]) -> None:
        self.clock.call_later(NODE_TO_ENDPOINT_MS, action)
