"""Selection of the entry VMs that callers of a pool should use.

When the credits of a small pool are divided among many VMs, requests wait at one VM while credits
are idle at another. Callers of such a pool are therefore sent to a few VMs only, in different
failure domains; every VM returns the same ones. The others still serve requests that arrive.
"""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_admission.const import MIN_ENTRY_POINTS, SLOTS_PER_ENTRY_POINT
from wagtailusher_core import PoolId, PublishedState, PublishedVm, VmId, rank_by_rendezvous


def entry_points(
    pool_id: PoolId,
    concurrency_limit: int,
    vms: Iterable[PublishedVm],
    *,
    slots_per_vm: int = SLOTS_PER_ENTRY_POINT,
) -> tuple[PublishedVm, ...]:
    """Return the live VMs for a pool; `concurrency_limit` is the sum over its endpoints."""
    live = {vm.vm_id: vm for vm in vms if vm.state is PublishedState.LIVE}
    count = max(MIN_ENTRY_POINTS, -(-concurrency_limit // slots_per_vm))
    ranked = [live[VmId(name)] for name in rank_by_rendezvous(pool_id, live)]
    return tuple(_spread(ranked)[:count])


def _spread(ranked: list[PublishedVm]) -> list[PublishedVm]:
    """Return the VMs ordered so that those of one failure domain are as far apart as possible."""
    domain_counts: dict[str, int] = {}
    keyed = []
    for rank, vm in enumerate(ranked):
        turn = domain_counts.get(vm.failure_domain_id, 0)
        domain_counts[vm.failure_domain_id] = turn + 1
        keyed.append((turn, rank, vm))
    return [vm for _, _, vm in sorted(keyed, key=lambda item: item[:2])]
