"""Tests of membership through seeds and heartbeats, in virtual time.

They guard against VMs that never find each other, and against callers sent to VMs that are gone.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import beat_of, member
from wagtailusher_core import EndpointId, FailureDomainId, VmId
from wagtailusher_gateway.const import PEER_RETENTION_MS, START_WAIT_MS
from wagtailusher_gateway.contention import PlaceContention
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_wire import Beat

STEP_MS = 50


class Fleet:
    """Deciders that exchange heartbeats over a simulated network with loss."""

    def __init__(self, count: int, seed: int, loss: float = 0.0, domains: int = 1) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.now_ms = 0
        self.down: set[str] = set()
        self.partitioned: frozenset[str] = frozenset()
        """VMs that are partitioned from all others."""
        self.deciders: dict[str, FleetDecider] = {}
        seeds = tuple(member(number).peer_address for number in range(min(3, count)))
        for number in range(count):
            domain_id = FailureDomainId(f"domain-{number % domains}")
            own_member = replace(member(number), failure_domain_id=domain_id)
            self.deciders[own_member.peer_address] = FleetDecider(
                own_member, seeds, 0, seed + number
            )

    def run(self, duration_ms: int) -> None:
        """Advance the time and deliver the heartbeats that are due."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for source, decider in self.deciders.items():
                if source in self.down:
                    continue
                for due in decider.collect_due_heartbeats(self.now_ms):
                    self._deliver(source, decider, due.peer_address, due.with_peers)

    def _deliver(self, source: str, sender: FleetDecider, address: str, with_peers: bool) -> None:
        if address in self.down or self.random.random() < self.loss:
            return
        if (source in self.partitioned) != (address in self.partitioned):
            return
        own_member = sender.own_member
        peers = sender.sample_peers() if with_peers else ()
        heartbeat = beat_of(own_member, peers=peers, relays=False)
        receiver = self.deciders[address]
        receiver.receive(own_member.vm_id, own_member.incarnation, heartbeat, source, self.now_ms)


