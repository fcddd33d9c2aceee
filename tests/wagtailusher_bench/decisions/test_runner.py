"""Tests of the decision benchmark.

Results that depend on more than the seed, or don't distinguish policies, can't be compared.
"""

from __future__ import annotations

import unittest

from wagtailusher_bench.decisions import CaseResult, Timing, run_decisions
from wagtailusher_bench.decisions.calls import Burst, Ending, generate_calls
from wagtailusher_bench.decisions.mixes import MIXES, TREENINGKODA, ZIEMELU

SHORT = Timing(warm_up_ms=10_000, measured_ms=3_000, drain_ms=8_000)


def run_short(seed: int, **options: object) -> list[CaseResult]:
    """Return the results of cases with short durations."""
    return list(run_decisions(seed, timing=SHORT, **options))  # type: ignore[arg-type]


class RunnerTest(unittest.TestCase):
    """Short runs are repeatable and show the overload of a baseline."""

    def test_results_depend_only_on_the_seed(self) -> None:
        options = {"mixes": [ZIEMELU], "loads": [0.7], "faults": ["crash"]}
        policies = ["wagtailusher", "random"]
        first = [item.to_json() for item in run_short(3, policies=policies, **options)]
        again = [item.to_json() for item in run_short(3, policies=policies, **options)]
        other = [item.to_json() for item in run_short(4, policies=policies, **options)]
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)
        self.assertEqual(len(first), 4)

    def test_baseline_without_queue_collapses_under_overload(self) -> None:
        options = {"mixes": [TREENINGKODA], "policies": ["random"], "faults": []}
        calm, overload = run_short(1, loads=[0.5, 3.0], **options)
        self.assertGreater(calm.highest_tier_attainment, 0.99)
        self.assertLess(overload.attainment_by_class["advice"], 0.5)
        self.assertLess(overload.goodput, calm.goodput)

    def test_calls_are_repeatable_and_follow_the_burst(self) -> None:
        for mix in MIXES:
            traffic = mix.classes[-1]
            burst = Burst(class_id=traffic.class_id, factor=10.0, start_ms=5_000, end_ms=10_000)
            plain = list(generate_calls(mix, load=1.0, end_ms=15_000, seed="s"))
            self.assertEqual(plain, list(generate_calls(mix, load=1.0, end_ms=15_000, seed="s")))
            burst_calls = [
                call
                for call in generate_calls(mix, load=1.0, end_ms=15_000, seed="s", burst=burst)
                if call.traffic is traffic
            ]
            inside = sum(5_000 <= call.arrived_ms < 10_000 for call in burst_calls)
            self.assertGreater(inside, 5 * (len(burst_calls) - inside) / 2)
            self.assertTrue(all(call.ending is Ending.OPEN for call in plain))


if __name__ == "__main__":
    unittest.main()
