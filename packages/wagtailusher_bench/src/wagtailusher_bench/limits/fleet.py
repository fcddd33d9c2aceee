"""A fleet whose VMs have requests for one endpoint that names a limit, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from wagtailusher_bench.limits.ways import WAYS, DemandWay, Way
from wagtailusher_core import VmId

STEP_MS = 10
LENGTH_MS = 30_000
CONTACT_MS = 3_000
WINDOW_MS = 4_000
WAIT_MS = 300
"""How long a request waits for a place at the endpoint before it goes elsewhere."""
TELL_MS = 200
LOSS = 0.1
"""Share of the datagrams that are lost."""
NOTICE_MS = 1_200
"""Time until a VM that stopped, or is cut off, is believed to be gone."""
CHANGE_MS = 10_000
"""When VMs stop, are cut off or arrive; a cut ends after as long again."""
FACTOR = 1.5
SLACK = 5
REQUESTS_PER_VM_S = 2.0
"""Requests at each VM that could go to the endpoint, unless they are scarce."""
MS_PER_S = 1000
VARIANTS = ("plain", "uneven", "scarce", "stop", "cut", "join")


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """What one run brought to the endpoint."""

    way: str
    variant: str
    vm_count: int
    limit_per_s: float
    most: int
    """Most requests in four seconds, from three seconds on."""
    allowed: float
    used_share: float
    """Requests as a share of what the limit allows, or of the demand if that is less."""


def run_case(way: str, variant: str, vm_count: int, limit_per_s: float, seed: int) -> Result:
    """Run one fleet; the same arguments return the same result."""
    random = Random(f"{way}-{variant}-{vm_count}-{limit_per_s}-{seed}")
    demand_per_s = limit_per_s if variant == "scarce" else REQUESTS_PER_VM_S * vm_count
    sent_ms = sorted(_sends(way, variant, vm_count, limit_per_s, demand_per_s, random))
    late_ms = [at_ms for at_ms in sent_ms if at_ms >= CONTACT_MS]
    most = max(
        (sum(begin <= at_ms < begin + WINDOW_MS for at_ms in late_ms) for begin in late_ms),
        default=0,
    )
    return Result(
        way=way,
        variant=variant,
        vm_count=vm_count,
        limit_per_s=limit_per_s,
        most=most,
        allowed=FACTOR * limit_per_s * WINDOW_MS / MS_PER_S + SLACK,
        used_share=len(sent_ms) / (min(limit_per_s, demand_per_s) * LENGTH_MS / MS_PER_S),
    )


def _sends(
    way: str, variant: str, vm_count: int, limit_per_s: float, demand_per_s: float, random: Random
) -> Iterator[int]:
    """Yield when requests are sent to the endpoint."""
    vm_ids = tuple(VmId(f"vm-{number}") for number in range(vm_count))
    nodes: dict[VmId, Way] = {vm_id: WAYS[way](vm_id, limit_per_s) for vm_id in vm_ids}
    queues: dict[VmId, list[int]] = {vm_id: [] for vm_id in vm_ids}
    weights = [vm_count if variant == "uneven" and not number else 1 for number in range(vm_count)]
    for now_ms in range(0, LENGTH_MS, STEP_MS):
        running = _running(variant, vm_ids, now_ms)
        for _ in range(_count_arrivals(demand_per_s, random)):
            vm_id = random.choices(vm_ids, weights)[0]
            if vm_id in running:
                queues[vm_id].append(now_ms)
                _record_wanted(nodes[vm_id], now_ms)
        if now_ms % TELL_MS == 0:
            _tell_demand(nodes, variant, running, now_ms, random)
        for vm_id in running:
            queue = queues[vm_id]
            queue[:] = [at_ms for at_ms in queue if now_ms - at_ms <= WAIT_MS]
            live_ids = _live_ids(variant, vm_ids, vm_id, now_ms)
            if queue and nodes[vm_id].may_send(live_ids, now_ms):
                nodes[vm_id].record_sent(now_ms)
                queue.pop(0)
                yield now_ms


def _count_arrivals(demand_per_s: float, random: Random) -> int:
    """Return how many requests arrive in one step."""
    mean = demand_per_s * STEP_MS / MS_PER_S
    return int(mean) + (random.random() < mean % 1)


def _record_wanted(node: Way, now_ms: int) -> None:
    if isinstance(node, DemandWay):
        node.record_wanted(now_ms)


def _tell_demand(
    nodes: dict[VmId, Way], variant: str, running: tuple[VmId, ...], now_ms: int, random: Random
) -> None:
    """Let all VMs that tell their demand do so."""
    for vm_id in running:
        node = nodes[vm_id]
        if not isinstance(node, DemandWay):
            continue
        for peer_id in running:
            peer = nodes[peer_id]
            is_cut = variant == "cut" and _is_changed(now_ms) and _side(vm_id) != _side(peer_id)
            if peer is node or is_cut or random.random() < LOSS:
                continue
            if isinstance(peer, DemandWay):
                peer.receive_demand(vm_id, node.demand(now_ms), now_ms)


def _is_changed(now_ms: int) -> bool:
    return CHANGE_MS <= now_ms < 2 * CHANGE_MS


def _side(vm_id: VmId) -> bool:
    """Return on which side of a cut a VM is."""
    return int(vm_id.rpartition("-")[2]) % 2 == 0


def _running(variant: str, vm_ids: tuple[VmId, ...], now_ms: int) -> tuple[VmId, ...]:
    """Return the VMs that run: half of them stop, or the other half arrives later."""
    if variant == "stop" and now_ms >= CHANGE_MS:
        return tuple(vm_id for vm_id in vm_ids if _side(vm_id))
    if variant == "join" and now_ms < CHANGE_MS:
        return tuple(vm_id for vm_id in vm_ids if _side(vm_id))
    return vm_ids


def _live_ids(
    variant: str, vm_ids: tuple[VmId, ...], own_id: VmId, now_ms: int
) -> tuple[VmId, ...]:
    """Return the VMs that one VM believes to be live, some time after each change."""
    if variant == "cut" and _is_changed(now_ms - NOTICE_MS):
        return tuple(vm_id for vm_id in vm_ids if _side(vm_id) == _side(own_id))
    return _running(variant, vm_ids, now_ms - NOTICE_MS if variant == "stop" else now_ms)
