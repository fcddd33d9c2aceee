"""Tests of a quota coordinator, one claim at a time.

Guards against grants that add up to more than the quota after lost or late messages, expiry,
restarts or a change of the coordinator.
"""

from __future__ import annotations

from unittest import TestCase

from wagtailusher_bench.fleet.node_specs import make_node_specs, publish
from wagtailusher_core import ClassId, ClassKey, Incarnation, VmId, WorkspaceId
from wagtailusher_membership.quota_coordinator import QuotaCoordinator
from wagtailusher_membership.quota_coordinators import QuotaCoordinators
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_membership.table import MemberTable
from wagtailusher_wire import MemberState, MemberUpdate, QuotaClaim, QuotaClaims

_KEY = ClassKey(WorkspaceId("w"), ClassId("c"))
_QUOTA = 30
_LIFETIME_MS = QuotaLimits().lifetime_ms
_READY_MS = _LIFETIME_MS + 1


class QuotaCoordinatorTest(TestCase):
    """Grants never add up to more than the quota, even when messages are lost or late."""

    def setUp(self) -> None:
        """Create the coordinator of a class, which has run for longer than a grant lasts."""
        self.table = MemberTable(max_members=10, buckets=1)
        list(self.table.merge_published(publish(make_node_specs(5)), 0))
        first_coordinator = self._coordinators(VmId("vm-0000")).coordinator_of(_KEY)
        assert first_coordinator is not None
        self.first_coordinator = first_coordinator
        self.coordinator = self._make_coordinator(first_coordinator)

    def _coordinators(self, vm_id: VmId) -> QuotaCoordinators:
        """Return one VM's view of the coordinators."""
        coordinators = QuotaCoordinators(vm_id=vm_id, members=self.table.view)
        coordinators.refresh(0)
        return coordinators

    def _make_coordinator(self, vm_id: VmId) -> QuotaCoordinator:
        return QuotaCoordinator(
            vm_id=vm_id, coordinators=self._coordinators(vm_id), limits=QuotaLimits()
        )

    def _grant(
        self,
        node: str,
        sequence: int,
        *,
        held: int = 0,
        confirms: int = 0,
        now_ms: int = _READY_MS,
        coordinator: QuotaCoordinator | None = None,
    ) -> int | None:
        """Claim 60 requests for a node and return the granted share."""
        claim = QuotaClaim(
            workspace_id=_KEY.workspace_id,
            class_id=_KEY.class_id,
            quota=_QUOTA,
            claim=60,
            held=held,
            grant_sequence=confirms,
        )
        claims = QuotaClaims(
            node_id=VmId(node), incarnation=Incarnation(1), sequence=sequence, claims=(claim,)
        )
        grants = (coordinator or self.coordinator).grant_claims(claims, now_ms).grants
        return grants[0].share if grants else None

    def test_share_grows_only_by_what_another_vm_confirmed_as_released(self) -> None:
        self.assertEqual(self._grant("a", 1), 30)
        self.assertEqual(self._grant("b", 1), 0)
        self.assertEqual(self._grant("a", 2, held=30, confirms=1), 15)
        self.assertEqual(self._grant("b", 2, confirms=1), 0)
        self.assertEqual(self._grant("a", 3, held=15, confirms=2), 15)
        self.assertEqual(self._grant("b", 3, confirms=2), 15)

    def test_grant_that_may_still_arrive_counts_as_used(self) -> None:
        self.assertEqual(self._grant("a", 1), 30)
        self.assertEqual(self._grant("b", 1), 0)
        self.assertEqual(self._grant("a", 2), 15)
        self.assertEqual(self._grant("b", 2, confirms=1), 0)

    def test_grant_of_an_unresponsive_claimant_expires(self) -> None:
        self.assertEqual(self._grant("a", 1), 30)
        self.assertEqual(self._grant("b", 1, now_ms=_READY_MS + _LIFETIME_MS - 1), 0)
        self.assertEqual(self._grant("b", 2, now_ms=_READY_MS + _LIFETIME_MS), 30)

    def test_late_and_repeated_claims_are_not_answered(self) -> None:
        self.assertEqual(self._grant("a", 2), 30)
        self.assertIsNone(self._grant("a", 2))
        self.assertIsNone(self._grant("a", 1))

    def test_new_coordinator_only_renews_for_a_grant_lifetime(self) -> None:
        others = [vm_id for vm_id in self.table.view if vm_id != self.first_coordinator]
        coordinators = [self._make_coordinator(vm_id) for vm_id in others]
        dead = MemberUpdate(
            vm_id=self.first_coordinator,
            incarnation=Incarnation(1),
            version=1,
            state=MemberState.DEAD,
        )
        now_ms = 20_000
        self.table.merge(dead, now_ms)
        shares = [
            self._grant("a", 1, now_ms=now_ms, coordinator=coordinator)
            for coordinator in coordinators
        ]
        self.assertEqual([share for share in shares if share is not None], [0])
        coordinator = coordinators[shares.index(0)]
        self.assertEqual(self._grant("b", 1, held=9, now_ms=now_ms, coordinator=coordinator), 9)
        later_ms = now_ms + _LIFETIME_MS
        self.assertEqual(
            self._grant("a", 2, confirms=1, now_ms=later_ms, coordinator=coordinator), 30
        )

    def test_restarted_coordinator_only_renews_for_a_grant_lifetime(self) -> None:
        self.assertEqual(self._grant("a", 1, now_ms=1_000), 0)
        self.assertEqual(self._grant("b", 1, held=9, now_ms=1_000), 9)
        self.assertEqual(self._grant("a", 2, confirms=1, now_ms=20_000), 30)

    def test_first_claim_with_a_held_grant_shows_a_previous_coordinator(self) -> None:
        self.assertEqual(self._grant("b", 1, held=9), 9)
        self.assertEqual(self._grant("a", 1), 0)
