"""Tests of heartbeats in fleets of hundreds of VMs, in virtual time.

They guard against work that grows with the fleet, and against callers that are told of VMs that are
gone, or not told of those that run.
"""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import beat_of, member
from tests.wagtailusher_gateway.large_fleet import LargeFleet
from wagtailusher_core import EndpointId, FailureDomainId
from wagtailusher_gateway.const import HEARTBEATS_PER_S, MAX_SILENCE_MS, RELAYED_INTERVAL_MS
from wagtailusher_gateway.fleet import FleetDecider

DOMAINS = 6
VMS = 60
"""More than send heartbeats to each other directly."""
FOUND_MS = 6_000
"""Time in which all VMs that start together find each other."""
CHECK_MS = 4_000
STEP_MS = 50
MS_PER_S = 1_000
LOSS = 0.05
KNOWN_SHARE = 0.99
"""Share of the running VMs that each VM must name under loss."""


def new_fleet(*, loss: float = 0.0) -> LargeFleet:
    """Return a fleet whose VMs have found each other."""
    fleet = LargeFleet(VMS, DOMAINS, seed=VMS, loss=loss)
    fleet.run(FOUND_MS)
    return fleet


def heartbeats_per_s(vm_count: int) -> float:
    """Return how many heartbeats one VM sends that hears from all others."""
    members = [
        replace(member(number), failure_domain_id=FailureDomainId(f"domain-{number % DOMAINS}"))
        for number in range(vm_count)
    ]
    decider = FleetDecider(members[0], (), 0, 1)
    sent = 0
    for now_ms in range(0, 2 * CHECK_MS, STEP_MS):
        for item in members[1:]:
            decider.receive(item.vm_id, item.incarnation, beat_of(item), item.peer_address, now_ms)
        due = decider.collect_due_heartbeats(now_ms)
        sent += len(due) if now_ms >= CHECK_MS else 0
    return sent / (CHECK_MS / MS_PER_S)


