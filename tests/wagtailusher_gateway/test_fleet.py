"""Tests of a fleet that is found by seeds and beats alone, in virtual time."""

from __future__ import annotations

from dataclasses import replace
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import member
from wagtailusher_core import FailureDomainId, VmId
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_wire import Beat

STEP_MS = 50


class Fleet:
    """Deciders that exchange beats, some of which are lost."""

    def __init__(self, count: int, seed: int, loss: float = 0.0, domains: int = 1) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.now_ms = 0
        self.down: set[str] = set()
        self.cut: frozenset[str] = frozenset()
        """VMs that hear each other and nobody else."""
        self.deciders: dict[str, FleetDecider] = {}
        seeds = tuple(member(number).peer_address for number in range(min(3, count)))
        for number in range(count):
            domain_id = FailureDomainId(f"domain-{number % domains}")
            own = replace(member(number), failure_domain_id=domain_id)
            self.deciders[own.peer_address] = FleetDecider(own, seeds, 0, seed + number)

    def run(self, duration_ms: int) -> None:
        """Let time pass."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for source, decider in self.deciders.items():
                if source in self.down:
                    continue
                for address, with_peers in decider.due(self.now_ms):
                    self._deliver(source, decider, address, with_peers)

    def _deliver(self, source: str, sender: FleetDecider, address: str, with_peers: bool) -> None:
        """Carry one beat."""
        if address in self.down or self.random.random() < self.loss:
            return
        if (source in self.cut) != (address in self.cut):
            return
        own = sender.own
        beat = Beat(
            address=own.address,
            view_address=own.view_address,
            failure_domain_id=own.failure_domain_id,
            weight=own.weight,
            is_leaving=own.is_leaving,
            is_ready=own.is_ready,
            view_revision=1,
            view_age_ms=0,
            peers=sender.rumours() if with_peers else (),
        )
        receiver = self.deciders[address]
        receiver.receive(own.vm_id, own.incarnation, beat, source, self.now_ms)


class FleetTest(unittest.TestCase):
    """Every VM finds all others, and names none that is gone."""

    def test_all_find_all(self) -> None:
        """From three seeds, 9 and 68 VMs know each other within two and six seconds."""
        for count, bound_ms in ((9, 2_000), (68, 6_000)):
            fleet = Fleet(count, seed=count, loss=0.03)
            fleet.run(bound_ms)
            sizes = {len(decider.callable_members(bound_ms)) for decider in fleet.deciders.values()}
            self.assertEqual(sizes, {count})

    def test_killed_vm_is_named_no_more(self) -> None:
        """A VM that falls silent is left out within its missed beats."""
        fleet = Fleet(9, seed=3, loss=0.05)
        fleet.run(3_000)
        gone = member(4)
        fleet.down.add(gone.peer_address)
        fleet.run(2_000)
        for address, decider in fleet.deciders.items():
            if address not in fleet.down:
                named = {item.vm_id for item in decider.callable_members(fleet.now_ms)}
                self.assertNotIn(gone.vm_id, named)
                self.assertGreaterEqual(len(named), 7)

    def test_silent_vm_still_counts_for_shares(self) -> None:
        """A VM that may live behind a partition keeps its share of what all may send."""
        fleet = Fleet(9, seed=3)
        fleet.run(2_000)
        fleet.down.add(member(4).peer_address)
        fleet.run(5_000)
        decider = fleet.deciders[member(0).peer_address]
        self.assertEqual(len(decider.all_vm_ids()), 9)

    def test_leaving_vm_is_named_no_more(self) -> None:
        """A VM that says that it leaves is left out at its next beat."""
        fleet = Fleet(3, seed=1)
        fleet.run(1_000)
        fleet.deciders[member(1).peer_address].set_own(is_ready=False, is_leaving=True)
        fleet.run(300)
        others = fleet.deciders[member(0).peer_address].callable_members(fleet.now_ms)
        self.assertEqual({item.vm_id for item in others}, {VmId("vm-0"), VmId("vm-2")})

    def test_beats_stay_bounded_in_a_large_fleet(self) -> None:
        """A VM of 68 sends at most twice the beats that one of 10 does."""
        sent = {}
        for count in (10, 68):
            fleet = Fleet(count, seed=1)
            fleet.run(4_000)
            decider = fleet.deciders[member(0).peer_address]
            before_ms = fleet.now_ms
            total = 0
            while fleet.now_ms < before_ms + 4_000:
                total += len(decider.due(fleet.now_ms))
                fleet.run(STEP_MS)
            sent[count] = total
        self.assertLessEqual(sent[68], 2 * sent[10])

    def test_news_of_long_prompts_stay_near_in_a_large_fleet(self) -> None:
        """In a small fleet all hear of a long prompt, in a large one the own failure domain."""
        small = Fleet(9, seed=1)
        small.run(2_000)
        decider = small.deciders[member(0).peer_address]
        self.assertEqual(len(decider.hastened(small.now_ms)), 8)
        large = Fleet(30, seed=1, domains=3)
        large.run(4_000)
        decider = large.deciders[member(0).peer_address]
        self.assertEqual(len(decider.hastened(large.now_ms)), 9)

    def test_older_incarnation_is_not_believed(self) -> None:
        """A late datagram of a process that was replaced changes nothing."""
        fleet = Fleet(2, seed=1)
        fleet.run(1_000)
        decider = fleet.deciders[member(0).peer_address]
        beat = Beat(
            address="old:1",
            view_address="old:2",
            failure_domain_id=FailureDomainId("a"),
            weight=1,
            is_leaving=True,
            is_ready=False,
            view_revision=0,
            view_age_ms=0,
        )
        decider.receive(VmId("vm-1"), 0, beat, member(1).peer_address, fleet.now_ms)
        self.assertEqual(len(decider.callable_members(fleet.now_ms)), 2)


if __name__ == "__main__":
    unittest.main()
