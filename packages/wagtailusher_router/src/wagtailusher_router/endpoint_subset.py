"""Selection of the endpoints that a node tracks and leases in a large fleet."""

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
from wagtailusher_router.const import MAX_TRACKED_ENDPOINTS, MIN_TRACKED_PER_POOL


def select_endpoint_subset(
    vm_id: VmId,
    failure_domain_id: FailureDomainId,
    endpoints: tuple[EndpointInfo, ...],
    published: Iterable[PublishedVm],
    limit: int = MAX_TRACKED_ENDPOINTS,
) -> tuple[EndpointInfo, ...]:
    """Return the endpoints that a node tracks: all of a small fleet, a subset of a large one.

    A node selects all endpoints of a few stewards, so that it sends lease requests to few VMs:
    those that it stewards itself, then those of stewards in its failure domain up to half of the
    limit, then of any steward. Every pool gets a minimum. Stewards are chosen by rendezvous
    hashing, which spreads the nodes evenly over them.
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
    """Return the endpoints by their steward."""
    table = StewardTable(published)
    by_steward: defaultdict[VmId, list[EndpointInfo]] = defaultdict(list)
    for info in endpoints:
        steward_id = table.find_steward(info)
        if steward_id is not None:
            by_steward[steward_id].append(info)
    return dict(by_steward)


def _add(chosen: dict[EndpointId, EndpointInfo], infos: Iterable[EndpointInfo]) -> None:
    chosen.update((info.endpoint_id, info) for info in infos)


def _add_while_below(
    chosen: dict[EndpointId, EndpointInfo], groups: Iterator[list[EndpointInfo]], limit: int
) -> None:
    """Add complete groups until there are enough endpoints."""
    for infos in groups:
        if len(chosen) >= limit:
            return
        _add(chosen, infos)


def _fill_pools(
    chosen: dict[EndpointId, EndpointInfo], endpoints: tuple[EndpointInfo, ...], vm_id: VmId
) -> None:
    """Add endpoints of the pools that have too few chosen ones."""
    counts = Counter(pool_id for info in chosen.values() for pool_id in info.pool_ids)
    members: defaultdict[PoolId, dict[EndpointId, EndpointInfo]] = defaultdict(dict)
    for info in endpoints:
        for pool_id in info.pool_ids:
            members[pool_id][info.endpoint_id] = info
    for pool_id, infos in members.items():
        missing = MIN_TRACKED_PER_POOL - counts[pool_id]
        if missing <= 0:
            continue
        others = [name for name in infos if name not in chosen]
        ranked = rank_by_rendezvous(vm_id, others)[:missing]
        _add(chosen, (infos[EndpointId(name)] for name in ranked))
