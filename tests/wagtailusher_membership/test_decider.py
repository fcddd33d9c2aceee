"""Tests of membership under loss, pauses, partitions and restarts.

Guards against processes that are wrongly declared dead, and against views that stay out of date
after a restart, a healed partition or a change of the platform's list.
"""

from __future__ import annotations

from dataclasses import replace
from unittest import TestCase

from wagtailusher_bench.fleet.member_node import MemberNode
from wagtailusher_bench.fleet.membership import Fleet
from wagtailusher_core import FailureDomainId, Incarnation, PublishedState, PublishedVm, VmId
from wagtailusher_membership import (
    MemberChanged,
    MembershipDecider,
    MembershipLimits,
    SendDatagram,
    Superseded,
)
from wagtailusher_wire import MAX_PAYLOAD_BYTES, Gossip, MemberState, MemberUpdate, Ping, encode


def _decider(name: str = "a", incarnation: int = 5) -> MembershipDecider:
    return MembershipDecider(
        vm_id=VmId(name),
        address=f"10.0.0.1:{name}",
        failure_domain_id=FailureDomainId("x"),
        incarnation=Incarnation(incarnation),
        seed=1,
    )


def _listed(*names: str, state: PublishedState = PublishedState.LIVE) -> list[PublishedVm]:
    """Return a platform list."""
    return [
        PublishedVm(
            vm_id=VmId(name),
            address=f"10.0.1.1:{name}",
            peer_address=f"10.0.0.1:{name}",
            failure_domain_id=FailureDomainId("x"),
            state=state,
        )
        for name in names
    ]


def _gossip(name: str, incarnation: int, version: int, state: MemberState) -> Gossip:
    """Return gossip with one update about a VM."""
    update = MemberUpdate(
        vm_id=VmId(name),
        incarnation=Incarnation(incarnation),
        version=version,
        state=state,
        peer_address=f"10.0.0.1:{name}",
    )
    return Gossip(updates=(update,))


def _states(fleet: Fleet, vm_id: VmId) -> set[MemberState | None]:
    """Return the states of a VM in the views of the other nodes."""
    return {node.state_of(vm_id) for node in fleet.nodes if node.node_spec.vm_id != vm_id}


def _suspected_or_dead(nodes: list[MemberNode]) -> set[tuple[VmId, MemberState]]:
    """Return the members that were suspected or declared dead."""
    return {
        (change.member.vm_id, change.member.state)
        for node in nodes
        for change in node.changes
        if change.member.state in (MemberState.SUSPECT, MemberState.DEAD)
    }


class OwnUpdateTest(TestCase):
    """A process reacts to updates about itself."""

    def test_suspicion_and_death_are_refuted(self) -> None:
        for state in (MemberState.SUSPECT, MemberState.DEAD):
            decider = _decider()
            decider.handle(_gossip("a", 5, 3, state), 0)
            self.assertEqual(
                (decider.own_member.state, decider.own_member.version), (MemberState.ALIVE, 4)
            )

    def test_older_incarnation_is_superseded_once(self) -> None:
        decider = _decider()
        effects = decider.handle(_gossip("a", 6, 1, MemberState.ALIVE), 0)
        self.assertIn(Superseded(incarnation=Incarnation(6)), effects)
        self.assertEqual(decider.handle(_gossip("a", 6, 1, MemberState.ALIVE), 0), ())
        self.assertEqual(decider.own_member.incarnation, 5)

    def test_leaving_is_final_and_a_left_process_sends_nothing(self) -> None:
        decider = _decider()
        decider.update_published(_listed("a", "b"), 0)
        sent = [
            effect for effect in decider.announce_leaving(0) if isinstance(effect, SendDatagram)
        ]
        self.assertEqual([effect.vm_id for effect in sent], ["b"])
        decider.handle(_gossip("a", 5, 9, MemberState.SUSPECT), 0)
        self.assertTrue(decider.own_member.leaving)
        self.assertFalse(decider.own_member.accepts_requests)
        decider.announce_left(0)
        self.assertEqual(decider.tick(60_000), ())


class UpdatePrecedenceTest(TestCase):
    """Only updates of higher precedence change a member's state."""

    def test_update_precedence(self) -> None:
        steps = (
            (1, 1, MemberState.ALIVE, MemberState.ALIVE),
            (1, 1, MemberState.SUSPECT, MemberState.SUSPECT),
            (1, 1, MemberState.ALIVE, MemberState.SUSPECT),
            (1, 2, MemberState.ALIVE, MemberState.ALIVE),
            (1, 1, MemberState.DEAD, MemberState.ALIVE),
            (1, 2, MemberState.DEAD, MemberState.DEAD),
            (1, 3, MemberState.LEFT, MemberState.LEFT),
            (1, 9, MemberState.ALIVE, MemberState.LEFT),
            (2, 1, MemberState.ALIVE, MemberState.ALIVE),
            (1, 9, MemberState.DEAD, MemberState.ALIVE),
        )
        decider = _decider()
        for incarnation, version, state, expected in steps:
            decider.handle(_gossip("b", incarnation, version, state), 0)
            self.assertEqual(decider.members()[VmId("b")].state, expected)


