"""Which endpoints a node tracks and leases when the fleet has more than it can watch."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from wagtailusher_core import (
    EndpointId,
    FailureDomainId,
    PoolId,
    PublishedVm,
    VmId,
    rank_by_rendezvous,
)
from wagtailusher_placement import EndpointInfo, StewardTable
from wagtailusher_router.const import MAX_VISIBLE_ENDPOINTS, MIN_VISIBLE_PER_POOL


def visible_endpoints(
    vm_id: VmId,
    failure_domain_id: FailureDomainId,
    endpoints: tuple[EndpointInfo, ...],
    published: Iterable[PublishedVm],
    limit: int = MAX_VISIBLE_ENDPOINTS,
) -> tuple[EndpointInfo, ...]:
    """Return the endpoints for a node: all of a small fleet, a part of a large one.

    A node takes all endpoints of a few stewards, so that it asks few VMs for leases: of its own,
    then of others in its failure domain for half of the limit, then of any. Every pool has some.
    Nodes choose by rendezvous, which spreads them evenly over the stewards.
    """
    if len(endpoints) <= limit:
        return endpoints
    by_steward = _by_steward(endpoints, tuple(published))
    chosen: dict[EndpointId, EndpointInfo] = {}
    _add(chosen, by_steward.pop(vm_id, ()))
    near = {
        steward_id
        for steward_id, infos in by_steward.items()
        if any(info.failure_domain_id == failure_domain_id for info in infos)
    }
    ranked = rank_by_rendezvous(vm_id, by_steward)
    _add_while_below(chosen, (by_steward[VmId(x)] for x in ranked if x in near), limit // 2)
    _add_while_below(chosen, (by_steward[VmId(x)] for x in ranked if x not in near), limit)
    _fill_pools(chosen, endpoints, vm_id)
    return tuple(chosen.values())


def _by_steward(
    endpoints: Iterable[EndpointInfo], published: tuple[PublishedVm, ...]
) -> dict[VmId, list[EndpointInfo]]:
    """Return the endpoints by the VM that is their steward."""
    table = StewardTable(published)
    by_steward: defaultdict[VmId, list[EndpointInfo]] = defaultdict(list)
    for info in endpoints:
        steward_id = table.find_steward(info)
        if steward_id is not None:
            by_steward[steward_id].append(info)
    return dict(by_steward)


def _add(chosen: dict[EndpointId, EndpointInfo], infos: Iterable[EndpointInfo]) -> None:
    """Add endpoints."""
    chosen.update((info.endpoint_id, info) for info in infos)


def _add_while_below(
    chosen: dict[EndpointId, EndpointInfo], groups: Iterator[list[EndpointInfo]], limit: int
) -> None:
    """Add whole groups until there are enough endpoints."""
    for infos in groups:
        if len(chosen) >= limit:
            return
        _add(chosen, infos)


def _fill_pools(
    chosen: dict[EndpointId, EndpointInfo], endpoints: tuple[EndpointInfo, ...], vm_id: VmId
) -> None:
    """Add endpoints of pools of which too few were chosen."""
    counts = Counter(pool_id for info in chosen.values() for pool_id in info.pool_ids)
    members: defaultdict[PoolId, dict[EndpointId, EndpointInfo]] = defaultdict(dict)
    for info in endpoints:
        for pool_id in info.pool_ids:
            members[pool_id][info.endpoint_id] = info
    for pool_id, infos in members.items():
        missing = MIN_VISIBLE_PER_POOL - counts[pool_id]
        if missing <= 0:
            continue
        others = [name for name in infos if name not in chosen]
        ranked = rank_by_rendezvous(vm_id, others)[:missing]
        _add(chosen, (infos[EndpointId(name)] for name in ranked))
