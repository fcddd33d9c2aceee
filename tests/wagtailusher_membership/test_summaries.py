"""Tests of summaries, quota shares and address answers.

Guards against shares in use that exceed the quota's bounds while VMs have different views, and
against callers that are sent to leaving or full VMs.
"""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_bench.fleet.network import NodeSpec
from wagtailusher_bench.fleet.node_specs import make_node_specs, publish
from wagtailusher_bench.fleet.summaries import SummaryFleet, set_demand
from wagtailusher_bench.fleet.summary_node import SummaryNode
from wagtailusher_core import ClassId, ClassKey, Incarnation, PoolId, VmId, WorkspaceId
from wagtailusher_membership.apportion import apportion, base_share
from wagtailusher_wire import (
    MAX_PAYLOAD_BYTES,
    ClassDemand,
    MemberState,
    MemberUpdate,
    PoolDemand,
    RoomSummary,
    SummaryGossip,
    encode,
)

_QUOTA = 30
_KEY = ClassKey(WorkspaceId("w"), ClassId("c"))
_NAMES = [VmId(f"vm-{index}") for index in range(12)]
_CLAIMS = st.dictionaries(st.sampled_from(_NAMES), st.integers(1, 10**6))


class ApportionTest(TestCase):
    """Shares add up to the quota."""

    @given(_CLAIMS, st.integers(0, 10**6))
    def test_shares_add_up_to_the_quota_or_all_claims(
        self, claims: dict[VmId, int], quota: int
    ) -> None:
        shares = apportion("key", quota, claims)
        self.assertEqual(sum(shares.values()), min(quota, sum(claims.values())))
        self.assertTrue(all(shares[vm_id] <= claims[vm_id] for vm_id in claims))

    @given(st.integers(0, 10**6), st.sets(st.sampled_from(_NAMES), min_size=1))
    def test_even_division_adds_up(self, quota: int, names: set[VmId]) -> None:
        parts = [base_share("key", quota, name, names) for name in names]
        self.assertEqual(sum(parts), quota)
        self.assertLessEqual(max(parts) - min(parts), 1)


def _allowed_in_flight(fleet: SummaryFleet) -> int:
    """Return how many requests the running nodes with demand may have in flight together."""
    now_ms = fleet.network.now_ms
    return sum(
        node.decider.quota_share(_KEY, _QUOTA, now_ms)
        for node in fleet.nodes
        if node.claims and node.node_spec.address in fleet.network.nodes
    )


