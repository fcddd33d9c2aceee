"""The fleet of a scenario: nodes, endpoints, links, and the records that are checked."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

from tests.scenario.calls import Attempt, Call, Reply, SendRecord
from tests.scenario.exchanges import ReplyCallback
from tests.scenario.node import EntryNode
from tests.scenario.platform import ConfigurationService, Endpoint, publish_vm
from tests.scenario.simulation import CALLER_DELAY_MS, LINK_DELAY_MS, Links
from tests.scenario.steps import Scenario
from tests.wagtailusher_once.schedules.faults import Fault
from wagtailusher_bench.fakes import Job, VirtualClock
from wagtailusher_core import Incarnation, PublishedState, PublishedVm, Revision, VmId
from wagtailusher_placement import EndpointInfo

REPORT_INTERVAL_MS = 250
REPORT_DELAY_MS = 300


class Fleet:
    """The simulated fleet, and the records of its run."""

    def __init__(self, scenario: Scenario, fault: Fault = Fault.NONE) -> None:
        """Start the endpoints and one process for each entry VM."""
        self.fault = fault
        self.clock = VirtualClock()
        self.rng = Random(scenario.seed)
        self.links = Links(self.clock, self.rng)
        self.service = ConfigurationService(self.clock)
        self.endpoints = {spec.name: Endpoint(spec, self.clock) for spec in scenario.endpoints}
        self.sends: list[SendRecord] = []
        self.calls: list[Call] = []
        self.violations: list[str] = []
        self.cut_off_count = 0
        self.applied_revisions: list[tuple[float, VmId, Revision]] = []
        self.published_vms: tuple[PublishedVm, ...] = ()
        self.published_version = 0
        self.nodes: list[EntryNode] = []
        self._nodes_by_id: dict[VmId, EntryNode] = {}
        self._boot_count = 0
        self._execution_counts: Counter[str] = Counter()
        self._highest_revisions: dict[VmId, Revision] = {}
        for endpoint in self.endpoints.values():
            self.links.domain_by_name[endpoint.spec.name] = endpoint.spec.domain
            self._start_reports(endpoint)
        for number in range(scenario.node_count):
            domain = scenario.domains[number % len(scenario.domains)]
            vm = publish_vm(VmId(f"vm{number + 1}"), domain)
            self._publish((*self.published_vms, vm))
        for vm in self.published_vms:
            self.nodes.append(self.boot(vm))

    # Processes.

    def boot(self, vm: PublishedVm) -> EntryNode:
        """Start a VM's process with a new incarnation."""
        self._boot_count += 1
        self.links.domain_by_name[vm.vm_id] = vm.failure_domain_id
        node = EntryNode(self, vm, Incarnation(self._boot_count))
        self._nodes_by_id[vm.vm_id] = node
        return node

    def restart(self, number: int) -> None:
        """Start a new process of a node's VM, after terminating the old one if it is alive."""
        old = self.nodes[number - 1]
        if old.alive:
            old.terminate()
        self.publish_state(old.vm_id, PublishedState.LIVE)
        vm = next(vm for vm in self.published_vms if vm.vm_id == old.vm_id)
        self.nodes[number - 1] = self.boot(vm)

    def replace(self, number: int) -> None:
        """Publish a new VM instead of an old one, whose process keeps running."""
        old = self.nodes[number - 1]
        domain = self.links.domain_by_name[old.vm_id]
        vm = publish_vm(VmId(f"vm{number}_{self._boot_count}"), domain)
        self._publish(
            (*(listed_vm for listed_vm in self.published_vms if listed_vm.vm_id != old.vm_id), vm)
        )
        self.nodes[number - 1] = self.boot(vm)

    def publish_state(self, vm_id: VmId, state: PublishedState) -> None:
        """Publish a VM as live or leaving."""
        self._publish(
            tuple(
                replace(vm, state=state) if vm.vm_id == vm_id else vm for vm in self.published_vms
            )
        )

    def _publish(self, vms: tuple[PublishedVm, ...]) -> None:
        """Publish a new version of the VM list."""
        self.published_vms = vms
        self.published_version += 1

    def published_endpoints(self) -> tuple[EndpointInfo, ...]:
        """Return the published endpoints."""
        return tuple(endpoint.info for endpoint in self.endpoints.values())

    def node_ids(self) -> list[VmId]:
        """Return the ids of the published VMs."""
        return [vm.vm_id for vm in self.published_vms]

    def live_nodes(self) -> list[EntryNode]:
        """Return the published nodes whose process is alive."""
        return [node for node in self.nodes if node.alive]

    # Messages.

    def send_message(
        self,
        sender: VmId,
        receiver: VmId,
        callback: Callable[[EntryNode], None],
        *,
        stream: bool = False,
    ) -> None:
        """Send a message between nodes; it may be lost unless it goes over a stream."""

        def deliver() -> None:
            peer = self._nodes_by_id.get(receiver)
            if peer is not None:
                peer.run(lambda: callback(peer))

        self.links.send(sender, receiver, deliver, may_lose=not stream)

    def forward(
        self,
        sender: VmId,
        receiver: VmId,
        attempt: Attempt,
        on_reply: ReplyCallback,
        *,
        forwarded_from: VmId,
        hops: int,
    ) -> None:
        """Forward an attempt to a peer."""

        def send_reply(reply: Reply) -> None:
            self.links.send(receiver, sender, lambda: on_reply(reply))

        def handle_arrival() -> None:
            peer = self._nodes_by_id.get(receiver)
            if peer is not None and peer.alive:
                peer.run(lambda: peer.receive(attempt, send_reply, forwarded_from, hops))

        self.links.send(sender, receiver, handle_arrival)

    def submit(self, sender: VmId, endpoint: str, job: Job, attempt: Attempt) -> None:
        """Send a job to an endpoint."""

        def handle_arrival() -> None:
            if self.endpoints[endpoint].engine.is_up:
                self._record_execution(attempt)
            self.endpoints[endpoint].engine.submit(job)

        self.links.send(sender, endpoint, handle_arrival)

    def cancel(self, sender: VmId, endpoint: str, job_id: str) -> None:
        """Cancel a job at an endpoint."""
        engine = self.endpoints[endpoint].engine
        self.links.send(sender, endpoint, lambda: engine.cancel(job_id))

    def relay_first_token(self, sender: VmId, attempt: Attempt) -> None:
        """Record the first token's time at the caller, after the delay of both links."""

        def handle_arrival() -> None:
            if attempt.call.first_token_ms is None:
                attempt.call.first_token_ms = self.clock.time_ms

        self.clock.call_later(LINK_DELAY_MS + CALLER_DELAY_MS, handle_arrival)

    def _start_reports(self, endpoint: Endpoint) -> None:
        """Start an endpoint's periodic load reports, which reach all nodes after a delay."""

        def report() -> None:
            if not endpoint.engine.is_up:
                return
            load = endpoint.report(self.clock.now_ms)
            for vm_id, node in list(self._nodes_by_id.items()):
                if self.links.is_cut(endpoint.spec.name, vm_id):
                    continue
                node.call_later(
                    REPORT_DELAY_MS,
                    lambda node=node: node.apply(node.router.observe_report(load, node.now_ms)),  # type: ignore[misc]
                )

        self.clock.call_every(
            REPORT_INTERVAL_MS, report, first_ms=self.rng.random() * REPORT_INTERVAL_MS
        )

    # Records.

    def _record_execution(self, attempt: Attempt) -> None:
        """Count an execution and check that it agrees with the replies to the caller."""
        call = attempt.call
        call.execution_count += 1
        self._execution_counts[attempt.handle] += 1
        call.executed_handles.add(attempt.handle)
        if attempt.handle in call.refused_handles:
            self.violations.append(f"{call.call_id} ran after it was reported as not run")
        if not call.spec.repeatable and (
            self._execution_counts[attempt.handle] > 1 or call.execution_count > 1
        ):
            self.violations.append(f"{call.call_id} is not repeatable and ran twice")

    def record_not_run(self, attempt: Attempt) -> None:
        """Record a refusal that the caller relies on, and check that the attempt didn't run."""
        attempt.call.refused_handles.add(attempt.handle)
        if attempt.handle in attempt.call.executed_handles:
            self.violations.append(f"{attempt.call.call_id} was reported as not run but ran")

    def record_configuration(self, vm_id: VmId, revision: Revision) -> None:
        """Record an applied configuration, and check that a node never reverts to an older one."""
        if revision < self._highest_revisions.get(vm_id, revision):
            self.violations.append(f"{vm_id} reverted to configuration {revision}")
        self._highest_revisions[vm_id] = max(revision, self._highest_revisions.get(vm_id, revision))
        self.applied_revisions.append((self.clock.time_ms, vm_id, revision))
