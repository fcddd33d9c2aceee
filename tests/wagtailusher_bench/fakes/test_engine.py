"""Tests of the fake engine's work, batching, cold start and crashes.

An engine that loses or invents work, or ends a job twice, would falsify simulated results.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_bench.fakes import EngineTraits, FakeEngine, Job, JobEnd, VirtualClock

TRAITS = EngineTraits(
    concurrency_limit=4,
    batch_limit=4,
    knee=4.0,
    prefill_ms_per_token=0.1,
    token_ms=10.0,
    cache_blocks=16,
    cold_limit=1,
    collapse_limit=2,
)


class EngineTest(unittest.TestCase):
    """Work is conserved, slows down with load, and is wasted by a crash."""

    def setUp(self) -> None:
        """Create an engine and the records of how its jobs end."""
        self.clock = VirtualClock()
        self.engine = FakeEngine("e", TRAITS, self.clock)
        self.ends: dict[str, tuple[JobEnd, float]] = {}
        self.tokens: dict[str, int] = {}

    def submit(self, name: str, *, tokens: int, prompt: int = 0, blocks: int = 0) -> None:
        """Submit a job at the present time."""

        def end(how: JobEnd) -> None:
            self.assertNotIn(name, self.ends)
            self.ends[name] = (how, self.clock.time_ms)

        def progress(count: int) -> None:
            self.tokens[name] = self.tokens.get(name, 0) + count

        job = Job(
            job_id=name,
            sent_ms=self.clock.time_ms,
            on_progress=progress,
            on_end=end,
            prompt_tokens=prompt,
            output_tokens=tokens,
            prefix_hashes=tuple(range(blocks)),
        )
        self.engine.submit(job)

    @given(sizes=st.lists(st.integers(1, 80), min_size=1, max_size=12))
    def test_useful_work_is_the_work_of_the_jobs(self, sizes: list[int]) -> None:
        self.setUp()
        for number, tokens in enumerate(sizes):
            self.clock.run_until(number * 37.0)
            self.submit(f"j{number}", tokens=tokens, prompt=100)
        self.clock.run_until(1e6)
        self.assertEqual({how for how, _ in self.ends.values()}, {JobEnd.COMPLETED})
        self.assertEqual([self.tokens[f"j{n}"] for n in range(len(sizes))], sizes)
        expected_ms = sum(10.0 + 10.0 * tokens for tokens in sizes)
        self.assertAlmostEqual(self.engine.useful_work_ms, expected_ms, places=3)
        longest_ms = max(at_ms for _, at_ms in self.ends.values())
        self.assertGreaterEqual(longest_ms * TRAITS.capacity, expected_ms * 0.999)

    def test_cached_prefix_saves_its_prefill(self) -> None:
        self.submit("first", tokens=1, prompt=1_000, blocks=8)
        self.clock.run_until(1_000)
        self.submit("second", tokens=1, prompt=1_000, blocks=8)
        self.clock.run_until(2_000)
        first_ms = self.ends["first"][1]
        self.assertLess(self.ends["second"][1] - 1_000, first_ms / 5)

    def test_crash_ends_every_job_once_and_engine_restarts_cold(self) -> None:
        for number in range(6):
            self.submit(f"j{number}", tokens=50)
        self.clock.run_until(100)
        self.engine.crash()
        self.assertEqual({how for how, _ in self.ends.values()}, {JobEnd.CRASHED})
        self.assertGreater(self.engine.wasted_work_ms, 0)
        self.submit("refused", tokens=1)
        self.assertIs(self.ends["refused"][0], JobEnd.REFUSED)
        self.clock.run_until(100 + TRAITS.restart_ms)
        self.assertTrue(self.engine.is_up and self.engine.is_cold)

    def test_cold_engine_crashes_under_overload_but_warms_up_under_light_load(self) -> None:
        self.engine.begin_cold_start(reports_cold=True)
        for number in range(12):
            self.clock.run_until(1_000.0 * (number + 1))
            self.submit(f"j{number}", tokens=2)
        self.assertFalse(self.engine.is_cold)
        self.assertEqual((self.engine.cold_excess, self.engine.crash_count), (0, 0))
        self.clock.run_until(20_000)
        self.engine.begin_cold_start(reports_cold=False)
        for number in range(3):
            self.submit(f"more{number}", tokens=2)
        self.assertEqual(self.engine.crash_count, 1)
        self.assertEqual(self.engine.cold_excess, 2)


if __name__ == "__main__":
    unittest.main()
