"""Tests of how endpoints that fail part of their work are found and spared."""

from __future__ import annotations

from collections import Counter
import random
import unittest

from tests.wagtailusher_gateway.builders import (
    DESK,
    ENGINES,
    VM_IDS,
    endpoint,
    new_placement,
    terms,
    view,
)
from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.endpoint_registry import EndpointRegistry, Load
from wagtailusher_gateway.outcomes import Outcomes, failing_costs_ms, failing_share
from wagtailusher_gateway.placement import Placement

GREY = frozenset({EndpointId("i-1"), EndpointId("i-4"), EndpointId("i-7")})
FAILED_SHARE = 0.45
VM_COUNT = 6
BEAT_MS = 200
STEP_MS = 10
REQUESTS = 600


class OutcomesTest(unittest.TestCase):
    """What recent answers say of an endpoint."""

    def test_old_outcomes_fade(self) -> None:
        outcomes = Outcomes()
        outcomes.add(0, failed=True)
        self.assertEqual(outcomes.recent(0), (0.0, 1.0))
        self.assertLess(outcomes.recent(20_000)[1], 0.01)

    def test_one_failure_says_little(self) -> None:
        self.assertLess(failing_share(0, 1), 0.25)
        self.assertGreater(failing_share(20, 20), 0.4)

    def test_what_all_fail_alike_costs_nothing(self) -> None:
        self.assertEqual(failing_costs_ms([0.4, 0.45, 0.5]), [0.0, 0.0, 0.0])
        self.assertEqual(failing_costs_ms([]), [])

    def test_only_those_beyond_the_usual_share_are_handicapped(self) -> None:
        costs = failing_costs_ms([0.0, 0.05, 0.4])
        self.assertEqual(costs[:2], [0.0, 0.0])
        self.assertGreater(costs[2], 300.0)


class SharedOutcomesTest(unittest.TestCase):
    """What VMs tell each other of failing endpoints."""

    def book(self) -> EndpointRegistry:
        """Return a book of two endpoints."""
        book = EndpointRegistry()
        book.update(view(endpoint(1), endpoint(2)), 0)
        return book

    def test_failures_at_an_idle_endpoint_are_told(self) -> None:
        book = self.book()
        book.note_failure(EndpointId("i-2"), 0)
        ((endpoint_id, load),) = book.own_loads(0)
        self.assertEqual((endpoint_id, load.requests, load.failures), ("i-2", 0, 1.0))
        self.assertEqual(book.own_loads(20_000), [])

    def test_what_a_peer_saw_counts(self) -> None:
        book = self.book()
        told = Load(answers=2.0, failures=6.0)
        book.take_loads(VmId("vm-2"), [(EndpointId("i-1"), told)], 0)
        tracked = book.get(EndpointId("i-1"))
        assert tracked is not None
        self.assertEqual(
            (tracked.total_load(0).answers, tracked.total_load(0).failures), (2.0, 6.0)
        )

    def test_restart_clears_an_endpoint(self) -> None:
        book = self.book()
        book.note_failure(EndpointId("i-1"), 0)
        book.update(view(endpoint(1, born_ms=2), endpoint(2)), 1)
        self.assertEqual(book.own_loads(1), [])


class GreyLoadTest(unittest.TestCase):
    """Three of nine engines fail nearly half of their work while their health check is good."""

    def play(self, seed: int) -> Counter[bool]:
        """Return how many requests of the last two thirds went to sound and to failing engines."""
        chance = random.Random(seed)
        current = view(*(endpoint(number) for number in range(9)))
        vms = {VmId(f"vm-{number}"): new_placement(current, number) for number in range(VM_COUNT)}
        found: Counter[bool] = Counter()
        for number in range(REQUESTS):
            now_ms = number * STEP_MS
            if now_ms % BEAT_MS == 0:
                exchange_beats(vms, now_ms)
            placement = chance.choice(list(vms.values()))
            placed = placement.take(
                ENGINES, terms(number, shared=200, own=600), current, VM_IDS, now_ms
            )
            if placed is None:
                continue
            endpoint_id = placed.endpoint.endpoint_id
            if endpoint_id in GREY and chance.random() < FAILED_SHARE:
                placement.registry.note_failure(endpoint_id, now_ms)
            else:
                placement.registry.note_success(endpoint_id, now_ms)
            placement.release(placed, began=False)
            if number >= REQUESTS // 3:
                found[endpoint_id in GREY] += 1
        return found

    def test_failing_engines_get_little_once_they_are_found(self) -> None:
        """Without that they get a third of the requests and fail 15 in 100."""
        for seed in range(3):
            with self.subTest(seed=seed):
                found = self.play(seed)
                self.assertLess(found[True] / found.total(), 0.15)

    def test_a_service_that_fails_as_a_whole_keeps_all_its_endpoints(self) -> None:
        current = view(*(endpoint(number, "desk") for number in range(4)))
        placement = new_placement(current)
        chance = random.Random(1)
        found: Counter[EndpointId] = Counter()
        for number in range(400):
            now_ms = number * STEP_MS
            placed = placement.take(DESK, terms(number), current, VM_IDS, now_ms)
            assert placed is not None
            endpoint_id = placed.endpoint.endpoint_id
            found[endpoint_id] += 1
            if chance.random() < FAILED_SHARE:
                placement.registry.note_failure(endpoint_id, now_ms)
            else:
                placement.registry.note_success(endpoint_id, now_ms)
            placement.release(placed, began=False)
        self.assertEqual(len(found), 4)
        self.assertGreater(min(found.values()), 400 / 4 / 3)


def exchange_beats(vms: dict[VmId, Placement], now_ms: int) -> None:
    """Let each VM hear what the others have to tell."""
    for vm_id, placement in vms.items():
        told = placement.registry.own_loads(now_ms)
        for other_id, other in vms.items():
            if other_id != vm_id:
                other.registry.take_loads(vm_id, told, now_ms)


if __name__ == "__main__":
    unittest.main()
