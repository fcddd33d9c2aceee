"""Tests of the fleet's measurements at small sizes.

Guards against regressions of the deciders that miss the targets under packet loss.
"""

from __future__ import annotations

from unittest import TestCase

from wagtailusher_bench.fleet.configuration import measure_spread
from wagtailusher_bench.fleet.cost import measure_cost
from wagtailusher_bench.fleet.membership import (
    measure_events,
    measure_false_alarms,
    measure_traffic,
)
from wagtailusher_bench.fleet.summaries import measure_addresses, measure_quota

_MAX_NODE_BYTES_PER_S = 17 * 1_024
_APPLY_TARGET_MS = 4_000


class TargetTest(TestCase):
    """User targets that small fleets have to meet too, under packet loss."""

    def test_membership(self) -> None:
        spreads = {s.event: s for s in measure_events(9, seed=1, loss=0.1)}
        self.assertTrue(all(s.all_ms is not None for s in spreads.values()))
        self.assertLess(spreads["leave"].all_ms or 0, 3_000)
        traffic = measure_traffic(9, seed=1, loss=0.1)
        self.assertLess(traffic.max_bytes_per_s, _MAX_NODE_BYTES_PER_S)
        alarms = measure_false_alarms(9, seed=1, loss=0.1, minutes=1)
        self.assertGreater(alarms.pauses, 3)
        self.assertEqual((alarms.deaths, alarms.believed_dead_at_end), (0, 0))

    def test_configuration(self) -> None:
        spread = measure_spread(50, seed=1, loss=0.1, changes=5)
        self.assertEqual(spread.missing, 0)
        self.assertLess(spread.max_ms, _APPLY_TARGET_MS)
        self.assertLessEqual(spread.max_service_calls_per_s, spread.service_calls_bound_per_s)

    def test_summaries(self) -> None:
        quota = measure_quota(9, seed=1, loss=0.1)
        self.assertLessEqual(quota.most_while_moving, 2 * quota.quota)
        self.assertLessEqual(quota.most_after, quota.quota)
        drawn, most_room = measure_addresses(9, seed=1)
        self.assertLess(drawn.most_filled, most_room.most_filled)

    def test_cost(self) -> None:
        (cost,) = measure_cost([9])
        self.assertEqual(cost["nodes"], 9)
