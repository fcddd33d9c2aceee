"""Tests of which endpoints a node of a large fleet tracks."""

from __future__ import annotations

from collections import Counter
import unittest

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, PublishedVm, VmId
from wagtailusher_placement import EndpointInfo, StewardTable
from wagtailusher_router import visible_endpoints

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


def visible(vm: PublishedVm, vms: tuple[PublishedVm, ...] = VMS) -> tuple[EndpointInfo, ...]:
    """Return what a VM tracks."""
    return visible_endpoints(vm.vm_id, vm.failure_domain_id, ENDPOINTS, vms)


class VisibilityTest(unittest.TestCase):
    """Views are bounded, cover everything together, and hold what a node needs."""

    def test_small_fleet_is_seen_whole(self) -> None:
        few = ENDPOINTS[:60]
        self.assertEqual(visible_endpoints(VMS[0].vm_id, VMS[0].failure_domain_id, few, VMS), few)

    def test_views_are_bounded_and_cover_all(self) -> None:
        seen: Counter[EndpointId] = Counter()
        table = StewardTable(VMS)
        for vm in VMS:
            infos = visible(vm)
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

    def test_a_lost_vm_changes_few_views_by_much(self) -> None:
        rest = VMS[1:]
        changed = 0
        for vm in rest:
            before = {info.endpoint_id for info in visible(vm)}
            after = {info.endpoint_id for info in visible(vm, rest)}
            changed += len(before - after) > len(before) // 2
        self.assertLess(changed, len(rest) // 10)


if __name__ == "__main__":
    unittest.main()