class SuspicionTest(TestCase):
    """Suspected members get time to refute; a pause of the observer doesn't count against it."""

    def _decider_with_suspicions(self, *accusers: str) -> MembershipDecider:
        """Return a decider that received suspicions of one member from the accusers."""
        decider = _decider()
        decider.update_published(_listed("a", "b", "c"), 0)
        decider.handle(_gossip("b", 1, 1, MemberState.ALIVE), 0)
        for accuser in accusers:
            update = replace(
                _gossip("b", 1, 1, MemberState.SUSPECT).updates[0], accuser=VmId(accuser)
            )
            decider.handle(Gossip(updates=(update,)), 0)
        return decider

    def _declared_dead_ms(self, decider: MembershipDecider) -> int:
        """Return the time at which the suspected member is declared dead."""
        for now_ms in range(0, 60_000, 100):
            decider.tick(now_ms)
            if decider.members()[VmId("b")].state is MemberState.DEAD:
                return now_ms
        return -1

    def test_more_accusers_shorten_the_suspicion(self) -> None:
        limits = MembershipLimits()
        with_own_probe_ms = (limits.suspicion_min_ms + limits.suspicion_max_ms) // 2
        self.assertEqual(
            self._declared_dead_ms(self._decider_with_suspicions("x")), with_own_probe_ms
        )
        accusers = ("x", "y", "z", "v")
        self.assertEqual(
            self._declared_dead_ms(self._decider_with_suspicions(*accusers)),
            limits.suspicion_min_ms,
        )
        repeated = ("x", "x", "x", "x")
        self.assertEqual(
            self._declared_dead_ms(self._decider_with_suspicions(*repeated)), with_own_probe_ms
        )

    def test_paused_observer_extends_the_suspicion(self) -> None:
        decider = self._decider_with_suspicions("x")
        decider.tick(100)
        decider.tick(60_000)
        self.assertIs(decider.members()[VmId("b")].state, MemberState.SUSPECT)

    def test_paused_observer_drops_its_open_probe(self) -> None:
        decider = _decider()
        decider.update_published(_listed("a", "b"), 0)
        now_ms, pings = 0, 0
        while not pings:
            now_ms += 100
            effects = decider.tick(now_ms)
            pings = sum(
                isinstance(e, SendDatagram) and isinstance(e.message, Ping) for e in effects
            )
        decider.tick(now_ms + 30_000)
        self.assertIs(decider.members()[VmId("b")].state, MemberState.ALIVE)
        self.assertGreater(decider.local_health, 0)


class PublishedListTest(TestCase):
    """The platform's list adds members, marks them as leaving and removes them."""

    def test_unlisted_but_reachable_vm_accepts_no_requests(self) -> None:
        decider = _decider()
        decider.update_published(_listed("a", "b"), 0)
        decider.handle(_gossip("b", 1, 1, MemberState.ALIVE), 0)
        decider.update_published(_listed("a"), 1_000)
        decider.tick(2_000)
        self.assertTrue(decider.members()[VmId("b")].accepts_requests)
        decider.tick(40_000)
        self.assertFalse(decider.members()[VmId("b")].accepts_requests)
        self.assertIs(decider.members()[VmId("b")].state, MemberState.ALIVE)
        decider.update_published(_listed("a", "b"), 41_000)
        self.assertTrue(decider.members()[VmId("b")].accepts_requests)

    def test_list_that_drops_most_alive_members_drops_only_dead_ones(self) -> None:
        decider = _decider()
        decider.update_published(_listed("a", "b", "c", "d"), 0)
        decider.handle(_gossip("d", 1, 1, MemberState.ALIVE), 0)
        decider.handle(_gossip("d", 1, 1, MemberState.DEAD), 0)
        decider.update_published([], 1_000)
        self.assertTrue(decider.is_list_suspected_truncated)
        listed = {vm_id for vm_id, member in decider.members().items() if member.is_listed}
        self.assertEqual(listed, {"a", "b", "c"})
        decider.update_published(_listed("a", "b"), 2_000)
        self.assertFalse(decider.is_list_suspected_truncated)
        self.assertFalse(decider.members()[VmId("c")].is_listed)

    def test_dead_unlisted_member_is_removed_and_not_added_again(self) -> None:
        decider = _decider()
        decider.update_published(_listed("a", "b"), 0)
        decider.handle(_gossip("b", 1, 1, MemberState.DEAD), 0)
        decider.update_published(_listed("a"), 0)
        effects = decider.tick(200_000)
        removed = [e for e in effects if isinstance(e, MemberChanged) and e.removed]
        self.assertEqual([effect.member.vm_id for effect in removed], ["b"])
        decider.handle(_gossip("b", 1, 1, MemberState.DEAD), 200_000)
        self.assertNotIn(VmId("b"), decider.members())


