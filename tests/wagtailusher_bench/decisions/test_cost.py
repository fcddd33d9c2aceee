"""Tests of the decision cost benchmark.

A loop that drains its queue, or a cost not taken from the clock, would give meaningless figures.
"""

from __future__ import annotations

from itertools import count
import unittest

from wagtailusher_bench.decisions.cost import DecisionLoop, measure_series


class CostTest(unittest.TestCase):
    """The loop keeps a steady state, and costs are computed from the clock."""

    def test_loop_keeps_queue_length_and_requests_in_service(self) -> None:
        loop = DecisionLoop(endpoints=16, workspaces=20, queued=30)
        requests = loop.prepare(400)
        loop.decide(requests)
        self.assertEqual(loop.queued, 30)
        self.assertEqual(loop.in_service, 256)

    def test_cost_is_time_over_decisions(self) -> None:
        loops = [DecisionLoop(endpoints=16, workspaces=5, queued=size) for size in (5, 50)]
        ticks = count(0, 500_000)
        costs = measure_series(loops, decisions=100, clock_ns=lambda: next(ticks))
        self.assertEqual([cost.queued for cost in costs], [5, 50])
        for cost in costs:
            self.assertEqual((cost.median_us, cost.least_us), (10.0, 10.0))


if __name__ == "__main__":
    unittest.main()
