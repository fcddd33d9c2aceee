"""A simulated fleet: nodes, endpoints, reports, lists and orders, in virtual time."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from wagtailusher_admission import entry_points
from wagtailusher_bench.decisions.calls import Call, Ending
from wagtailusher_bench.decisions.const import (
    CACHE_EVENT_DELAY_MS,
    CACHE_EVENT_LOSS_SHARE,
    CALLER_TO_NODE_MS,
    DRAIN_ORDER_LAG_MS,
    LIST_INTERVAL_MS,
    REPORT_DELAY_MS,
    REPORT_INTERVAL_MS,
    SUMMARY_INTERVAL_MS,
    TICK_INTERVAL_MS,
)
from wagtailusher_bench.decisions.mixes import Mix, PoolMachines
from wagtailusher_bench.decisions.network import Network, Node
from wagtailusher_bench.decisions.router_node import RouterNode
from wagtailusher_bench.fakes import FakeEngine, VirtualClock
from wagtailusher_core import (
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    PublishedVm,
    VmId,
    WorkspaceId,
)
from wagtailusher_placement import CacheEvent, EndpointInfo, EndpointKind, LoadReport

_CRASHING_WORKSPACE = WorkspaceId("w0")

NodeFactory = Callable[[PublishedVm, Network, int], Node]


class SimulatedFleet:
    """The machines of one mix, with nodes made by a factory."""

    def __init__(
        self, mix: Mix, *, make_node: NodeFactory, seed: str, uses_entry_points: bool = False
    ) -> None:
        """Build everything; with entry points, callers of a small pool use a few nodes only."""
        self._uses_entry_points = uses_entry_points
        self.mix = mix
        self.clock = VirtualClock()
        self.network = Network(clock=self.clock)
        self.report_delay_ms: float = REPORT_DELAY_MS
        self.calls: list[Call] = []
        self._generator = Random(f"{seed}/fleet")
        self._drained: frozenset[FailureDomainId] = frozenset()
        self._vms = tuple(self._vm(number) for number in range(mix.node_count))
        self._endpoints = tuple(self._make_endpoints())
        for number, vm in enumerate(self._vms):
            self.network.nodes[vm.vm_id] = make_node(vm, self.network, number)
        self._nodes_of = {pool.pool_id: self._entry_nodes(pool) for pool in mix.pools}
        self._schedule()

    @property
    def nodes(self) -> list[Node]:
        """Return the nodes in order."""
        return list(self.network.nodes.values())

    @property
    def engines(self) -> list[FakeEngine]:
        """Return all endpoints in order."""
        return list(self.network.engines.values())

    def engines_of(self, pool_id: PoolId) -> list[FakeEngine]:
        """Return a pool's endpoints in order."""
        return [
            self.network.engines[info.endpoint_id]
            for info in self._endpoints
            if pool_id in info.pool_ids
        ]

    def play(self, calls: Iterable[Call]) -> None:
        """Schedule calls one after the other."""
        iterator = iter(calls)

        def schedule_next() -> None:
            call = next(iterator, None)
            if call is not None:
                self.clock.call_later(call.arrived_ms - self.clock.time_ms, lambda: arrive(call))

        def arrive(call: Call) -> None:
            schedule_next()
            self.offer(call)

        schedule_next()

    def offer(self, call: Call) -> None:
        """Let a caller connect to a node that it was told to use."""
        self.calls.append(call)
        node = self._generator.choice(self._nodes_of[call.traffic.pool_id])
        self.clock.call_later(CALLER_TO_NODE_MS, lambda: node.submit(call))
        patience_ms = call.traffic.patience_ms
        if patience_ms is not None:
            self.clock.call_later(patience_ms, lambda: self._lose_patience(call))

    def send_crashing(self, number: int) -> None:
        """Offer the same crashing call once more."""
        traffic = next(traffic for traffic in self.mix.classes if traffic.is_stream)
        call = Call(
            call_id=f"crashing-{number}",
            traffic=traffic,
            workspace_id=_CRASHING_WORKSPACE,
            arrived_ms=self.clock.time_ms,
            prompt_tokens=int(traffic.prompt.mean),
            output_tokens=int(traffic.output.mean),
            service_work_ms=0.0,
            prefix_hashes=(),
            fingerprint="crashing",
            crashes_endpoint=True,
        )
        self.offer(call)

    def drain_domain(self, number: int) -> None:
        """Order a failure domain out; each node hears of it a little later."""
        self._order_domains(self._drained | {_domain(number)})

    def return_domain(self, number: int) -> None:
        """Order a failure domain in again."""
        self._order_domains(self._drained - {_domain(number)})

    def restart_domain(self, number: int) -> None:
        """Restart a failure domain's endpoints, which come back cold."""
        for info in self._endpoints:
            if info.failure_domain_id == _domain(number):
                self.network.engines[info.endpoint_id].crash()

    def _order_domains(self, drained: frozenset[FailureDomainId]) -> None:
        self._drained = drained
        for node in self.nodes:
            lag_ms = self._generator.random() * DRAIN_ORDER_LAG_MS
            self.clock.call_later(lag_ms, lambda node=node: node.update_drained_domains(drained))  # type: ignore[misc]

    def _entry_nodes(self, machines: PoolMachines) -> list[Node]:
        """Return the nodes that callers of a pool are told to use."""
        if not self._uses_entry_points:
            return self.nodes
        slots = machines.count * machines.traits.concurrency_limit
        vms = entry_points(machines.pool_id, slots, self._vms)
        return [self.network.nodes[vm.vm_id] for vm in vms]

    def _lose_patience(self, call: Call) -> None:
        """Let a caller leave who has seen nothing of an answer."""
        if call.first_ms is not None or call.ending is not Ending.OPEN:
            return
        self.network.end(call, Ending.LEFT)
        for node in self.nodes:
            node.handle_caller_disconnect(call)

    def _vm(self, number: int) -> PublishedVm:
        vm_id = VmId(f"vm{number}")
        return PublishedVm(
            vm_id=vm_id,
            address=f"{vm_id}:1",
            peer_address=f"{vm_id}:2",
            failure_domain_id=_domain(number % self.mix.domain_count),
        )

    def _make_endpoints(self) -> Iterable[EndpointInfo]:
        """Build the endpoints of all pools, spread over the failure domains."""
        for machines in self.mix.pools:
            for number in range(machines.count):
                yield self._make_endpoint(machines, number)

    def _make_endpoint(self, machines: PoolMachines, number: int) -> EndpointInfo:
        traits = machines.traits
        endpoint_id = EndpointId(f"{machines.pool_id}{number}")
        engine = FakeEngine(endpoint_id, traits, self.clock)
        self.network.engines[endpoint_id] = engine
        if machines.kind is EndpointKind.ENGINE:
            self._publish_cache(endpoint_id, engine)
        return EndpointInfo(
            endpoint_id=endpoint_id,
            pool_ids=frozenset({machines.pool_id}),
            failure_domain_id=_domain(number % self.mix.domain_count),
            address=f"{endpoint_id}:1",
            kind=machines.kind,
            concurrency_limit=traits.concurrency_limit,
            cold_limit=traits.cold_limit,
            honours_priority=machines.kind is EndpointKind.ENGINE,
        )

    def _publish_cache(self, endpoint_id: EndpointId, engine: FakeEngine) -> None:
        """Send an engine's cache events to all nodes, late and with gaps."""
        sequence = 0

        def publish(stored: tuple[int, ...], removed: tuple[int, ...], cleared: bool) -> None:
            nonlocal sequence
            sequence += 1
            if self._generator.random() < CACHE_EVENT_LOSS_SHARE:
                return
            event = CacheEvent(
                endpoint_id=endpoint_id,
                sequence=sequence,
                stored=stored,
                removed=removed,
                cleared=cleared,
            )
            self.clock.call_later(CACHE_EVENT_DELAY_MS, lambda: self._deliver_cache_event(event))

        engine.on_cache = publish

    def _deliver_cache_event(self, event: CacheEvent) -> None:
        for node in self.nodes:
            node.observe_cache_event(event)

    def _schedule(self) -> None:
        """Publish the lists, and start the ticks and reports at different times."""
        for number, node in enumerate(self.nodes):
            node.update_endpoints(self._endpoints)
            node.update_published(self._vms)
            offset_ms = TICK_INTERVAL_MS * (number + 1) / len(self._vms)
            self.clock.call_every(TICK_INTERVAL_MS, node.tick, first_ms=offset_ms)
            self.clock.call_every(
                LIST_INTERVAL_MS,
                lambda node=node: node.update_published(self._vms),  # type: ignore[misc]
                first_ms=LIST_INTERVAL_MS + offset_ms,
            )
            if isinstance(node, RouterNode):
                self.clock.call_every(
                    SUMMARY_INTERVAL_MS, node.share_quarantine, first_ms=offset_ms
                )
        for number, (endpoint_id, engine) in enumerate(self.network.engines.items()):
            self.clock.call_every(
                REPORT_INTERVAL_MS,
                lambda key=endpoint_id, engine=engine: self._report(key, engine),  # type: ignore[misc]
                first_ms=REPORT_INTERVAL_MS * (number + 1) / len(self.network.engines),
            )

    def _report(self, endpoint_id: EndpointId, engine: FakeEngine) -> None:
        """Send an endpoint's load to all nodes."""
        if not engine.is_up:
            return
        report = LoadReport(
            endpoint_id=endpoint_id,
            reported_at_ms=self.clock.now_ms,
            running=engine.running,
            waiting=engine.waiting,
            kv_used_share=engine.kv_used_share,
            cold=engine.reports_cold,
            incarnation=Incarnation(engine.incarnation),
        )

        def deliver() -> None:
            for node in self.nodes:
                node.observe_report(report)

        self.clock.call_later(self.report_delay_ms, deliver)


def _domain(number: int) -> FailureDomainId:
    """Return the name of a failure domain."""
    return FailureDomainId(f"domain{number}")
