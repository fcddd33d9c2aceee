"""A simulated fleet in virtual time: nodes, endpoints, load reports, lists and drain orders."""

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
from wagtailusher_bench.decisions.mixes import Mix, PoolSpec
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

_CRASHING_CALL_WORKSPACE = WorkspaceId("w0")

NodeFactory = Callable[[PublishedVm, Network, int], Node]


class SimulatedFleet:
    """The nodes and endpoints of one mix; nodes are made by a factory."""

    def __init__(
        self, mix: Mix, *, make_node: NodeFactory, seed: str, uses_entry_points: bool = False
    ) -> None:
        """Create the fleet; with entry points, callers of a small pool use few of the nodes."""
        self._uses_entry_points = uses_entry_points
        self.mix = mix
        self.clock = VirtualClock()
        self.network = Network(clock=self.clock)
        self.report_delay_ms: float = REPORT_DELAY_MS
        self.calls: list[Call] = []
        self._rng = Random(f"{seed}/fleet")
        self._drained_domains: frozenset[FailureDomainId] = frozenset()
        self._vms = tuple(self._published_vm(number) for number in range(mix.node_count))
        self._endpoints = tuple(self._make_endpoints())
        for number, vm in enumerate(self._vms):
            self.network.nodes[vm.vm_id] = make_node(vm, self.network, number)
        self._entry_nodes_by_pool = {pool.pool_id: self._entry_nodes(pool) for pool in mix.pools}
        self._schedule()

    @property
    def nodes(self) -> list[Node]:
        """Return the nodes in order."""
        return list(self.network.nodes.values())

    @property
    def engines(self) -> list[FakeEngine]:
        """Return all endpoints in order."""
        return list(self.network.engines.values())

    def pool_engines(self, pool_id: PoolId) -> list[FakeEngine]:
        """Return a pool's endpoints in order."""
        return [
            self.network.engines[info.endpoint_id]
            for info in self._endpoints
            if pool_id in info.pool_ids
        ]

    def schedule_calls(self, calls: Iterable[Call]) -> None:
        """Schedule calls at their arrival times, one at a time to consume the iterable lazily."""
        iterator = iter(calls)

        def schedule_next() -> None:
            call = next(iterator, None)
            if call is not None:
                self.clock.call_later(
                    call.arrived_ms - self.clock.time_ms, lambda: submit_and_schedule_next(call)
                )

        def submit_and_schedule_next(call: Call) -> None:
            schedule_next()
            self.submit_call(call)

        schedule_next()

    def submit_call(self, call: Call) -> None:
        """Submit a call to a random entry node of its pool and schedule the caller's timeout."""
        self.calls.append(call)
        node = self._rng.choice(self._entry_nodes_by_pool[call.traffic.pool_id])
        self.clock.call_later(CALLER_TO_NODE_MS, lambda: node.submit(call))
        caller_timeout_ms = call.traffic.caller_timeout_ms
        if caller_timeout_ms is not None:
            self.clock.call_later(caller_timeout_ms, lambda: self._handle_caller_timeout(call))

    def submit_crashing_call(self, number: int) -> None:
        """Submit a call with the fingerprint shared by all crashing calls."""
        traffic = next(traffic for traffic in self.mix.classes if traffic.is_stream)
        call = Call(
            call_id=f"crashing-{number}",
            traffic=traffic,
            workspace_id=_CRASHING_CALL_WORKSPACE,
            arrived_ms=self.clock.time_ms,
            prompt_tokens=int(traffic.prompt.mean),
            output_tokens=int(traffic.output.mean),
            service_work_ms=0.0,
            prefix_hashes=(),
            fingerprint="crashing",
            crashes_endpoint=True,
        )
        self.submit_call(call)

    def drain_domain(self, number: int) -> None:
        """Order the drain of a failure domain; nodes learn of it within DRAIN_ORDER_LAG_MS."""
        self._set_drained_domains(self._drained_domains | {_failure_domain_id(number)})

    def return_domain(self, number: int) -> None:
        """End the drain of a failure domain."""
        self._set_drained_domains(self._drained_domains - {_failure_domain_id(number)})

    def restart_domain(self, number: int) -> None:
        """Crash all endpoints of a failure domain, which restart cold."""
        for info in self._endpoints:
            if info.failure_domain_id == _failure_domain_id(number):
                self.network.engines[info.endpoint_id].crash()

    def _set_drained_domains(self, domains: frozenset[FailureDomainId]) -> None:
        self._drained_domains = domains
        for node in self.nodes:
            lag_ms = self._rng.random() * DRAIN_ORDER_LAG_MS
            self.clock.call_later(lag_ms, lambda node=node: node.update_drained_domains(domains))  # type: ignore[misc]

    def _entry_nodes(self, pool_spec: PoolSpec) -> list[Node]:
        """Return the nodes that callers of a pool connect to."""
        if not self._uses_entry_points:
            return self.nodes
        slots = pool_spec.count * pool_spec.traits.concurrency_limit
        vms = entry_points(pool_spec.pool_id, slots, self._vms)
        return [self.network.nodes[vm.vm_id] for vm in vms]

    def _handle_caller_timeout(self, call: Call) -> None:
        """Disconnect a caller that has not received a first token before its timeout."""
        if call.first_ms is not None or call.ending is not Ending.OPEN:
            return
        self.network.record_end(call, Ending.LEFT)
        for node in self.nodes:
            node.handle_caller_disconnect(call)

    def _published_vm(self, number: int) -> PublishedVm:
        vm_id = VmId(f"vm{number}")
        return PublishedVm(
            vm_id=vm_id,
            address=f"{vm_id}:1",
            peer_address=f"{vm_id}:2",
            failure_domain_id=_failure_domain_id(number % self.mix.domain_count),
        )

    def _make_endpoints(self) -> Iterable[EndpointInfo]:
        """Yield the endpoints of all pools, spread evenly over the failure domains."""
        for pool_spec in self.mix.pools:
            for number in range(pool_spec.count):
                yield self._make_endpoint(pool_spec, number)

    def _make_endpoint(self, pool_spec: PoolSpec, number: int) -> EndpointInfo:
        traits = pool_spec.traits
        endpoint_id = EndpointId(f"{pool_spec.pool_id}{number}")
        engine = FakeEngine(endpoint_id, traits, self.clock)
        self.network.engines[endpoint_id] = engine
        if pool_spec.kind is EndpointKind.ENGINE:
            self._publish_cache_events(endpoint_id, engine)
        return EndpointInfo(
            endpoint_id=endpoint_id,
            pool_ids=frozenset({pool_spec.pool_id}),
            failure_domain_id=_failure_domain_id(number % self.mix.domain_count),
            address=f"{endpoint_id}:1",
            kind=pool_spec.kind,
            concurrency_limit=traits.concurrency_limit,
            cold_limit=traits.cold_limit,
            honours_priority=pool_spec.kind is EndpointKind.ENGINE,
        )

    def _publish_cache_events(self, endpoint_id: EndpointId, engine: FakeEngine) -> None:
        """Send an engine's cache events to all nodes, delayed and with a share of them lost."""
        sequence = 0

        def publish(stored: tuple[int, ...], removed: tuple[int, ...], cleared: bool) -> None:
            nonlocal sequence
            sequence += 1
            if self._rng.random() < CACHE_EVENT_LOSS_SHARE:
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
        """Publish the lists and schedule ticks and reports, staggered over their intervals."""
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
                    SUMMARY_INTERVAL_MS, node.broadcast_quarantine, first_ms=offset_ms
                )
        for number, (endpoint_id, engine) in enumerate(self.network.engines.items()):
            self.clock.call_every(
                REPORT_INTERVAL_MS,
                lambda key=endpoint_id, engine=engine: self._send_load_report(key, engine),  # type: ignore[misc]
                first_ms=REPORT_INTERVAL_MS * (number + 1) / len(self.network.engines),
            )

    def _send_load_report(self, endpoint_id: EndpointId, engine: FakeEngine) -> None:
        """Send an endpoint's load report to all nodes."""
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


def _failure_domain_id(number: int) -> FailureDomainId:
    return FailureDomainId(f"domain{number}")
