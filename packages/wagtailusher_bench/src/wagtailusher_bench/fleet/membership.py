"""Measures the spread of membership events, control traffic and false alarms."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
from statistics import mean
from time import process_time

from wagtailusher_bench.fleet.member_node import MemberNode
from wagtailusher_bench.fleet.network import ChannelProfile, Network, NodeSpec
from wagtailusher_bench.fleet.node_specs import make_node_specs, publish
from wagtailusher_core import VmId
from wagtailusher_wire import MemberState

_WARM_UP_MS = 15_000
_MAX_WARM_UP_MS = 120_000
_SPREAD_TIMEOUT_MS = 90_000
_QUIET_MS = 30_000
_PAUSE_MS = 5_000


@dataclass(frozen=True, slots=True, kw_only=True)
class SpreadTime:
    """Times from an event until the first, half of and all other nodes learned of it."""

    measure: str
    event: str
    nodes: int
    loss: float
    first_ms: int | None
    half_ms: int | None
    all_ms: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ControlTraffic:
    """Traffic and processor time of membership per node while nothing changes."""

    measure: str
    nodes: int
    loss: float
    mean_bytes_per_s: float
    max_bytes_per_s: float
    messages_per_s: float
    cpu_us_per_message: float
    largest_datagram_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FalseAlarms:
    """How often healthy nodes were suspected or declared dead under loss and pauses."""

    measure: str
    nodes: int
    loss: float
    pauses: int
    pause_ms: int
    node_hours: float
    suspicions: int
    deaths: int
    believed_dead_at_end: int


class Fleet:
    """A simulated fleet of membership nodes that know each other."""

    def __init__(self, size: int, *, seed: int, loss: float = 0.0) -> None:
        """Start all nodes and run until their startup updates have spread."""
        self.node_specs = make_node_specs(size)
        self.published = publish(self.node_specs)
        self.network = Network(seed=seed, profile=ChannelProfile(loss=loss, duplicates=loss / 10))
        self.nodes = [
            self.start(node_spec, incarnation=1, seed=seed * 10_000 + index)
            for index, node_spec in enumerate(self.node_specs)
        ]
        self.network.run_until(_WARM_UP_MS)
        self.network.run_until(_MAX_WARM_UP_MS, self._is_quiet)

    def _is_quiet(self) -> bool:
        """Return whether no node has queued updates left to spread."""
        return not any(node.decider.queued_update_count for node in self.nodes)

    def start(self, node_spec: NodeSpec, *, incarnation: int, seed: int) -> MemberNode:
        """Start a process, replacing an older one at its address."""
        node = MemberNode(node_spec, incarnation=incarnation, seed=seed, published=self.published)
        self.network.start(node)
        return node

    def time_until(self, holds: Callable[[MemberNode], bool]) -> list[int]:
        """Return the times in ms after which a condition first held at each node, ascending.

        Nodes at which it does not hold within _SPREAD_TIMEOUT_MS are left out.
        """
        start_ms = self.network.now_ms
        waiting = set(self.nodes)
        times: list[int] = []

        def all_reached() -> bool:
            reached = {node for node in waiting if holds(node)}
            waiting.difference_update(reached)
            times.extend([self.network.now_ms - start_ms] * len(reached))
            return not waiting

        self.network.run_until(start_ms + _SPREAD_TIMEOUT_MS, all_reached)
        return times


def measure_events(size: int, *, seed: int, loss: float) -> Iterator[SpreadTime]:
    """Yield how long a join, a leave and a crash take to spread to all nodes."""
    fleet = Fleet(size, seed=seed, loss=loss)
    new_peer = NodeSpec(
        vm_id=VmId("vm-new"),
        failure_domain_id=fleet.node_specs[0].failure_domain_id,
        region=fleet.node_specs[0].region,
    )
    joined = fleet.start(new_peer, incarnation=1, seed=seed)
    alive = _has_state(new_peer.vm_id, MemberState.ALIVE)
    yield _spread_time("join", fleet, size, loss, alive)
    for effect in fleet.nodes[1].to_outgoing(
        fleet.nodes[1].decider.announce_leaving(fleet.network.now_ms)
    ):
        fleet.network.send(fleet.nodes[1], effect)
    leaving = fleet.nodes[1].node_spec.vm_id
    yield _spread_time("leave", fleet, size, loss, _has_state(leaving, MemberState.LEAVING))
    fleet.network.stop(joined)
    start_ms = fleet.network.now_ms
    suspect = _has_state(new_peer.vm_id, MemberState.SUSPECT, MemberState.DEAD)
    yield _spread_time("crash_suspected", fleet, size, loss, suspect)
    offset_ms = fleet.network.now_ms - start_ms
    dead = _has_state(new_peer.vm_id, MemberState.DEAD)
    yield _spread_time("crash_declared_dead", fleet, size, loss, dead, offset_ms)


def measure_traffic(size: int, *, seed: int, loss: float) -> ControlTraffic:
    """Return the traffic and processor time while nothing changes."""
    fleet = Fleet(size, seed=seed, loss=loss)
    fleet.network.traffic.reset()
    start_s = process_time()
    fleet.network.run_until(fleet.network.now_ms + _QUIET_MS)
    spent_us = (process_time() - start_s) * 1_000_000
    seconds = _QUIET_MS / 1_000
    traffic = fleet.network.traffic
    sent = list(traffic.bytes_by_node.values())
    return ControlTraffic(
        measure="membership_traffic",
        nodes=size,
        loss=loss,
        mean_bytes_per_s=round(mean(sent) / seconds, 1),
        max_bytes_per_s=round(max(sent) / seconds, 1),
        messages_per_s=round(traffic.messages / size / seconds, 2),
        cpu_us_per_message=round(spent_us / traffic.messages, 1),
        largest_datagram_bytes=traffic.largest_datagram_bytes,
    )


def measure_false_alarms(size: int, *, seed: int, loss: float, minutes: int) -> FalseAlarms:
    """Return how often healthy nodes were suspected or declared dead."""
    fleet = Fleet(size, seed=seed, loss=loss)
    for node in fleet.nodes:
        node.changes.clear()
    network = fleet.network
    end_ms = network.now_ms + minutes * 60_000
    pauses = 0
    while network.now_ms < end_ms - 2 * _PAUSE_MS:
        for offset in range(max(1, size // 50)):
            node = fleet.nodes[(pauses * 17 + offset) % size]
            network.pause(node, _PAUSE_MS)
            pauses += 1
        network.run_until(network.now_ms + 2 * _PAUSE_MS)
    network.run_until(end_ms)
    changes = [change.member for node in fleet.nodes for change in node.changes]
    suspected = {
        (member.vm_id, member.version) for member in changes if member.state is MemberState.SUSPECT
    }
    dead = {
        (member.vm_id, member.version) for member in changes if member.state is MemberState.DEAD
    }
    return FalseAlarms(
        measure="false_alarms",
        nodes=size,
        loss=loss,
        pauses=pauses,
        pause_ms=_PAUSE_MS,
        node_hours=round(size * minutes / 60, 2),
        suspicions=len(suspected),
        deaths=len(dead),
        believed_dead_at_end=sum(
            member.is_gone for node in fleet.nodes for member in node.decider.members().values()
        ),
    )


def measure_membership(
    sizes: Sequence[int], *, seed: int, loss: float
) -> Iterator[dict[str, object]]:
    """Yield the measurements of traffic and event spread, one object each."""
    for size in sizes:
        yield asdict(measure_traffic(size, seed=seed, loss=loss))
        for spread in measure_events(size, seed=seed, loss=loss):
            yield asdict(spread)


def measure_alarms(
    sizes: Sequence[int], *, seed: int, loss: float, minutes: int
) -> Iterator[dict[str, object]]:
    """Yield the false suspicions and deaths at each fleet size."""
    for size in sizes:
        yield asdict(measure_false_alarms(size, seed=seed, loss=loss, minutes=minutes))


def _has_state(vm_id: VmId, *states: MemberState) -> Callable[[MemberNode], bool]:
    """Return the condition that a node records the VM in one of the states."""

    def holds(node: MemberNode) -> bool:
        return node.state_of(vm_id) in states

    return holds


def _spread_time(
    event: str,
    fleet: Fleet,
    size: int,
    loss: float,
    holds: Callable[[MemberNode], bool],
    offset_ms: int = 0,
) -> SpreadTime:
    """Run until the condition holds at all nodes and return how long it took."""
    times = [time_ms + offset_ms for time_ms in fleet.time_until(holds)]
    return SpreadTime(
        measure="membership_spread",
        event=event,
        nodes=size,
        loss=loss,
        first_ms=times[0] if times else None,
        half_ms=times[size // 2] if len(times) > size // 2 else None,
        all_ms=times[-1] if len(times) == size else None,
    )
