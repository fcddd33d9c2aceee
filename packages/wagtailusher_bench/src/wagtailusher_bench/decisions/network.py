"""What the nodes of a simulated fleet share: time, delays, endpoints and each other."""

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
    """An entry VM as the fleet sees it."""

    def submit(self, call: Call, forwarded_from: VmId | None = None) -> None:
        """Take a call."""

    def handle_caller_disconnect(self, call: Call) -> None:
        """Note that nobody waits for a call any more."""

    def observe_report(self, report: LoadReport) -> None:
        """Take in a load report."""

    def observe_cache_event(self, event: CacheEvent) -> None:
        """Take in a cache event."""

    def update_endpoints(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Take over the published endpoints."""

    def update_published(self, vms: tuple[PublishedVm, ...]) -> None:
        """Take over the published VMs."""

    def update_drained_domains(self, domains: frozenset[FailureDomainId]) -> None:
        """Take over the domains that are out."""

    def tick(self) -> None:
        """Let time pass."""


@dataclass(slots=True, kw_only=True)
class Network:
    """The time, the endpoints and the nodes of one run."""

    clock: VirtualClock
    engines: dict[EndpointId, FakeEngine] = field(default_factory=dict)
    nodes: dict[VmId, Node] = field(default_factory=dict)

    def start(self, call: Call) -> None:
        """Note that a call's first byte goes out to an endpoint."""
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
        """Send a call to an endpoint; what it tells comes back with a delay."""
        clock = self.clock
        engine = self.engines[endpoint_id]
        call.executions += 1
        job = Job(
            job_id=job_id,
            sent_ms=clock.time_ms,
            on_progress=lambda tokens: self._later(lambda: on_progress(tokens)),
            on_end=lambda end: self._later(lambda: on_end(end)),
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            service_work_ms=call.service_work_ms,
            prefix_hashes=call.prefix_hashes,
            priority=priority,
            crashes_endpoint=call.crashes_endpoint,
        )
        self._later(lambda: engine.submit(job))

    def cancel(self, endpoint_id: EndpointId, job_id: str) -> None:
        """Tell an endpoint that nobody waits for a job."""
        self._later(lambda: self.engines[endpoint_id].cancel(job_id))

    def first_token(self, call: Call) -> None:
        """Note the beginning of an answer at the caller."""
        if call.first_ms is None:
            call.first_ms = self.clock.time_ms + CALLER_TO_NODE_MS

    def end(self, call: Call, ending: Ending, code: str = "") -> None:
        """Note the end of a call at the caller, once."""
        if call.ending is Ending.OPEN:
            call.ending = ending
            call.code = code
            call.ended_ms = self.clock.time_ms + CALLER_TO_NODE_MS

    def _later(self, action: Callable[[], None]) -> None:
        self.clock.call_later(NODE_TO_ENDPOINT_MS, action)
