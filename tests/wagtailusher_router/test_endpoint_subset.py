"""Tests of the selection of endpoints that a node of a large fleet tracks.

A poor selection would leave endpoints or pools unused, or cost each node too many leases.
"""

from __future__ import annotations

from collections import Counter
import unittest

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, PublishedVm, VmId
from wagtailusher_placement import EndpointInfo, StewardTable
from wagtailusher_router import select_endpoint_subset

DOMAINS = 5
VMS = tuple(
    PublishedVm(
        vm_id=VmId(f"vm-{number}"),
        address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        failure_domain_id=FailureDomainId(f"d{number % DOMAINS}"),
    )
    for number in range(90)
)
ENDPOINTS = tuple(
    EndpointInfo(
        endpoint_id=EndpointId(f"e-{number}"),
        pool_ids=frozenset({PoolId("rare" if number < 6 else f"model-{number % 3}")}),
        failure_domain_id=FailureDomainId(f"d{number % DOMAINS}"),
        address="127.0.0.1:3",
    )
    for number in range(900)
)


def endpoint_subset(
    vm: PublishedVm, vms: tuple[PublishedVm, ...] = VMS
) -> tuple[EndpointInfo, ...]:
    """Return the endpoints that a VM tracks."""
    return select_endpoint_subset(vm.vm_id, vm.failure_domain_id, ENDPOINTS, vms)


class EndpointSubsetTest(unittest.TestCase):
    """Subsets are bounded, cover the fleet together, and include each node's required endpoints."""

    def test_small_fleet_is_tracked_completely(self) -> None:
        small_fleet = ENDPOINTS[:60]
        self.assertEqual(
            select_endpoint_subset(VMS[0].vm_id, VMS[0].failure_domain_id, small_fleet, VMS),
            small_fleet,
        )

    def test_subsets_are_bounded_and_cover_all(self) -> None:
        seen: Counter[EndpointId] = Counter()
        table = StewardTable(VMS)
        for vm in VMS:
            infos = endpoint_subset(vm)
            self.assertLess(len(infos), 100)
            seen.update(info.endpoint_id for info in infos)
            own = {info.endpoint_id for info in ENDPOINTS if table.find_steward(info) == vm.vm_id}
            self.assertLessEqual(own, {info.endpoint_id for info in infos})
            pools = Counter(pool_id for info in infos for pool_id in info.pool_ids)
            self.assertTrue(all(pools[PoolId(f"model-{n}")] >= 4 for n in range(3)), pools)
            self.assertGreaterEqual(pools[PoolId("rare")], 4)
            domains = {info.failure_domain_id for info in infos}
            self.assertGreater(len(domains), 1)
        self.assertEqual(len(seen), len(ENDPOINTS))

    def test_a_removed_vm_changes_few_subsets_by_much(self) -> None:
        remaining = VMS[1:]
        changed = 0
        for vm in remaining:
            before = {info.endpoint_id for info in endpoint_subset(vm)}
            after = {info.endpoint_id for info in endpoint_subset(vm, remaining)}
            changed += len(before - after) > len(before) // 2
        self.assertLess(changed, len(remaining) // 10)


if __name__ == "__main__":
    unittest.main()
