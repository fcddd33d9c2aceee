"""Tests of detecting endpoints that fail a part of their requests.

They guard against endpoints that pass their health checks and keep getting work that they fail.
"""

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
from wagtailusher_gateway.outcomes import Outcomes, expected_failure_rate, failure_penalties_ms
from wagtailusher_gateway.placement import Placement

FAILING = frozenset({EndpointId("i-1"), EndpointId("i-4"), EndpointId("i-7")})
FAILED_SHARE = 0.45
VM_COUNT = 6
HEARTBEAT_MS = 200
STEP_MS = 10
REQUESTS = 600


class OutcomesTest(unittest.TestCase):
    """Failure rates and cost penalties from recent outcomes."""

    def test_old_outcomes_decay(self) -> None:
        outcomes = Outcomes()
        outcomes.add(0, failed=True)
        self.assertEqual(outcomes.recent(0), (0.0, 1.0))
        self.assertLess(outcomes.recent(20_000)[1], 0.01)

    def test_one_failure_has_little_weight(self) -> None:
        self.assertLess(expected_failure_rate(0, 1), 0.25)
        self.assertGreater(expected_failure_rate(20, 20), 0.4)

    def test_failures_that_all_endpoints_share_have_no_penalty(self) -> None:
        self.assertEqual(failure_penalties_ms([0.4, 0.45, 0.5]), [0.0, 0.0, 0.0])
        self.assertEqual(failure_penalties_ms([]), [])

    def test_only_failure_rates_well_above_the_median_have_a_penalty(self) -> None:
        costs = failure_penalties_ms([0.0, 0.05, 0.4])
        self.assertEqual(costs[:2], [0.0, 0.0])
        self.assertGreater(costs[2], 300.0)


class SharedOutcomesTest(unittest.TestCase):
    """Outcomes that VMs report to each other."""

    def new_registry(self) -> EndpointRegistry:
        """Return a registry of two endpoints."""
        registry = EndpointRegistry()
        registry.update(view(endpoint(1), endpoint(2)), 0)
        return registry

    def test_failures_at_an_idle_endpoint_are_reported(self) -> None:
        registry = self.new_registry()
        registry.record_request_failure(EndpointId("i-2"), 0)
        ((endpoint_id, load),) = registry.own_loads(0)
        self.assertEqual((endpoint_id, load.requests, load.failures), ("i-2", 0, 1.0))
        self.assertEqual(registry.own_loads(20_000), [])

    def test_outcomes_reported_by_a_peer_count(self) -> None:
        registry = self.new_registry()
        reported = Load(answers=2.0, failures=6.0)
        registry.set_peer_loads(VmId("vm-2"), [(EndpointId("i-1"), reported)], 0)
        tracked = registry.get(EndpointId("i-1"))
        assert tracked is not None
        self.assertEqual(
            (tracked.total_load(0).answers, tracked.total_load(0).failures), (2.0, 6.0)
        )

    def test_restart_clears_an_endpoint(self) -> None:
        registry = self.new_registry()
        registry.record_request_failure(EndpointId("i-1"), 0)
        registry.update(view(endpoint(1, born_ms=2), endpoint(2)), 1)
        self.assertEqual(registry.own_loads(1), [])


class PartialFailureTest(unittest.TestCase):
    """Three of nine engines fail nearly half of their requests but pass their health checks."""

    def run_requests(self, seed: int) -> Counter[bool]:
        """Return how many of the last two thirds of requests went to failing engines or others."""
        rng = random.Random(seed)
        current = view(*(endpoint(number) for number in range(9)))
        vms = {
            vm_id: new_placement(current, number, vm_id)
            for number, vm_id in enumerate(VM_IDS[:VM_COUNT])
        }
        counts: Counter[bool] = Counter()
        for number in range(REQUESTS):
            now_ms = number * STEP_MS
            if now_ms % HEARTBEAT_MS == 0:
                exchange_loads(vms, now_ms)
            placement = rng.choice(list(vms.values()))
            reservation = placement.try_reserve(
                ENGINES, terms(number, shared=200, own=600), current, VM_IDS, now_ms, rank=0
            )
            if reservation is None:
                continue
            endpoint_id = reservation.endpoint.endpoint_id
            if endpoint_id in FAILING and rng.random() < FAILED_SHARE:
                placement.registry.record_request_failure(endpoint_id, now_ms)
            else:
                placement.registry.record_request_success(endpoint_id, now_ms)
            placement.release(reservation, is_prefill_done=False)
            if number >= REQUESTS // 3:
                counts[endpoint_id in FAILING] += 1
        return counts

    def test_failing_engines_get_few_requests_once_detected(self) -> None:
        """Without detection they get a third of the requests and fail 15 in 100."""
        for seed in range(3):
            with self.subTest(seed=seed):
                counts = self.run_requests(seed)
                self.assertLess(counts[True] / counts.total(), 0.15)

    def test_all_endpoints_stay_in_use_when_the_whole_service_fails(self) -> None:
        current = view(*(endpoint(number, "desk") for number in range(4)))
        placement = new_placement(current)
        rng = random.Random(1)
        counts: Counter[EndpointId] = Counter()
        for number in range(400):
            now_ms = number * STEP_MS
            reservation = placement.try_reserve(
                DESK, terms(number), current, VM_IDS, now_ms, rank=0
            )
            assert reservation is not None
            endpoint_id = reservation.endpoint.endpoint_id
            counts[endpoint_id] += 1
            if rng.random() < FAILED_SHARE:
                placement.registry.record_request_failure(endpoint_id, now_ms)
            else:
                placement.registry.record_request_success(endpoint_id, now_ms)
            placement.release(reservation, is_prefill_done=False)
        self.assertEqual(len(counts), 4)
        self.assertGreater(min(counts.values()), 400 / 4 / 3)


def exchange_loads(vms: dict[VmId, Placement], now_ms: int) -> None:
    """Deliver each VM's loads to all others."""
    for vm_id, placement in vms.items():
        reported = placement.registry.own_loads(now_ms)
        for other_id, other in vms.items():
            if other_id != vm_id:
                other.registry.set_peer_loads(vm_id, reported, now_ms)


if __name__ == "__main__":
    unittest.main()
