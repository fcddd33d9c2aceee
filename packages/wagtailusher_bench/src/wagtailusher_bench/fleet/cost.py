"""Measures processor time and memory of one node's deciders by fleet size."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
from time import perf_counter
import tracemalloc

from wagtailusher_bench.fleet.configuration import make_content
from wagtailusher_bench.fleet.node_specs import make_node_specs, publish
from wagtailusher_core import Incarnation, Revision, VmId
from wagtailusher_membership import (
    ConfigurationDecider,
    MembershipDecider,
    ReadService,
    SummaryDecider,
)
from wagtailusher_wire import (
    DemandSummary,
    Gossip,
    MemberState,
    MemberUpdate,
    Ping,
    RoomSummary,
    SummaryGossip,
    TableDigest,
)

_ROUNDS = 300
_TICK_MS = 125
_LINES_PER_MEGABYTE = 25_000


@dataclass(frozen=True, slots=True, kw_only=True)
class DeciderCost:
    """Memory and processor time of one node's deciders, without codec and sockets."""

    measure: str
    nodes: int
    membership_kib: float
    summaries_kib: float
    configuration_mib: float
    membership_tick_us: float
    ping_with_6_updates_us: float
    table_digest_us: float
    summaries_tick_us: float
    configuration_tick_us: float
    addresses_us: float


class NodeDeciders:
    """The membership, summary and configuration deciders of one node in a fleet."""

    def __init__(self, size: int) -> None:
        """Create the deciders with all other nodes as members, tracing their memory."""
        self.node_specs = make_node_specs(size)
        own_spec = self.node_specs[0]
        tracemalloc.start()
        self.membership = MembershipDecider(
            vm_id=own_spec.vm_id,
            address=own_spec.address,
            failure_domain_id=own_spec.failure_domain_id,
            incarnation=Incarnation(1),
            seed=1,
        )
        self.membership.update_published(publish(self.node_specs), 0)
        self.membership_bytes = _allocated_bytes()
        self.summaries = SummaryDecider(
            vm_id=own_spec.vm_id,
            failure_domain_id=own_spec.failure_domain_id,
            incarnation=Incarnation(1),
            members=self.membership.members(),
            seed=1,
        )
        self.summaries.handle(self._gossip(), 0)
        self.summaries_bytes = _allocated_bytes()
        self.configuration = ConfigurationDecider(
            vm_id=own_spec.vm_id,
            failure_domain_id=own_spec.failure_domain_id,
            members=self.membership.members(),
            validate=lambda revision, content: None,
            seed=1,
        )
        self._fill_history()
        self.configuration_bytes = _allocated_bytes()
        tracemalloc.stop()

    def ping(self, version: int) -> Ping:
        """Return a ping that carries updates of six members."""
        updates = tuple(
            MemberUpdate(
                vm_id=node_spec.vm_id,
                incarnation=Incarnation(5),
                version=version,
                state=MemberState.ALIVE,
                address=node_spec.address,
                peer_address=node_spec.address,
                failure_domain_id=node_spec.failure_domain_id,
            )
            for node_spec in self.node_specs[1:7]
        )
        return Ping(sequence=version, target=self.node_specs[0].vm_id, updates=updates)

    def _gossip(self) -> SummaryGossip:
        """Return the summaries of all other nodes."""
        rooms = tuple(
            RoomSummary(
                vm_id=node_spec.vm_id, incarnation=Incarnation(1), sequence=1, age_ms=0, room=100
            )
            for node_spec in self.node_specs[1:]
        )
        demands = tuple(
            DemandSummary(
                vm_id=VmId(node_spec.vm_id), incarnation=Incarnation(1), sequence=1, age_ms=0
            )
            for node_spec in self.node_specs[1:]
        )
        return SummaryGossip(rooms=rooms, demands=demands)

    def _fill_history(self) -> None:
        """Apply several configurations of a megabyte, which fills the history kept for deltas."""
        now_ms = 0
        for number in range(1, 9):
            for _ in range(60):
                now_ms += 100
                effects = self.configuration.tick(now_ms)
                if any(isinstance(effect, ReadService) for effect in effects):
                    break
            content = make_content(_LINES_PER_MEGABYTE, number)
            self.configuration.handle_service_content(Revision(number=number), content, now_ms)
            self.configuration.tick(now_ms + 1_000)
            now_ms += 1_000


def measure_cost(sizes: Sequence[int]) -> Iterator[dict[str, object]]:
    """Yield the cost of one node's deciders for each fleet size."""
    for size in sizes:
        yield asdict(_measure(NodeDeciders(size)))


def _measure(node: NodeDeciders) -> DeciderCost:
    membership, own_spec = node.membership, node.node_specs[0]
    peer = node.node_specs[-1]
    digest = TableDigest(hashes=(0,) * 32)

    def handle(message: Ping | TableDigest | Gossip, now_ms: int) -> object:
        return membership.handle(message, now_ms, sender=peer.vm_id, address=peer.address)

    return DeciderCost(
        measure="decider_cost",
        nodes=len(node.node_specs),
        membership_kib=round(node.membership_bytes / 1_024, 1),
        summaries_kib=round(node.summaries_bytes / 1_024, 1),
        configuration_mib=round(node.configuration_bytes / 1_048_576, 2),
        membership_tick_us=_time_us(lambda n: membership.tick(n * _TICK_MS)),
        ping_with_6_updates_us=_time_us(lambda n: handle(node.ping(n + 1), _ROUNDS * _TICK_MS)),
        table_digest_us=_time_us(lambda n: handle(digest, _ROUNDS * _TICK_MS)),
        summaries_tick_us=_time_us(lambda n: node.summaries.tick(n * 1_000)),
        configuration_tick_us=_time_us(lambda n: node.configuration.tick(60_000 + n * 100)),
        addresses_us=_time_us(
            lambda n: node.summaries.addresses(_ROUNDS * 1_000, own_spec.failure_domain_id, 3)
        ),
    )


def _allocated_bytes() -> int:
    """Return the bytes allocated since the last call and clear the traces."""
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.clear_traces()
    return allocated


def _time_us(action: Callable[[int], object]) -> float:
    """Return the mean time of an action, which gets the number of the round."""
    start_s = perf_counter()
    for number in range(_ROUNDS):
        action(number)
    return round((perf_counter() - start_s) * 1_000_000 / _ROUNDS, 1)