def _run(fleet: SummaryFleet, time_ms: int) -> list[int]:
    """Advance the time and return the sum of the allowed requests at each step."""
    allowed = []
    for _ in range(time_ms // 50):
        fleet.run(50)
        allowed.append(_allowed_in_flight(fleet))
    return allowed


def _declare_dead(node: SummaryNode, node_specs: list[NodeSpec], now_ms: int) -> None:
    """Mark other VMs' processes as dead in a node's view."""
    for node_spec in node_specs:
        dead = MemberUpdate(
            vm_id=node_spec.vm_id, incarnation=Incarnation(1), version=1, state=MemberState.DEAD
        )
        node.table.merge(dead, now_ms)


class QuotaShareTest(TestCase):
    """Shares follow demand and their sum is bounded."""

    def _fleet(self, loss: float, seed: int) -> SummaryFleet:
        """Return a fleet whose coordinators have run for longer than a grant lasts."""
        fleet = SummaryFleet(9, seed=seed, loss=loss)
        fleet.run(10_000)
        return fleet

    def test_shares_follow_demand_within_the_quota(self) -> None:
        for seed in range(5):
            fleet = self._fleet(loss=0.1, seed=seed)
            set_demand(fleet.nodes[0], {_KEY: 60})
            _run(fleet, 3_000)
            self.assertEqual(_allowed_in_flight(fleet), _QUOTA)
            set_demand(fleet.nodes[1], {_KEY: 30})
            allowed = _run(fleet, 12_000)
            self.assertLessEqual(max(allowed), 2 * _QUOTA)
            now_ms = fleet.network.now_ms
            shares = [node.decider.quota_share(_KEY, _QUOTA, now_ms) for node in fleet.nodes[:2]]
            self.assertEqual(shares, [20, 10])

    def test_share_shrinks_before_another_grows(self) -> None:
        fleet = self._fleet(loss=0.0, seed=1)
        set_demand(fleet.nodes[0], {_KEY: 60})
        _run(fleet, 3_000)
        set_demand(fleet.nodes[1], {_KEY: 60})
        self.assertLessEqual(max(_run(fleet, 1_000)), 2 * _QUOTA)
        self.assertLessEqual(max(_run(fleet, 12_000)), _QUOTA)

    def test_usage_stays_within_twice_the_quota_without_the_coordinator(self) -> None:
        fleet = self._fleet(loss=0.0, seed=2)
        for node in fleet.nodes:
            set_demand(node, {_KEY: 60})
        _run(fleet, 5_000)
        coordinator_id = fleet.nodes[0].decider.quota_coordinator(_KEY)
        coordinator = next(node for node in fleet.nodes if node.node_spec.vm_id == coordinator_id)
        fleet.network.stop(coordinator)
        self.assertLessEqual(max(_run(fleet, 8_000)), 2 * _QUOTA)
        for node in fleet.nodes:
            _declare_dead(node, [coordinator.node_spec], fleet.network.now_ms)
        self.assertLessEqual(max(_run(fleet, 10_000)), 2 * _QUOTA)
        self.assertEqual(set(_run(fleet, 5_000)), {_QUOTA * 8 // 9})
        listed = publish(node.node_spec for node in fleet.nodes if node is not coordinator)
        for node in fleet.nodes:
            list(node.table.merge_published(listed, fleet.network.now_ms))
        self.assertLessEqual(max(_run(fleet, 10_000)), 2 * _QUOTA)
        self.assertEqual(set(_run(fleet, 5_000)), {_QUOTA})

    def test_sides_of_a_lasting_partition_share_the_quota(self) -> None:
        fleet = self._fleet(loss=0.0, seed=5)
        for node in fleet.nodes:
            set_demand(node, {_KEY: 50})
        _run(fleet, 5_000)
        fleet.network.blocked = lambda a, b: a.region != b.region
        self.assertLessEqual(max(_run(fleet, 10_000)), 2 * _QUOTA)
        for node in fleet.nodes:
            far = [o.node_spec for o in fleet.nodes if o.node_spec.region != node.node_spec.region]
            _declare_dead(node, far, fleet.network.now_ms)
        self.assertLessEqual(max(_run(fleet, 15_000)), 2 * _QUOTA)
        sides = len({node.node_spec.region for node in fleet.nodes})
        self.assertEqual(sides, 5)
        allowed = _run(fleet, 10_000)
        self.assertLessEqual(max(allowed), _QUOTA + sides)
        self.assertGreaterEqual(min(allowed), _QUOTA - sides)

    def test_usage_stays_within_twice_the_quota_in_a_partition_and_recovers(self) -> None:
        fleet = self._fleet(loss=0.0, seed=3)
        for node in fleet.nodes:
            set_demand(node, {_KEY: 50})
        _run(fleet, 5_000)
        fleet.network.blocked = lambda a, b: (a.region == 0) != (b.region == 0)
        self.assertLessEqual(max(_run(fleet, 30_000)), 2 * _QUOTA)
        fleet.network.blocked = lambda a, b: False
        _run(fleet, 10_000)
        self.assertEqual(set(_run(fleet, 5_000)), {_QUOTA})

    def test_paused_claimant_stops_using_its_grant(self) -> None:
        fleet = self._fleet(loss=0.0, seed=4)
        set_demand(fleet.nodes[0], {_KEY: 60})
        _run(fleet, 3_000)
        late_ms = fleet.network.now_ms + 60_000
        share = fleet.nodes[0].decider.quota_share(_KEY, _QUOTA, late_ms)
        self.assertLessEqual(share, _QUOTA // 9 + 1)


def _node(node_spec: NodeSpec, node_specs: list[NodeSpec]) -> SummaryNode:
    """Return a node whose view contains the given VMs."""
    return SummaryNode(node_spec, published=publish(node_specs), seed=3)


class AddressTest(TestCase):
    """Answers contain VMs by spare capacity, same-domain ones first, no leaving or full ones."""

    def test_addresses_are_weighted_by_room_near_first_never_leaving(self) -> None:
        node_specs = make_node_specs(9)
        node = _node(node_specs[0], node_specs)
        rooms = tuple(
            RoomSummary(
                vm_id=node_spec.vm_id,
                incarnation=node.decider.incarnation,
                sequence=1,
                age_ms=0,
                room=(0, 10_000, 30_000)[index % 3],
                leaving=index == 5,
            )
            for index, node_spec in enumerate(node_specs)
        )
        node.decider.handle(SummaryGossip(rooms=rooms), 0)
        near = node_specs[1].failure_domain_id
        answers = [node.decider.addresses(0, near, 3) for _ in range(400)]
        names = [choice.vm_id for answer in answers for choice in answer]
        self.assertNotIn(node_specs[5].vm_id, names)
        self.assertNotIn(node_specs[3].vm_id, names)
        for answer in answers:
            self.assertEqual(len({choice.vm_id for choice in answer}), 3)
            order = [choice.failure_domain_id != near for choice in answer]
            self.assertEqual(order, sorted(order))
        self.assertGreater(names.count(node_specs[2].vm_id), names.count(node_specs[4].vm_id))

    def test_leaving_member_is_excluded_at_once(self) -> None:
        node_specs = make_node_specs(4)
        node = _node(node_specs[0], node_specs)
        near = node_specs[1].failure_domain_id
        self.assertEqual(len(node.decider.addresses(0, near, 4)), 4)
        leaving = MemberUpdate(
            vm_id=node_specs[1].vm_id,
            incarnation=Incarnation(1),
            version=2,
            state=MemberState.LEAVING,
            leaving=True,
        )
        node.table.merge(leaving, 1)
        names = {choice.vm_id for choice in node.decider.addresses(1, near, 4)}
        self.assertEqual(
            names, {node_spec.vm_id for node_spec in node_specs} - {node_specs[1].vm_id}
        )

    def test_addresses_are_returned_when_all_are_full(self) -> None:
        node_specs = make_node_specs(3)
        node = _node(node_specs[0], node_specs)
        node.decider.set_room(0)
        node.decider.tick(0)
        answer = node.decider.addresses(0, node_specs[0].failure_domain_id, 3)
        self.assertEqual(len(answer), 3)


class SizeTest(TestCase):
    """Datagrams stay within their size limit for any names and numbers."""

    @given(st.integers(1, 64), st.integers(0, 2**31), st.integers(0, 40))
    def test_gossip_fits_a_datagram(self, length: int, number: int, classes: int) -> None:
        node_spec = make_node_specs(1)[0]
        node = SummaryNode(node_spec, published=publish(make_node_specs(60)), seed=4)
        pools = [
            PoolDemand(
                pool_id=PoolId(f"{pool:0{length}d}"),
                queued_by_tier=(number,) * 7,
                in_flight_by_tier=(number,) * 7,
                classes=tuple(
                    ClassDemand(
                        workspace_id=WorkspaceId(f"{index:0{length}d}"),
                        class_id=ClassId(f"{index:0{length}d}"),
                        queued=number,
                        in_flight=number + index,
                    )
                    for index in range(classes)
                ),
            )
            for pool in range(3)
        ]
        node.decider.set_room(number)
        node.decider.set_demand(pools)
        for outgoing in node.tick(number):
            gossip = outgoing.message
            self.assertLessEqual(len(encode(gossip)), MAX_PAYLOAD_BYTES)
            assert isinstance(gossip, SummaryGossip)
            self.assertEqual([demand.vm_id for demand in gossip.demands], [node_spec.vm_id])
