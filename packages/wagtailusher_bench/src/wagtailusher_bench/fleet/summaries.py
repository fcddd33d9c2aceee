"""Measures quota shares and address answers that are computed from summaries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
from random import Random
from time import perf_counter

from numpy import percentile

from wagtailusher_bench.fleet.network import ChannelProfile, Network
from wagtailusher_bench.fleet.node_specs import make_node_specs, publish
from wagtailusher_bench.fleet.summary_node import SummaryNode
from wagtailusher_core import ClassId, ClassKey, PoolId, VmId, WorkspaceId
from wagtailusher_wire import ClassDemand, PoolDemand

_QUOTA_PER_NODE = 4
_CLASS_KEYS = tuple(
    ClassKey(WorkspaceId(f"workspace-{n:04d}"), ClassId("review")) for n in range(6)
)
_STEP_MS = 1_000
_STABLE_MS = 20_000

AddressChoice = Callable[[SummaryNode, int], VmId]


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaMeasure:
    """How closely the sum of shares follows a quota while demand changes and afterwards."""

    measure: str
    nodes: int
    loss: float
    quota: int
    most_while_moving: int
    used_of_wanted_while_moving: float
    most_after: int
    least_after: int
    age_p50_ms: float
    age_p99_ms: float
    bytes_per_s: float
    share_us: float


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressMeasure:
    """How evenly callers that use the returned addresses load the VMs.

    Values are a VM's callers divided by its room: the highest seen, and the fleet-wide mean.
    """

    measure: str
    nodes: int
    answer: str
    most_filled: float
    mean_filled: float


class SummaryFleet:
    """A simulated fleet of nodes that publish summaries."""

    def __init__(self, size: int, *, seed: int, loss: float) -> None:
        self.network = Network(seed=seed, profile=ChannelProfile(loss=loss), sample_every=7)
        node_specs = make_node_specs(size)
        published = publish(node_specs)
        self.nodes = [
            SummaryNode(node_spec, published=published, seed=seed * 10_000 + index)
            for index, node_spec in enumerate(node_specs)
        ]
        for node in self.nodes:
            self.network.start(node)

    def run(self, time_ms: int) -> None:
        """Advance virtual time by `time_ms`."""
        self.network.run_until(self.network.now_ms + time_ms)


def set_demand(node: SummaryNode, claims: dict[ClassKey, int]) -> None:
    """Set a node's queued requests by class."""
    classes = tuple(
        ClassDemand(workspace_id=key.workspace_id, class_id=key.class_id, queued=claim, in_flight=0)
        for key, claim in claims.items()
        if claim
    )
    total = sum(claims.values())
    pool = PoolDemand(
        pool_id=PoolId("model-a"),
        queued_by_tier=(0, 0, total, 0, 0, 0, 0),
        in_flight_by_tier=(0,) * 7,
        classes=classes,
    )
    node.claims = claims
    node.decider.set_demand((pool,))


