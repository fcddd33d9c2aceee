"""Tests of the keeper of a quota, one claim at a time."""

from __future__ import annotations

from unittest import TestCase

from wagtailusher_bench.fleet.node_specs import make_node_specs, publish
from wagtailusher_core import ClassId, ClassKey, Incarnation, VmId, WorkspaceId
from wagtailusher_membership.keepers import Keepers
from wagtailusher_membership.quota_keeper import QuotaKeeper
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_membership.table import MemberTable
from wagtailusher_wire import MemberState, MemberUpdate, QuotaClaim, QuotaClaims

_KEY = ClassKey(WorkspaceId("w"), ClassId("c"))
_QUOTA = 30
_LIFETIME_MS = QuotaLimits().lifetime_ms
_READY_MS = _LIFETIME_MS + 1


class QuotaKeeperTest(TestCase):
    """Grants never add up to more than the quota, whatever was lost or late."""

    def setUp(self) -> None:
        """Create the keeper of a class, running for longer than a grant lasts."""
        self.table = MemberTable(max_members=10, buckets=1)
        list(self.table.merge_published(publish(make_node_specs(5)), 0))
        first = self._keepers(VmId("vm-0000")).keeper(_KEY)
        assert first is not None
        self.first = first
        self.keeper = self._keeper(first)

    def _keepers(self, vm_id: VmId) -> Keepers:
        """Return one VM's view of keepers."""
        keepers = Keepers(vm_id=vm_id, members=self.table.view)
        keepers.refresh(0)
        return keepers

    def _keeper(self, vm_id: VmId) -> QuotaKeeper:
        """Return one VM's keeper."""
        return QuotaKeeper(vm_id=vm_id, keepers=self._keepers(vm_id), limits=QuotaLimits())

    def _ask(
        self,
        node: str,
        sequence: int,
        *,
        held: int = 0,
        confirms: int = 0,
        now_ms: int = _READY_MS,
        keeper: QuotaKeeper | None = None,
    ) -> int | None:
        """Claim 60 for a node and return the share that is granted."""
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
        grants = (keeper or self.keeper).answer(claims, now_ms).grants
        return grants[0].share if grants else None

    def test_grows_only_by_what_another_confirmed_to_have_given_back(self) -> None:
        self.assertEqual(self._ask("a", 1), 30)
        self.assertEqual(self._ask("b", 1), 0)
        self.assertEqual(self._ask("a", 2, held=30, confirms=1), 15)
        self.assertEqual(self._ask("b", 2, confirms=1), 0)
        self.assertEqual(self._ask("a", 3, held=15, confirms=2), 15)
        self.assertEqual(self._ask("b", 3, confirms=2), 15)

    def test_grant_that_may_still_arrive_counts(self) -> None:
        self.assertEqual(self._ask("a", 1), 30)
        self.assertEqual(self._ask("b", 1), 0)
        self.assertEqual(self._ask("a", 2), 15)
        self.assertEqual(self._ask("b", 2, confirms=1), 0)

    def test_grant_of_a_silent_holder_runs_out(self) -> None:
        self.assertEqual(self._ask("a", 1), 30)
        self.assertEqual(self._ask("b", 1, now_ms=_READY_MS + _LIFETIME_MS - 1), 0)
        self.assertEqual(self._ask("b", 2, now_ms=_READY_MS + _LIFETIME_MS), 30)

    def test_late_and_repeated_claims_are_not_answered(self) -> None:
        self.assertEqual(self._ask("a", 2), 30)
        self.assertIsNone(self._ask("a", 2))
        self.assertIsNone(self._ask("a", 1))

    def test_after_taking_over_it_only_renews_for_a_lifetime(self) -> None:
        others = [vm_id for vm_id in self.table.view if vm_id != self.first]
        keepers = [self._keeper(vm_id) for vm_id in others]
        dead = MemberUpdate(
            vm_id=self.first, incarnation=Incarnation(1), version=1, state=MemberState.DEAD
        )
        now_ms = 20_000
        self.table.merge(dead, now_ms)
        shares = [self._ask("a", 1, now_ms=now_ms, keeper=keeper) for keeper in keepers]
        self.assertEqual([share for share in shares if share is not None], [0])
        keeper = keepers[shares.index(0)]
        self.assertEqual(self._ask("b", 1, held=9, now_ms=now_ms, keeper=keeper), 9)
        later_ms = now_ms + _LIFETIME_MS
        self.assertEqual(self._ask("a", 2, confirms=1, now_ms=later_ms, keeper=keeper), 30)

    def test_after_a_start_it_only_renews_for_a_lifetime(self) -> None:
        self.assertEqual(self._ask("a", 1, now_ms=1_000), 0)
        self.assertEqual(self._ask("b", 1, held=9, now_ms=1_000), 9)
        self.assertEqual(self._ask("a", 2, confirms=1, now_ms=20_000), 30)

    def test_first_claim_that_holds_a_grant_shows_another_keeper(self) -> None:
        self.assertEqual(self._ask("b", 1, held=9), 9)
        self.assertEqual(self._ask("a", 1), 0)
