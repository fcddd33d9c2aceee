"""Tests of retry budgets, hedging and learned lengths.

Retries and hedges without a budget would multiply the load of an overloaded fleet.
"""

from __future__ import annotations

from random import Random
import unittest

from wagtailusher_core import ClassId, ClassKey, WorkspaceId
from wagtailusher_placement import HedgePolicy, LengthEstimator, RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Retry budget when every request fails."""

    def test_retries_stay_a_share_of_first_attempts(self) -> None:
        budget = RetryBudget(share=0.1, burst=5.0)
        retries = 0
        for _ in range(1_000):
            budget.record_first_attempt()
            retries += budget.try_spend()
        self.assertLessEqual(retries, 105)
        self.assertGreaterEqual(retries, 100)


class HedgePolicyTest(unittest.TestCase):
    """Hedges of slow first attempts."""

    def test_only_slow_repeatable_work_is_hedged_within_the_budget(self) -> None:
        random = Random(4)
        policy = HedgePolicy(share=0.02, quantile=0.95)
        self.assertIsNone(policy.hedge_after_ms(repeatable=True))
        hedges = 0
        for _ in range(3_000):
            policy.record_first_attempt()
            elapsed_ms = random.randrange(50, 150)
            policy.observe_first_token(elapsed_ms)
            after_ms = policy.hedge_after_ms(repeatable=True)
            if after_ms is not None and elapsed_ms > after_ms:
                self.assertFalse(policy.try_spend(repeatable=False, waited_ms=after_ms))
                self.assertFalse(policy.try_spend(repeatable=True, waited_ms=after_ms, hedges=1))
                hedges += policy.try_spend(repeatable=True, waited_ms=after_ms)
        self.assertLessEqual(hedges, 61)
        self.assertGreater(hedges, 20)
        after_ms = policy.hedge_after_ms(repeatable=True)
        assert after_ms is not None
        self.assertTrue(125 <= after_ms <= 160, after_ms)


class LengthEstimatorTest(unittest.TestCase):
    """Learned output lengths."""

    def test_a_workspace_estimate_starts_from_its_class_and_adapts(self) -> None:
        lengths = LengthEstimator()
        first = ClassKey(WorkspaceId("a"), ClassId("review"))
        second = ClassKey(WorkspaceId("b"), ClassId("review"))
        for _ in range(200):
            lengths.observe(first, 900)
        self.assertAlmostEqual(lengths.estimate(first), 900, delta=40)
        self.assertAlmostEqual(lengths.estimate(second), 900, delta=60)
        for _ in range(200):
            lengths.observe(second, 100)
        self.assertAlmostEqual(lengths.estimate(second), 100, delta=30)
        lengths.observe(second, 5, complete=False)
        self.assertGreater(lengths.estimate(second), 99)