def measure_quota(size: int, *, seed: int, loss: float) -> QuotaMeasure:
    """Return the sums of all nodes' shares while demand changes and after it is stable."""
    fleet = SummaryFleet(size, seed=seed, loss=loss)
    rng = Random(seed)
    quota = _QUOTA_PER_NODE * size
    changing: list[int] = []
    demanded: list[int] = []
    for _ in range(120):
        for node in rng.sample(fleet.nodes, max(1, size // 10)):
            set_demand(node, {key: rng.choice((0, 0, 5, 40)) for key in _CLASS_KEYS})
        fleet.run(_STEP_MS)
        changing += [_usable_total(fleet, key, quota) for key in _CLASS_KEYS]
        demanded += [min(quota, _claim_total(fleet, key)) for key in _CLASS_KEYS]
    fleet.run(_STABLE_MS)
    fleet.network.traffic.reset()
    start_ms = fleet.network.now_ms
    stable: list[int] = []
    for _ in range(10):
        fleet.run(_STEP_MS)
        stable += [_usable_total(fleet, key, quota) for key in _CLASS_KEYS]
    start_s = perf_counter()
    _shares(fleet, _CLASS_KEYS[0], quota)
    share_us = (perf_counter() - start_s) * 1_000_000 / size
    seconds = (fleet.network.now_ms - start_ms) / 1_000
    ages = _demand_ages_ms(fleet)
    return QuotaMeasure(
        measure="quota_shares",
        nodes=size,
        loss=loss,
        quota=quota,
        most_while_moving=max(changing),
        used_of_wanted_while_moving=round(sum(changing) / sum(demanded), 3),
        most_after=max(stable),
        least_after=min(stable),
        age_p50_ms=round(float(percentile(ages, 50)), 1),
        age_p99_ms=round(float(percentile(ages, 99)), 1),
        bytes_per_s=round(sum(fleet.network.traffic.bytes_by_node.values()) / size / seconds, 1),
        share_us=round(share_us, 1),
    )


def measure_addresses(size: int, *, seed: int) -> Iterator[AddressMeasure]:
    """Yield the highest load of a VM: for addresses sampled by room, and for the most room."""
    answers: dict[str, AddressChoice] = {"drawn_by_room": _first_address, "most_room": _most_room}
    for name, answer in answers.items():
        fleet = SummaryFleet(size, seed=seed, loss=0.0)
        rng = Random(seed)
        rooms = {node.node_spec.vm_id: rng.choice((100, 200, 400)) for node in fleet.nodes}
        callers = sum(rooms.values()) // 20
        filled: Counter[VmId] = Counter()
        fleet_wide = 0.0
        most_filled_share = 0.0
        for _ in range(40):
            for node in fleet.nodes:
                vm_id = node.node_spec.vm_id
                node.decider.set_room(rooms[vm_id] - filled[vm_id])
            fleet.run(_STEP_MS)
            filled = Counter({vm_id: count * 9 // 10 for vm_id, count in filled.items()})
            for _ in range(callers):
                filled[answer(rng.choice(fleet.nodes), fleet.network.now_ms)] += 1
            most_filled_share = max(
                [most_filled_share, *(filled[vm_id] / room for vm_id, room in rooms.items())]
            )
            fleet_wide = max(fleet_wide, sum(filled.values()) / sum(rooms.values()))
        yield AddressMeasure(
            measure="address_answers",
            nodes=size,
            answer=name,
            most_filled=round(most_filled_share, 3),
            mean_filled=round(fleet_wide, 3),
        )


def measure_summaries(
    sizes: Sequence[int], *, seed: int, loss: float
) -> Iterator[dict[str, object]]:
    """Yield the measurements of quota shares and address answers, one object each."""
    for size in sizes:
        yield asdict(measure_quota(size, seed=seed, loss=loss))
        for measure in measure_addresses(size, seed=seed):
            yield asdict(measure)


def _shares(fleet: SummaryFleet, key: ClassKey, quota: int) -> list[int]:
    """Return every node's quota share of a class."""
    now_ms = fleet.network.now_ms
    return [node.decider.quota_share(key, quota, now_ms) for node in fleet.nodes]


def _claim_total(fleet: SummaryFleet, key: ClassKey) -> int:
    """Return the sum of all nodes' claims to a class."""
    return sum(node.claims.get(key, 0) for node in fleet.nodes)


def _usable_total(fleet: SummaryFleet, key: ClassKey, quota: int) -> int:
    """Return the sum over all nodes of the lesser of share and claim, the usable quota."""
    shares = _shares(fleet, key, quota)
    return sum(
        min(share, node.claims.get(key, 0)) for share, node in zip(shares, fleet.nodes, strict=True)
    )


def _demand_ages_ms(fleet: SummaryFleet) -> list[int]:
    """Return the ages of up to 40 nodes' views; an unknown one counts as its lifetime."""
    now_ms = fleet.network.now_ms
    ages = [
        node.decider.demand_age_ms(other.node_spec.vm_id, now_ms)
        for node in fleet.nodes[:40]
        for other in fleet.nodes
        if other is not node
    ]
    return [60_000 if age is None else age for age in ages]


def _first_address(node: SummaryNode, now_ms: int) -> VmId:
    """Return the VM of the first address in the decider's answer."""
    return node.decider.addresses(now_ms, node.node_spec.failure_domain_id, 3)[0].vm_id


def _most_room(node: SummaryNode, now_ms: int) -> VmId:
    """Return the VM with the most room in the node's view."""
    rooms = node.decider.rooms(now_ms)
    return max(rooms, key=lambda room: (room.room, room.vm_id)).vm_id
