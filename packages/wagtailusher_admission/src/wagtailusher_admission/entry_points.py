"""The entry VMs at which callers of a pool should arrive.

Credits for a small pool that are split among many VMs leave requests waiting at one while credits
lie idle at another. Callers of such a pool are therefore told to use a few VMs only, the same ones
whichever VM they ask, in different failure domains. The others still serve who comes to them.
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
    """Return the live VMs for a pool with the given sum of concurrency limits."""
    live = {vm.vm_id: vm for vm in vms if vm.state is PublishedState.LIVE}
    count = max(MIN_ENTRY_POINTS, -(-concurrency_limit // slots_per_vm))
    ranked = [live[VmId(name)] for name in rank_by_rendezvous(pool_id, live)]
    return tuple(_spread(ranked)[:count])


def _spread(ranked: list[PublishedVm]) -> list[PublishedVm]:
    """Return the VMs so that those of one failure domain come as far apart as possible."""
    seen: dict[str, int] = {}
    rounds = []
    for place, vm in enumerate(ranked):
        turn = seen.get(vm.failure_domain_id, 0)
        seen[vm.failure_domain_id] = turn + 1
        rounds.append((turn, place, vm))
    return [vm for _, _, vm in sorted(rounds, key=lambda item: item[:2])]