class FleetTest(unittest.TestCase):
    """Every VM finds all others and removes those that are gone."""

    def test_all_find_all(self) -> None:
        """From three seeds, 9 and 68 VMs know each other within two and six seconds."""
        for count, bound_ms in ((9, 2_000), (68, 6_000)):
            fleet = Fleet(count, seed=count, loss=0.03)
            fleet.run(bound_ms)
            sizes = {len(decider.serving_members(bound_ms)) for decider in fleet.deciders.values()}
            self.assertEqual(sizes, {count})

    def test_killed_vm_is_no_longer_listed(self) -> None:
        """A VM whose heartbeats stop is left out after the allowed number of missed ones."""
        fleet = Fleet(9, seed=3, loss=0.05)
        fleet.run(3_000)
        killed = member(4)
        fleet.down.add(killed.peer_address)
        fleet.run(2_000)
        for address, decider in fleet.deciders.items():
            if address not in fleet.down:
                named = {item.vm_id for item in decider.serving_members(fleet.now_ms)}
                self.assertNotIn(killed.vm_id, named)
                self.assertGreaterEqual(len(named), 7)

    def test_silent_vm_still_counts_for_shares(self) -> None:
        """A VM that may be alive beyond a partition still counts in shares of fleet-wide limits."""
        fleet = Fleet(9, seed=3)
        fleet.run(2_000)
        fleet.down.add(member(4).peer_address)
        fleet.run(5_000)
        decider = fleet.deciders[member(0).peer_address]
        self.assertEqual(len(decider.all_vm_ids()), 9)

    def test_views_are_current_only_while_every_known_vm_confirms_its_own(self) -> None:
        fleet = Fleet(4, seed=3)
        fleet.run(2_000)
        decider = fleet.deciders[member(0).peer_address]
        self.assertTrue(decider.has_current_views(fleet.now_ms, 5_000))
        fleet.down.add(member(2).peer_address)
        for _ in range(3):
            fleet.run(PEER_RETENTION_MS // 2)
            self.assertFalse(decider.has_current_views(fleet.now_ms, 5_000))

    def test_vm_that_announced_its_leave_stops_counting_for_shares(self) -> None:
        fleet = Fleet(4, seed=3)
        fleet.run(2_000)
        leaving, killed = member(1).peer_address, member(2).peer_address
        fleet.deciders[leaving].set_own_state(is_ready=False, is_leaving=True)
        fleet.run(1_000)
        fleet.down |= {leaving, killed}
        fleet.run(PEER_RETENTION_MS + 1_000)
        decider = fleet.deciders[member(0).peer_address]
        self.assertEqual(set(decider.all_vm_ids()), {member(number).vm_id for number in (0, 2, 3)})

    def test_leaving_vm_is_no_longer_listed(self) -> None:
        """A VM that announces its leave is left out from its next heartbeat on."""
        fleet = Fleet(3, seed=1)
        fleet.run(1_000)
        fleet.deciders[member(1).peer_address].set_own_state(is_ready=False, is_leaving=True)
        fleet.run(300)
        others = fleet.deciders[member(0).peer_address].serving_members(fleet.now_ms)
        self.assertEqual({item.vm_id for item in others}, {VmId("vm-0"), VmId("vm-2")})

    def test_heartbeats_stay_bounded_in_a_large_fleet(self) -> None:
        """A VM in a fleet of 68 sends at most twice as many heartbeats as one in a fleet of 10."""
        sent = {}
        for count in (10, 68):
            fleet = Fleet(count, seed=1)
            fleet.run(4_000)
            decider = fleet.deciders[member(0).peer_address]
            before_ms = fleet.now_ms
            total = 0
            while fleet.now_ms < before_ms + 4_000:
                total += len(decider.collect_due_heartbeats(fleet.now_ms))
                fleet.run(STEP_MS)
            sent[count] = total
        self.assertLessEqual(sent[68], 2 * sent[10])

    def test_early_heartbeats_stay_in_the_failure_domain_in_a_large_fleet(self) -> None:
        """In a small fleet all peers get early heartbeats, in a large one the failure domain's."""
        small = Fleet(9, seed=1)
        small.run(2_000)
        decider = small.deciders[member(0).peer_address]
        self.assertEqual(len(decider.early_heartbeat_members(small.now_ms)), 8)
        large = Fleet(30, seed=1, domains=3)
        large.run(4_000)
        decider = large.deciders[member(0).peer_address]
        self.assertEqual(len(decider.early_heartbeat_members(large.now_ms)), 9)

    def test_heartbeat_of_an_older_incarnation_is_ignored(self) -> None:
        """A delayed datagram of a process that was replaced changes nothing."""
        fleet = Fleet(2, seed=1)
        fleet.run(1_000)
        decider = fleet.deciders[member(0).peer_address]
        heartbeat = Beat(
            address="old:1",
            view_address="old:2",
            failure_domain_id=FailureDomainId("a"),
            weight=1,
            is_leaving=True,
            is_ready=False,
            view_revision=0,
            view_age_ms=0,
        )
        decider.receive(VmId("vm-1"), 0, heartbeat, member(1).peer_address, fleet.now_ms)
        self.assertEqual(len(decider.serving_members(fleet.now_ms)), 2)


class StartTest(unittest.TestCase):
    """VMs that start before their seeds hear of them soon."""

    def test_seeds_that_were_not_up_at_first_are_heard_while_a_vm_waits_for_them(self) -> None:
        fleet = Fleet(6, seed=1)
        seeds = {member(number).peer_address for number in range(3)}
        fleet.down = seeds
        fleet.run(2 * STEP_MS)
        fleet.down = set()
        fleet.run(START_WAIT_MS - 2 * STEP_MS)
        for address, decider in fleet.deciders.items():
            if address not in seeds:
                self.assertGreaterEqual(len(decider.live_members(fleet.now_ms)), len(seeds))


class UnknownFleetTest(unittest.TestCase):
    """A VM that does not know its fleet uses nothing of what the VMs share."""

    def test_vm_that_starts_cut_off_does_not_count_as_the_whole_fleet(self) -> None:
        fleet = Fleet(4, seed=3)
        cut_off = member(3).peer_address
        fleet.partitioned = frozenset({cut_off})
        fleet.run(PEER_RETENTION_MS)
        decider = fleet.deciders[cut_off]
        self.assertFalse(decider.knows_fleet)
        self.assertFalse(decider.is_settled(fleet.now_ms))
        contention = PlaceContention(VmId("vm-3"), lambda: decider.knows_fleet)
        contention.set_vm_ids(decider.all_vm_ids())
        self.assertEqual(contention.own_places(EndpointId("i-1"), 8), 0)
        fleet.partitioned = frozenset()
        fleet.run(3_000)
        self.assertTrue(decider.is_settled(fleet.now_ms))
        self.assertEqual(len(decider.all_vm_ids()), 4)
        contention.set_vm_ids(decider.all_vm_ids())
        self.assertEqual(contention.own_places(EndpointId("i-1"), 8), 2)

    def test_vm_whose_seeds_are_gone_meets_its_fleet_by_new_ones(self) -> None:
        fleet = Fleet(5, seed=3)
        fleet.down = {member(number).peer_address for number in range(3)}
        fleet.run(2_000)
        decider = fleet.deciders[member(4).peer_address]
        self.assertFalse(decider.is_settled(fleet.now_ms))
        decider.set_seeds((member(3).peer_address, member(4).peer_address), fleet.now_ms)
        fleet.run(3_000)
        self.assertEqual(set(decider.all_vm_ids()), {VmId("vm-3"), VmId("vm-4")})
        self.assertTrue(decider.is_settled(fleet.now_ms))

    def test_vm_that_names_no_others_is_its_whole_fleet(self) -> None:
        decider = FleetDecider(member(0), (member(0).peer_address,), 0, 1)
        self.assertTrue(decider.is_settled(2_000))

    def test_vm_that_loses_all_its_peers_still_counts_them(self) -> None:
        fleet = Fleet(4, seed=3)
        fleet.run(2_000)
        fleet.partitioned = frozenset({member(3).peer_address})
        fleet.run(PEER_RETENTION_MS + 3_000)
        decider = fleet.deciders[member(3).peer_address]
        self.assertEqual(len(decider.all_vm_ids()), 4)


if __name__ == "__main__":
    unittest.main()
