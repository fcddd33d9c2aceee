"""The fleet of a scenario: nodes, endpoints, links and what is to be checked."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

from tests.scenario.calls import Attempt, Call, Reply, SendRecord
from tests.scenario.clockwork import LINK_MS, NEAR_MS, Links
from tests.scenario.exchanges import Answer
from tests.scenario.node import EntryNode
from tests.scenario.platform import ConfigurationService, Endpoint, publish_vm
from tests.scenario.steps import Scenario
from tests.wagtailusher_once.schedules.faults import Fault
from wagtailusher_bench.fakes import Job, VirtualClock
from wagtailusher_core import Incarnation, PublishedState, PublishedVm, Revision, VmId
from wagtailusher_placement import EndpointInfo

REPORT_MS = 250
REPORT_DELAY_MS = 300


class Fleet:
    """Everything that runs in a scenario, and its records."""

    def __init__(self, scenario: Scenario, fault: Fault = Fault.NONE) -> None:
        """Start all nodes and endpoints."""
        self.fault = fault
        self.clock = VirtualClock()
        self.rng = Random(scenario.seed)
        self.links = Links(self.clock, self.rng)
        self.service = ConfigurationService(self.clock)
        self.endpoints = {spec.name: Endpoint(spec, self.clock) for spec in scenario.endpoints}
        self.sends: list[SendRecord] = []
        self.calls: list[Call] = []
        self.violations: list[str] = []
        self.cut_off = 0
        self.applied: list[tuple[float, VmId, Revision]] = []
        self.published: tuple[PublishedVm, ...] = ()
        self.published_version = 0
        self.numbered: list[EntryNode] = []
        self._nodes: dict[VmId, EntryNode] = {}
        self._boots = 0
        self._runs: Counter[str] = Counter()
        self._highest: dict[VmId, Revision] = {}
        for endpoint in self.endpoints.values():
            self.links.domains[endpoint.spec.name] = endpoint.spec.domain
            self._start_reports(endpoint)
        for number in range(scenario.node_count):
            domain = scenario.domains[number % len(scenario.domains)]
            vm = publish_vm(VmId(f"vm{number + 1}"), domain)
            self._publish((*self.published, vm))
        for vm in self.published:
            self.numbered.append(self.boot(vm))

    # Processes.

    def boot(self, vm: PublishedVm) -> EntryNode:
        """Start a process of a VM."""
        self._boots += 1
        self.links.domains[vm.vm_id] = vm.failure_domain_id
        node = EntryNode(self, vm, Incarnation(self._boots))
        self._nodes[vm.vm_id] = node
        return node

    def restart(self, number: int) -> None:
        """Put a new process in place of a node's, which dies if it lives."""
        old = self.numbered[number - 1]
        if old.alive:
            old.die()
        self.publish_state(old.vm_id, PublishedState.LIVE)
        vm = next(vm for vm in self.published if vm.vm_id == old.vm_id)
        self.numbered[number - 1] = self.boot(vm)

    def replace(self, number: int) -> None:
        """Put a new VM in place of one whose process goes on, unlisted."""
        old = self.numbered[number - 1]
        domain = self.links.domains[old.vm_id]
        vm = publish_vm(VmId(f"vm{number}_{self._boots}"), domain)
        self._publish((*(one for one in self.published if one.vm_id != old.vm_id), vm))
        self.numbered[number - 1] = self.boot(vm)

    def publish_state(self, vm_id: VmId, state: PublishedState) -> None:
        """Publish a VM as live or leaving."""
        self._publish(
            tuple(replace(vm, state=state) if vm.vm_id == vm_id else vm for vm in self.published)
        )

    def _publish(self, vms: tuple[PublishedVm, ...]) -> None:
        """Publish another list of VMs."""
        self.published = vms
        self.published_version += 1

    def published_endpoints(self) -> tuple[EndpointInfo, ...]:
        """Return the published endpoints."""
        return tuple(endpoint.info for endpoint in self.endpoints.values())

    def node_ids(self) -> list[VmId]:
        """Return the VMs that peers know."""
        return [vm.vm_id for vm in self.published]

    def live_nodes(self) -> list[EntryNode]:
        """Return the listed nodes whose process runs."""
        return [node for node in self.numbered if node.alive]

    # Messages.

    def send_message(
        self,
        sender: VmId,
        receiver: VmId,
        step: Callable[[EntryNode], None],
        *,
        stream: bool = False,
    ) -> None:
        """Send a message between nodes; it may be lost unless it goes over a stream."""

        def deliver() -> None:
            peer = self._nodes.get(receiver)
            if peer is not None:
                peer.run(lambda: step(peer))

        self.links.send(sender, receiver, deliver, may_lose=not stream)

    def deliver(
        self,
        sender: VmId,
        receiver: VmId,
        attempt: Attempt,
        answer: Answer,
        *,
        forwarded_from: VmId,
        hops: int,
    ) -> None:
        """Forward an attempt to a peer."""

        def back(reply: Reply) -> None:
            self.links.send(receiver, sender, lambda: answer(reply))

        def arrive() -> None:
            peer = self._nodes.get(receiver)
            if peer is not None and peer.alive:
                peer.run(lambda: peer.receive(attempt, back, forwarded_from, hops))

        self.links.send(sender, receiver, arrive)

    def submit(self, sender: VmId, endpoint: str, job: Job, attempt: Attempt) -> None:
        """Send a job to an endpoint."""

        def arrive() -> None:
            if self.endpoints[endpoint].engine.is_up:
                self._note_run(attempt)
            self.endpoints[endpoint].engine.submit(job)

        self.links.send(sender, endpoint, arrive)

    def cancel(self, sender: VmId, endpoint: str, job_id: str) -> None:
        """Tell an endpoint that nobody waits for a job."""
        engine = self.endpoints[endpoint].engine
        self.links.send(sender, endpoint, lambda: engine.cancel(job_id))

    def relay_first_token(self, sender: VmId, attempt: Attempt) -> None:
        """Bring the beginning of an answer to its caller."""

        def arrive() -> None:
            if attempt.call.first_ms is None:
                attempt.call.first_ms = self.clock.time_ms

        self.clock.call_later(LINK_MS + NEAR_MS, arrive)

    def _start_reports(self, endpoint: Endpoint) -> None:
        """Let an endpoint report its load to all nodes, late."""

        def report() -> None:
            if not endpoint.engine.is_up:
                return
            load = endpoint.report(self.clock.now_ms)
            for vm_id, node in list(self._nodes.items()):
                if self.links.is_cut(endpoint.spec.name, vm_id):
                    continue
                node.call_later(
                    REPORT_DELAY_MS,
                    lambda node=node: node.apply(node.router.observe_report(load, node.now_ms)),  # type: ignore[misc]
                )

        self.clock.call_every(REPORT_MS, report, first_ms=self.rng.random() * REPORT_MS)

    # Records.

    def _note_run(self, attempt: Attempt) -> None:
        """Count an execution and check it against what the caller was told."""
        call = attempt.call
        call.runs += 1
        self._runs[attempt.handle] += 1
        call.run_handles.add(attempt.handle)
        if attempt.handle in call.refused_handles:
            self.violations.append(f"{call.call_id} ran after it was called not run")
        if not call.spec.repeatable and (self._runs[attempt.handle] > 1 or call.runs > 1):
            self.violations.append(f"{call.call_id} may not be repeated and ran twice")

    def note_not_run(self, attempt: Attempt) -> None:
        """Check a refusal that a caller acts on."""
        attempt.call.refused_handles.add(attempt.handle)
        if attempt.handle in attempt.call.run_handles:
            self.violations.append(f"{attempt.call.call_id} was called not run and ran")

    def note_configuration(self, vm_id: VmId, revision: Revision) -> None:
        """Check that a node's configuration doesn't go back."""
        if revision < self._highest.get(vm_id, revision):
            self.violations.append(f"{vm_id} went back to configuration {revision}")
        self._highest[vm_id] = max(revision, self._highest.get(vm_id, revision))
        self.applied.append((self.clock.time_ms, vm_id, revision))
