"""Tests of the selection of entry VMs for callers of a pool.

VMs that disagree, or too many VMs, would leave requests waiting while credits are idle elsewhere.
"""

from __future__ import annotations

from random import Random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_admission import entry_points
from wagtailusher_core import FailureDomainId, PoolId, PublishedState, PublishedVm, VmId


def make_vm(number: int, domains: int, *, leaving: bool = False) -> PublishedVm:
    """Return a VM in one of some failure domains."""
    return PublishedVm(
        vm_id=VmId(f"vm{number}"),
        address=f"10.0.0.{number}:1",
        peer_address=f"10.0.0.{number}:2",
        failure_domain_id=FailureDomainId(f"domain{number % domains}"),
        state=PublishedState.LEAVING if leaving else PublishedState.LIVE,
    )


class EntryPointsTest(unittest.TestCase):
    """Every node selects the same few live VMs in different failure domains."""

    @given(
        count=st.integers(1, 20),
        domains=st.integers(1, 4),
        slots=st.integers(0, 400),
        leaving=st.integers(0, 20),
        order=st.randoms(use_true_random=False),
    )
    def test_any_fleet(
        self, count: int, domains: int, slots: int, leaving: int, order: Random
    ) -> None:
        vms = [make_vm(number, domains, leaving=number < leaving) for number in range(count)]
        found = entry_points(PoolId("pool"), slots, vms)
        order.shuffle(vms)
        self.assertEqual(found, entry_points(PoolId("pool"), slots, vms))
        live = [vm for vm in vms if vm.state is PublishedState.LIVE]
        self.assertLessEqual(set(found), set(live))
        self.assertEqual(len(found), min(len(live), max(3, -(-slots // 40))))
        used = {vm.failure_domain_id for vm in found}
        known = {vm.failure_domain_id for vm in live}
        self.assertEqual(len(used), min(len(found), len(known)))

    def test_pools_use_different_vms(self) -> None:
        vms = [make_vm(number, 3) for number in range(30)]
        pools = [entry_points(PoolId(f"pool{number}"), 16, vms) for number in range(20)]
        self.assertGreater(len({vm for found in pools for vm in found}), 15)


if __name__ == "__main__":
    unittest.main()
