"""Tests of fleet-wide limits while VMs are partitioned, paused or just starting.

Each VM divides a limit by the VMs that it knows, so the sum over all VMs stays within the limit as
long as no VM counts fewer than there are. A silent peer counts until it announces its leave.
"""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import configuration, member
from tests.wagtailusher_gateway.test_fleet import Fleet
from wagtailusher_core import EndpointId
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.cold_start_limiter import ColdStartLimiter
from wagtailusher_gateway.const import PEER_RETENTION_MS
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
PARTITION_MS = PEER_RETENTION_MS - 10_000
"""A partition longer than any in the deployments' requirements, and shorter than the retention."""


def half(count: int) -> frozenset[str]:
    """Return the addresses of every second VM."""
    return frozenset(member(number).peer_address for number in range(0, count, 2))


class GreedyFleet:
    """A fleet whose VMs send to one cold endpoint and retry as often as they may."""

    def __init__(self, count: int, seed: int, settled_ms: int = SETTLED_MS) -> None:
        self.fleet = Fleet(count, seed, loss=0.03)
        self.fleet.run(settled_ms)
        self._random = Random(seed)
        self._limiters = {
            address: ColdStartLimiter(
                decider.own_member.vm_id,
                overage=OVERAGE,
                slack=SLACK,
                is_fleet_settled=decider.is_settled,
            )
            for address, decider in self.fleet.deciders.items()
        }
        self._budgets = {
            address: RetryBudget(
                ratio=RATIO,
                slack=RETRY_SLACK,
                window_ms=WINDOW_MS,
                may_use_slack=decider.is_settled,
            )
            for address, decider in self.fleet.deciders.items()
        }
        self.paused: set[str] = set()
        self.sent_ms: list[int] = []
        self.requests_ms: list[int] = []
        self.repeats_ms: list[int] = []

    def run(self, duration_ms: int) -> None:
        """Advance the time; paused VMs neither receive nor send."""
        for _ in range(duration_ms // STEP_MS):
            self.fleet.down = set(self.paused)
            self.fleet.run(STEP_MS)
            for address, decider in self.fleet.deciders.items():
                if address not in self.paused:
                    self._act(address, len(decider.all_vm_ids()))

    def _act(self, address: str, known: int) -> None:
        """Let one VM send and retry as often as it may."""
        now_ms = self.fleet.now_ms
        limiter, budget = self._limiters[address], self._budgets[address]
        vm_ids = self.fleet.deciders[address].all_vm_ids()
        while limiter.may_send(COLD, PER_S, vm_ids, now_ms):
            limiter.record_sent(COLD, now_ms)
            self.sent_ms.append(now_ms)
        if self._random.random() < 0.5:
            budget.record_request("desk", now_ms)
            self.requests_ms.append(now_ms)
        while budget.try_spend("desk", known, now_ms):
            self.repeats_ms.append(now_ms)

    def busiest_second(self) -> int:
        """Return the most requests that the cold endpoint got in a second."""
        return max(_counts(self.sent_ms, 1_000))

    def most_beyond_budget(self) -> float:
        """Return by how much retries exceed the budget in any window; at most 0 if within it."""
        return max(
            sum(start_ms <= at < start_ms + WINDOW_MS for at in self.repeats_ms)
            - RATIO * sum(start_ms <= at < start_ms + WINDOW_MS for at in self.requests_ms)
            - RETRY_SLACK
            for start_ms in range(SETTLED_MS, self.fleet.now_ms - WINDOW_MS + 1, 500)
        )


def _counts(times_ms: list[int], window_ms: int) -> Iterator[int]:
    """Yield the number of times in the window that begins at each of them."""
    for start_ms in times_ms:
        yield sum(start_ms <= at < start_ms + window_ms for at in times_ms)


class FleetWideRulesTest(unittest.TestCase):
    """Requests to cold endpoints and retries, summed over all VMs."""

    def test_bounds_hold_while_the_fleet_is_partitioned(self) -> None:
        for count in (6, 9):
            with self.subTest(count=count):
                greedy = GreedyFleet(count, seed=count)
                greedy.fleet.partitioned = half(count)
                greedy.run(PARTITION_MS)
                greedy.fleet.partitioned = frozenset()
                greedy.run(SETTLED_MS)
                self.assertLessEqual(greedy.busiest_second(), LIMIT)
                self.assertLessEqual(greedy.most_beyond_budget(), 0)

    def test_bounds_hold_in_a_cut_that_outlasts_the_memory_of_peers(self) -> None:
        greedy = GreedyFleet(9, seed=9)
        greedy.fleet.partitioned = half(9)
        greedy.run(PEER_RETENTION_MS + 15_000)
        self.assertLessEqual(greedy.busiest_second(), LIMIT)

    def test_bounds_hold_when_all_vms_start_at_once(self) -> None:
        """Each VM knows only itself at first, so it would use the whole limit as its share."""
        for count in (1, 6, 9, 30, 68):
            with self.subTest(count=count):
                greedy = GreedyFleet(count, seed=count, settled_ms=0)
                greedy.run(WINDOW_MS + SETTLED_MS)
                self.assertLessEqual(greedy.busiest_second(), LIMIT)
                self.assertLessEqual(greedy.most_beyond_budget(), 0)
                self.assertGreater(greedy.busiest_second(), LIMIT / 3)

    def test_bounds_hold_when_paused_vms_resume_together(self) -> None:
        greedy = GreedyFleet(9, seed=4)
        for _ in range(3):
            greedy.paused = set(half(9))
            greedy.run(4_000)
            greedy.paused = set()
            greedy.run(2_000)
        self.assertLessEqual(greedy.busiest_second(), LIMIT)
        self.assertLessEqual(greedy.most_beyond_budget(), 0)

    def test_bounds_hold_when_a_vm_resumes_after_the_retention_of_its_peers(self) -> None:
        greedy = GreedyFleet(9, seed=4)
        greedy.paused = {member(8).peer_address}
        greedy.run(PEER_RETENTION_MS + 2_000)
        greedy.paused = set()
        greedy.run(SETTLED_MS)
        self.assertLessEqual(greedy.busiest_second(), LIMIT)
        self.assertLessEqual(greedy.most_beyond_budget(), 0)

    def test_bounds_hold_in_a_fleet_that_is_larger_than_the_limit(self) -> None:
        greedy = GreedyFleet(40, seed=2)
        greedy.fleet.partitioned = half(40)
        greedy.run(4_000)
        self.assertLessEqual(greedy.busiest_second(), LIMIT)


class VersionTest(unittest.TestCase):
    """A configuration is never replaced by an older version, whatever its source."""

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
