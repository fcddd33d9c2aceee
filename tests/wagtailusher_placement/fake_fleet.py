"""Simulated entry VMs, endpoints and lossy, delaying channels, in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from wagtailusher_core import (
    ClassId,
    ClassKey,
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    PublishedVm,
    RequestId,
    VmId,
    WorkspaceId,
)
from wagtailusher_placement import (
    AttemptResult,
    EndpointInfo,
    LeaseGrant,
    LeaseLimits,
    LeaseRecall,
    LeaseRequest,
    LoadReport,
    PlacementDecider,
    PlacementRequest,
    StewardDecider,
)

POOL = PoolId("model-a")
DOMAIN = FailureDomainId("fd-1")
KEY = ClassKey(WorkspaceId("retail"), ClassId("advice"))
STEP_MS = 50
LIST_READ_MS = 500
REPORT_MS = 250
LIMITS = LeaseLimits(list_lag_ms=2_000)
Message = LeaseRequest | LeaseGrant | LeaseRecall | LoadReport


@dataclass
class FakeEndpoint:
    """An endpoint that records sends beyond its limit; its reports may hide that it is cold."""

    info: EndpointInfo
    reports_cold: bool = True
    cold_since_ms: int | None = None
    incarnation: int = 1
    running: dict[RequestId, int] = field(default_factory=dict)
    served_cold: int = 0
    excess_sent_ms: list[int] = field(default_factory=list)

    def begin_cold_start(self, now_ms: int) -> None:
        """Become cold without notice to any node."""
        self.cold_since_ms = now_ms
        self.served_cold = 0

    def send(self, request_id: RequestId, now_ms: int) -> None:
        """Accept a request; record the time if it exceeds the cold limit."""
        self.running[request_id] = now_ms
        cold_since_ms = self.cold_since_ms
        if cold_since_ms is None:
            return
        if sum(1 for sent in self.running.values() if sent >= cold_since_ms) > self.info.cold_limit:
            self.excess_sent_ms.append(now_ms)

    def first_token_after_ms(self) -> int:
        """Return how long a first token takes now."""
        return 100 if self.cold_since_ms is None else 3_000

    def complete(self, request_id: RequestId) -> None:
        """Complete a request; the third one served cold makes the endpoint warm."""
        self.running.pop(request_id, None)
        if self.cold_since_ms is not None:
            self.served_cold += 1
            if self.served_cold >= 3:
                self.cold_since_ms = None


class FakeNode:
    """An entry VM with its two deciders and the messages that arrive while it is paused."""

    def __init__(self, vm: PublishedVm, seed: int) -> None:
        self.vm = vm
        self.placement = PlacementDecider(
            vm_id=vm.vm_id,
            failure_domain_id=DOMAIN,
            seed=seed,
            limits=LIMITS,
            incarnation=Incarnation(1),
        )
        self.steward = StewardDecider(vm_id=vm.vm_id, limits=LIMITS, incarnation=Incarnation(1))
        self.placement.update_published((), 0)
        self.paused_until_ms = 0
        self.tier = 1
        self.demand = 4
        self.list_read_at_ms = -LIST_READ_MS
        self.inbox: list[Message] = []
        self.completions: list[tuple[int, int, RequestId, str]] = []
        self.refused = 0
        self.sent = 0


class FakeFleet:
    """Runs nodes step by step; channels may lose, delay, duplicate or cut off messages."""

    def __init__(
        self, endpoints: list[FakeEndpoint], node_count: int, seed: int, loss: float = 0.1
    ) -> None:
        """Publish all nodes from the start; `loss` is the probability that a message is lost."""
        self.random = Random(seed)
        self.now_ms = 0
        self.loss = loss
        self.endpoints = {item.info.endpoint_id: item for item in endpoints}
        vms = [
            PublishedVm(
                vm_id=VmId(f"vm-{index}"),
                address=f"vm-{index}:1",
                peer_address=f"vm-{index}:2",
                failure_domain_id=DOMAIN,
            )
            for index in range(node_count)
        ]
        self.nodes = {vm.vm_id: FakeNode(vm, index) for index, vm in enumerate(vms)}
        self.lists: list[tuple[int, tuple[PublishedVm, ...]]] = [(-100_000, tuple(vms))]
        self.drained: tuple[FailureDomainId, ...] = ()
        self.cut_off: frozenset[VmId] = frozenset()
        self._wire: list[tuple[int, int, VmId, VmId | None, Message]] = []
        self._serial = 0

    def publish(self, vm_ids: set[VmId]) -> None:
        """Replace the published list; nodes see it after up to the bounded lag."""
        vms = tuple(node.vm for vm_id, node in self.nodes.items() if vm_id in vm_ids)
        self.lists.append((self.now_ms, vms))

    def run(self, duration_ms: int) -> None:
        """Advance the virtual time."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            if self.now_ms % REPORT_MS == 0:
                self._report()
            self._deliver()
            for node in self.nodes.values():
                if self.now_ms >= node.paused_until_ms:
                    self._step(node)

    def allowed(self, endpoint_id: EndpointId) -> int:
        """Return what all running nodes together may have in flight now."""
        return sum(
            view.allowed
            for node in self.nodes.values()
            if self.now_ms >= node.paused_until_ms
            for view in node.placement.endpoint_views(self.now_ms)
            if view.endpoint_id == endpoint_id
        )

    def _step(self, node: FakeNode) -> None:
        """Let one node handle messages, renew its leases and place its requests."""
        if self.now_ms - node.list_read_at_ms >= LIST_READ_MS:
            self._read_list(node)
        self._handle_inbox(node)
        for recall in node.steward.tick(self.now_ms):
            self._send(node, recall.node_id, recall)
        self._complete_requests(node)
        demand = {POOL: {node.tier: node.demand}}
        for request in node.placement.lease_requests(demand, self.now_ms):
            steward_id = node.placement.steward_id(request.endpoint_id)
            if steward_id is not None:
                self._send(node, steward_id, request)
        self._place(node)

    def _read_list(self, node: FakeNode) -> None:
        """Read a list that is at most as old as the bounded lag."""
        node.list_read_at_ms = self.now_ms
        as_of_ms = self.now_ms - self.random.randrange(LIMITS.list_lag_ms - LIST_READ_MS)
        version, (_, vms) = max(
            (index, entry) for index, entry in enumerate(self.lists) if entry[0] <= as_of_ms
        )
        infos = [item.info for item in self.endpoints.values()]
        node.steward.update_published(vms, infos, self.now_ms, version + 1)
        node.steward.update_drained_domains(self.drained, self.now_ms)
        node.placement.update_published(vms, self.now_ms, version + 1)
        node.placement.update_endpoints(infos, self.now_ms)
        node.placement.update_drained_domains(self.drained, self.now_ms)

    def _handle_inbox(self, node: FakeNode) -> None:
        """Handle the messages that arrived since the last step."""
        messages, node.inbox = node.inbox, []
        for message in messages:
            if isinstance(message, LeaseRequest):
                grant = node.steward.grant_lease(message, self.now_ms)
                if grant is not None:
                    self._send(node, message.node_id, grant)
            elif isinstance(message, LeaseGrant):
                node.placement.apply_grant(message, self.now_ms)
            elif isinstance(message, LeaseRecall):
                node.placement.apply_recall(message, self.now_ms)
            else:
                node.steward.observe_report(message, self.now_ms)
                node.placement.observe_report(message, self.now_ms)

    def _place(self, node: FakeNode) -> None:
        """Place requests until as many are in flight as the node's demand."""
        for _ in range(node.demand - len(node.completions)):
            self._serial += 1
            request = PlacementRequest(
                request_id=RequestId(f"r{self._serial}"), pool_id=POOL, tier=node.tier, key=KEY
            )
            choice = node.placement.choose(request, self.now_ms)
            if choice is None:
                node.refused += 1
                return
            node.placement.start_request(choice, request, self.now_ms)
            if not node.placement.may_send(request.request_id, self.now_ms):
                node.placement.finish_request(
                    request.request_id, AttemptResult.CANCELLED, self.now_ms
                )
                return
            node.sent += 1
            endpoint = self.endpoints[choice.endpoint_id]
            endpoint.send(request.request_id, self.now_ms)
            first_ms = self.now_ms + endpoint.first_token_after_ms()
            last_ms = first_ms + self.random.randrange(200, 4_000)
            heappush(node.completions, (last_ms, first_ms, request.request_id, choice.endpoint_id))

    def _complete_requests(self, node: FakeNode) -> None:
        """Report first tokens and complete answers to the node."""
        for _, first_ms, request_id, _ in node.completions:
            if first_ms <= self.now_ms:
                node.placement.record_first_token(request_id, self.now_ms)
        while node.completions and node.completions[0][0] <= self.now_ms:
            _, _, request_id, endpoint_id = heappop(node.completions)
            self.endpoints[EndpointId(endpoint_id)].complete(request_id)
            node.placement.finish_request(request_id, AttemptResult.COMPLETED, self.now_ms)

    def _report(self) -> None:
        """Send each endpoint's load report to every node, with delays and losses."""
        for endpoint in self.endpoints.values():
            report = LoadReport(
                endpoint_id=endpoint.info.endpoint_id,
                reported_at_ms=self.now_ms,
                running=len(endpoint.running),
                cold=endpoint.reports_cold and endpoint.cold_since_ms is not None,
                incarnation=Incarnation(endpoint.incarnation),
            )
            for vm_id in self.nodes:
                self._transmit(None, vm_id, report)

    def _send(self, node: FakeNode, target_id: VmId, message: Message) -> None:
        """Send a message between nodes; a node's message to itself is never lost or delayed."""
        if target_id == node.vm.vm_id:
            node.inbox.append(message)
            self._handle_inbox(node)
        elif target_id in self.nodes:
            self._transmit(node.vm.vm_id, target_id, message)

    def _transmit(self, source_id: VmId | None, target_id: VmId, message: Message) -> None:
        """Lose, delay or duplicate a message."""
        for _ in range(1 + (self.random.random() < 0.05)):
            if self.random.random() < self.loss:
                continue
            slow = self.random.random() < 0.02
            delay_ms = self.random.randrange(1, 5_000 if slow else 150)
            self._serial += 1
            entry = (self.now_ms + delay_ms, self._serial, target_id, source_id, message)
            heappush(self._wire, entry)

    def _deliver(self) -> None:
        """Move due messages to the inboxes, except between nodes that are partitioned."""
        while self._wire and self._wire[0][0] <= self.now_ms:
            _, _, target_id, source_id, message = heappop(self._wire)
            if source_id is not None and (source_id in self.cut_off) != (target_id in self.cut_off):
                continue
            self.nodes[target_id].inbox.append(message)
