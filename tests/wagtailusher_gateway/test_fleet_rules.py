"""Tests of the rules that all VMs keep together, while their views are stale, cut or paused.

Each VM takes its part of a bound from the VMs that it knows, so the sum over all VMs holds as long
as nobody knows fewer than there are. A VM that falls silent is known for `FORGET_PEER_MS` more.
"""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import configuration, member
from tests.wagtailusher_gateway.test_fleet import Fleet
from wagtailusher_core import EndpointId
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.cold import ColdShares
from wagtailusher_gateway.const import FORGET_PEER_MS
from wagtailusher_gateway.view_cache import ViewCache

COLD = EndpointId("i-cold")
PER_S = 16.0
OVERAGE = 1.5
SLACK = 5.0
LIMIT = PER_S * OVERAGE + SLACK

RATIO = 0.2
RETRY_SLACK = 58.0
WINDOW_MS = 10_000

STEP_MS = 50
SETTLED_MS = 3_000
CUT_MS = FORGET_PEER_MS - 10_000
"""A cut that is longer than any that the deployments name, and shorter than peers are known."""


def half(count: int) -> frozenset[str]:
    """Return the addresses of every second VM."""
    return frozenset(member(number).peer_address for number in range(0, count, 2))


class Eager:
    """A fleet whose VMs send to one cold endpoint as often as they may, and repeat all they may."""

    def __init__(self, count: int, seed: int, settled_ms: int = SETTLED_MS) -> None:
        self.fleet = Fleet(count, seed, loss=0.03)
        self.fleet.run(settled_ms)
        self._random = Random(seed)
        self._shares = {
            address: ColdShares(
                decider.own.vm_id,
                overage=OVERAGE,
                slack=SLACK,
                knows_fleet=decider.is_settled,
            )
            for address, decider in self.fleet.deciders.items()
        }
        self._budgets = {
            address: RetryBudget(
                ratio=RATIO,
                slack=RETRY_SLACK,
                window_ms=WINDOW_MS,
                knows_fleet=decider.is_settled,
            )
            for address, decider in self.fleet.deciders.items()
        }
        self.paused: set[str] = set()
        self.sent_ms: list[int] = []
        self.requests_ms: list[int] = []
        self.repeats_ms: list[int] = []

    def run(self, duration_ms: int) -> None:
        """Let time pass; paused VMs neither hear nor send."""
        for _ in range(duration_ms // STEP_MS):
            self.fleet.down = set(self.paused)
            self.fleet.run(STEP_MS)
            for address, decider in self.fleet.deciders.items():
                if address not in self.paused:
                    self._act(address, len(decider.all_vm_ids()))

    def _act(self, address: str, known: int) -> None:
        """Let one VM send all that it may."""
        now_ms = self.fleet.now_ms
        share, budget = self._shares[address], self._budgets[address]
        vm_ids = self.fleet.deciders[address].all_vm_ids()
        while share.may_send(COLD, PER_S, vm_ids, now_ms):
            share.note_sent(COLD, now_ms)
            self.sent_ms.append(now_ms)
        if self._random.random() < 0.5:
            budget.note_request("desk", now_ms)
            self.requests_ms.append(now_ms)
        while budget.take("desk", known, now_ms):
            self.repeats_ms.append(now_ms)

    def busiest_second(self) -> int:
        """Return the most requests that the cold endpoint got in a second."""
        return max(_counts(self.sent_ms, 1_000))

    def most_beyond_budget(self) -> float:
        """Return the most repeats beyond the budget in any window; 0 or less keeps it."""
        return max(
            sum(start_ms <= at < start_ms + WINDOW_MS for at in self.repeats_ms)
            - RATIO * sum(start_ms <= at < start_ms + WINDOW_MS for at in self.requests_ms)
            - RETRY_SLACK
            for start_ms in range(SETTLED_MS, self.fleet.now_ms - WINDOW_MS + 1, 500)
        )


def _counts(times_ms: list[int], window_ms: int) -> Iterator[int]:
    """Yield how many times fall into the window that begins with each."""
    for start_ms in times_ms:
        yield sum(start_ms <= at < start_ms + window_ms for at in times_ms)


class FleetWideRulesTest(unittest.TestCase):
    """Cold endpoints and the retry budget, summed over all VMs."""

    def test_bounds_hold_while_the_fleet_is_cut_in_two(self) -> None:
        for count in (6, 9):
            with self.subTest(count=count):
                eager = Eager(count, seed=count)
                eager.fleet.cut = half(count)
                eager.run(CUT_MS)
                eager.fleet.cut = frozenset()
                eager.run(SETTLED_MS)
                self.assertLessEqual(eager.busiest_second(), LIMIT)
                self.assertLessEqual(eager.most_beyond_budget(), 0)

    def test_bounds_hold_in_a_cut_that_outlasts_the_memory_of_peers(self) -> None:
        eager = Eager(9, seed=9)
        eager.fleet.cut = half(9)
        eager.run(FORGET_PEER_MS + 15_000)
        self.assertLessEqual(eager.busiest_second(), LIMIT)

    def test_bounds_hold_when_all_vms_start_at_once(self) -> None:
        """Each knows only itself at first, and would take the whole for its part."""
        for count in (1, 6, 9, 30, 68):
            with self.subTest(count=count):
                eager = Eager(count, seed=count, settled_ms=0)
                eager.run(WINDOW_MS + SETTLED_MS)
                self.assertLessEqual(eager.busiest_second(), LIMIT)
                self.assertLessEqual(eager.most_beyond_budget(), 0)
                self.assertGreater(eager.busiest_second(), LIMIT / 3)

    def test_bounds_hold_when_paused_vms_wake_together(self) -> None:
        eager = Eager(9, seed=4)
        for _ in range(3):
            eager.paused = set(half(9))
            eager.run(4_000)
            eager.paused = set()
            eager.run(2_000)
        self.assertLessEqual(eager.busiest_second(), LIMIT)
        self.assertLessEqual(eager.most_beyond_budget(), 0)

    def test_bounds_hold_when_a_vm_wakes_that_has_forgotten_its_peers(self) -> None:
        eager = Eager(9, seed=4)
        eager.paused = {member(8).peer_address}
        eager.run(FORGET_PEER_MS + 2_000)
        eager.paused = set()
        eager.run(SETTLED_MS)
        self.assertLessEqual(eager.busiest_second(), LIMIT)
        self.assertLessEqual(eager.most_beyond_budget(), 0)

    def test_bounds_hold_in_a_fleet_that_is_larger_than_the_limit(self) -> None:
        eager = Eager(40, seed=2)
        eager.fleet.cut = half(40)
        eager.run(4_000)
        self.assertLessEqual(eager.busiest_second(), LIMIT)


class VersionTest(unittest.TestCase):
    """The configuration of one process never goes back, from whatever source it comes."""

    def test_random_sources_and_orders(self) -> None:
        for seed in range(20):
            random = Random(seed)
            view_cache = ViewCache(lambda view, changed, now_ms: None)
            newest = 0
            for now_ms in range(50):
                version = random.randint(1, 30)
                source = random.choice(("store", "peer vm-2", "peer vm-3"))
                view_cache.set_configuration(configuration(version), source, now_ms)
                newest = max(newest, version)
                current = view_cache.view.configuration
                assert current is not None
                self.assertEqual(current.version, newest)


if __name__ == "__main__":
    unittest.main()