class LargeFleetTest(unittest.TestCase):
    """What VMs of different failure domains know of each other, and what that costs."""

    def test_heartbeats_of_a_vm_do_not_grow_with_the_other_failure_domains(self) -> None:
        remote_per_s = (DOMAINS - 1) * MS_PER_S / RELAYED_INTERVAL_MS
        for vm_count in (68, 195, 370):
            with self.subTest(vm_count=vm_count):
                sent_per_s = heartbeats_per_s(vm_count)
                self.assertLessEqual(sent_per_s, HEARTBEATS_PER_S + remote_per_s)

    def test_all_vms_find_each_other(self) -> None:
        self.assertEqual(set(new_fleet().known_counts()), {VMS})

    def test_running_vms_are_named_while_heartbeats_are_lost(self) -> None:
        fleet = new_fleet(loss=LOSS)
        for _ in range(8):
            fleet.run(CHECK_MS // 4)
            self.assertGreaterEqual(min(fleet.known_counts()), KNOWN_SHARE * fleet.count)

    def test_heartbeats_are_relayed_by_vms_that_run_and_do_not_leave(self) -> None:
        fleet = new_fleet()
        sender = fleet.deciders[0]
        kept, leaving, silent = (fleet.deciders[number].own_member for number in (1, 7, 13))
        others = {number for number in range(1, VMS) if number % DOMAINS == 1}
        fleet.down |= others
        fleet.run(MAX_SILENCE_MS + MS_PER_S)
        fleet.hear(0, kept, beat_of(kept))
        fleet.hear(0, leaving, beat_of(leaving, is_leaving=True))
        for _ in range(20):
            fleet.run(RELAYED_INTERVAL_MS // 10)
            relays = {
                item.peer_address
                for item in sender.collect_due_heartbeats(fleet.now_ms + RELAYED_INTERVAL_MS)
                if item.is_to_be_relayed
            }
            self.assertFalse(relays & {leaving.peer_address, silent.peer_address})

    def test_killed_vm_is_not_named_beyond_the_longest_silence(self) -> None:
        fleet = new_fleet(loss=LOSS)
        fleet.down.add(7)
        fleet.run(MAX_SILENCE_MS + RELAYED_INTERVAL_MS)
        for number in range(fleet.count):
            if number not in fleet.down:
                self.assertNotIn(str(member(7).vm_id), fleet.names(number))

    def test_others_stay_known_while_half_of_a_failure_domain_is_killed(self) -> None:
        fleet = new_fleet()
        fleet.down |= {number for number in range(fleet.count // 2) if number % DOMAINS == 0}
        running = fleet.count - len(fleet.down)
        for _ in range(10):
            fleet.run(MS_PER_S)
            self.assertGreaterEqual(min(fleet.known_counts()), 0.95 * running)

    def test_failure_domains_find_each_other_again_after_a_cut(self) -> None:
        fleet = new_fleet()
        fleet.connect_if(lambda source, target: (source % DOMAINS == 0) == (target % DOMAINS == 0))
        fleet.run(2 * MAX_SILENCE_MS)
        cut_size = len(range(0, fleet.count, DOMAINS))
        self.assertEqual(set(fleet.known_counts()), {cut_size, fleet.count - cut_size})
        fleet.connect_if(lambda source, target: True)
        fleet.run(4 * RELAYED_INTERVAL_MS)
        self.assertEqual(set(fleet.known_counts()), {fleet.count})

    def test_restarted_vm_is_named_and_finds_the_fleet(self) -> None:
        fleet = new_fleet()
        fleet.down.add(4)
        fleet.run(MAX_SILENCE_MS + RELAYED_INTERVAL_MS)
        fleet.down.clear()
        fleet.restart(4)
        fleet.run(4 * RELAYED_INTERVAL_MS)
        self.assertEqual(set(fleet.known_counts()), {fleet.count})

    def test_vms_of_a_build_that_does_not_relay_are_told_directly(self) -> None:
        fleet = LargeFleet(VMS, DOMAINS, seed=5)
        fleet.old_builds = set(range(0, VMS, 7))
        fleet.run(FOUND_MS)
        for _ in range(5):
            fleet.run(MS_PER_S)
            self.assertEqual(set(fleet.known_counts()), {VMS})

    def test_load_of_a_vm_in_another_failure_domain_is_known(self) -> None:
        fleet = new_fleet()
        tracked = fleet.registries[1].get(EndpointId("i-1"))
        assert tracked is not None
        tracked.own_load.requests = 3
        fleet.run(3 * RELAYED_INTERVAL_MS)
        for number in (0, 2, 8):
            other = fleet.registries[number].get(EndpointId("i-1"))
            assert other is not None
            self.assertEqual(other.total_load(fleet.now_ms).requests, 3)

    def test_older_heartbeat_that_is_relayed_changes_nothing(self) -> None:
        fleet = LargeFleet(4, 2, seed=1)
        fleet.run(CHECK_MS)
        fleet.connect_if(lambda source, target: False)
        leaving = replace(fleet.deciders[0].own_member, is_leaving=True, incarnation=2)
        fleet.hear(1, leaving, beat_of(leaving))
        for incarnation, age_ms in ((1, 0), (2, STEP_MS)):
            with self.subTest(incarnation=incarnation, age_ms=age_ms):
                older = replace(leaving, is_leaving=False, incarnation=incarnation)
                fleet.hear_relayed(1, 3, older, age_ms)
                self.assertNotIn(str(leaving.vm_id), fleet.names(1))
        fleet.run(STEP_MS)
        fleet.hear_relayed(1, 3, replace(leaving, is_leaving=False), 0)
        self.assertIn(str(leaving.vm_id), fleet.names(1))

    def test_heartbeat_is_passed_on_by_a_vm_that_knows_too_few_to_need_relays(self) -> None:
        fleet = LargeFleet(6, 2, seed=1)
        fleet.run(CHECK_MS)
        sender = replace(member(9), failure_domain_id=FailureDomainId("domain-0"))
        fleet.hear(1, sender, beat_of(sender, is_to_be_relayed=True))
        fleet.connect_if(lambda source, target: source % 2 == target % 2 == 1)
        fleet.run(MS_PER_S // 2)
        self.assertIn(str(sender.vm_id), fleet.names(3))

    def test_load_of_a_vm_that_is_gone_is_forgotten(self) -> None:
        fleet = LargeFleet(4, 1, seed=1)
        fleet.run(CHECK_MS)
        engine, own = (fleet.registries[number].get(EndpointId("i-1")) for number in (1, 0))
        assert engine is not None
        assert own is not None
        engine.own_load.requests = 3
        fleet.run(MS_PER_S)
        self.assertIn(member(1).vm_id, own.peer_loads)
        fleet.down.add(1)
        fleet.run(MAX_SILENCE_MS)
        self.assertEqual(own.peer_loads, {})


if __name__ == "__main__":
    unittest.main()