class FailureTest(TestCase):
    """A fleet's views stay correct under loss, pauses and partitions."""

    def test_paused_process_is_suspected_but_not_declared_dead(self) -> None:
        fleet = Fleet(20, seed=2, loss=0.05)
        for node in fleet.nodes:
            node.changes.clear()
        paused = fleet.nodes[3]
        fleet.network.pause(paused, 5_000)
        fleet.network.run_until(fleet.network.now_ms + 30_000)
        suspected_or_dead = _suspected_or_dead(fleet.nodes)
        self.assertIn((paused.node_spec.vm_id, MemberState.SUSPECT), suspected_or_dead)
        self.assertFalse([vm_id for vm_id, state in suspected_or_dead if state is MemberState.DEAD])
        self.assertEqual(_states(fleet, paused.node_spec.vm_id), {MemberState.ALIVE})

    def test_process_is_alive_after_a_long_pause_and_suspects_nobody(self) -> None:
        fleet = Fleet(20, seed=3)
        for node in fleet.nodes:
            node.changes.clear()
        paused = fleet.nodes[3]
        fleet.network.pause(paused, 60_000)
        fleet.network.run_until(fleet.network.now_ms + 55_000)
        self.assertEqual(_states(fleet, paused.node_spec.vm_id), {MemberState.DEAD})
        fleet.network.run_until(fleet.network.now_ms + 30_000)
        self.assertEqual(_states(fleet, paused.node_spec.vm_id), {MemberState.ALIVE})
        self.assertEqual(
            {vm_id for vm_id, _ in _suspected_or_dead(fleet.nodes)}, {paused.node_spec.vm_id}
        )

    def test_partition_heals_after_both_sides_declared_each_other_dead(self) -> None:
        fleet = Fleet(20, seed=4, loss=0.05)
        fleet.network.blocked = lambda a, b: (a.region == 0) != (b.region == 0)
        fleet.network.run_until(fleet.network.now_ms + 400_000)
        for node in fleet.nodes:
            for other in fleet.nodes:
                is_far = (node.node_spec.region == 0) != (other.node_spec.region == 0)
                state = node.state_of(other.node_spec.vm_id)
                self.assertEqual(state is MemberState.DEAD, is_far)
        fleet.network.blocked = lambda a, b: False
        fleet.network.run_until(fleet.network.now_ms + 60_000)
        for node in fleet.nodes:
            self.assertFalse([m for m in node.decider.members().values() if m.is_gone])

    def test_pair_without_a_direct_path_is_not_suspected(self) -> None:
        fleet = Fleet(9, seed=6)
        pair = {fleet.node_specs[0].vm_id, fleet.node_specs[1].vm_id}
        for node in fleet.nodes:
            node.changes.clear()
        fleet.network.blocked = lambda a, b: {a.vm_id, b.vm_id} == pair
        fleet.network.run_until(fleet.network.now_ms + 60_000)
        self.assertEqual(_suspected_or_dead(fleet.nodes), set())

    def test_restarted_process_replaces_its_crashed_one(self) -> None:
        fleet = Fleet(20, seed=5, loss=0.05)
        old = fleet.nodes[7]
        fleet.network.stop(old)
        fleet.network.run_until(fleet.network.now_ms + 3_000)
        new = fleet.start(old.node_spec, incarnation=2, seed=99)
        fleet.network.run_until(fleet.network.now_ms + 20_000)
        for node in [n for n in fleet.nodes if n is not old] + [new]:
            member = node.decider.members()[old.node_spec.vm_id]
            self.assertEqual((member.incarnation, member.state), (2, MemberState.ALIVE))

    def test_datagrams_stay_within_the_limit_with_the_longest_names(self) -> None:
        decider = _decider()
        for index in range(100):
            update = MemberUpdate(
                vm_id=VmId(f"{index:064d}"),
                incarnation=Incarnation(2**63),
                version=2**31,
                state=MemberState.ALIVE,
                address=f"[2001:db8:1234:5678:9abc:def0:1234:{index:04x}]:54321",
                peer_address=f"[2001:db8:1234:5678:9abc:def0:1234:{index:04x}]:54322",
                failure_domain_id=FailureDomainId(f"{index:064d}"),
            )
            decider.handle(Gossip(updates=(update,)), 0)
        sizes = [
            len(encode(effect.message))
            for now_ms in range(0, 20_000, 100)
            for effect in decider.tick(now_ms)
            if isinstance(effect, SendDatagram)
        ]
        self.assertGreater(len(sizes), 100)
        self.assertLessEqual(max(sizes), MAX_PAYLOAD_BYTES)
