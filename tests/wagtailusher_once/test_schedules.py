"""Tests of at-most-once execution over random schedules of faults.

Guards against requests that run twice or get a wrong outcome after kills, pauses, partitions and
clock jumps; injected faults check that the schedules can detect it.
"""

from __future__ import annotations

import unittest

from tests.wagtailusher_once.schedules.faults import KEY_FAULTS, TICKET_FAULTS, Fault
from tests.wagtailusher_once.schedules.schedule import Schedule

TICKET_SCHEDULES = 8_500
KEY_SCHEDULES = 1_500
FAULTY_SCHEDULES = 1_000


class ScheduleTest(unittest.TestCase):
    """Requests run at most once, and outcomes and answers are correct in any interleaving."""

    def _check(self, count: int, *, uses_keys: bool) -> None:
        """Run schedules and fail with the seeds of those with violations."""
        violations_by_seed = {}
        runs = 0
        for seed in range(count):
            report = Schedule(seed, uses_keys=uses_keys).run()
            runs += report.runs
            if report.violations:
                violations_by_seed[seed] = report.violations
        self.assertEqual(violations_by_seed, {})
        self.assertGreater(runs, count)

    def test_ticket_schedules(self) -> None:
        self._check(TICKET_SCHEDULES, uses_keys=False)

    def test_key_schedules(self) -> None:
        self._check(KEY_SCHEDULES, uses_keys=True)

    def _assert_detected(self, fault: Fault, *, uses_keys: bool) -> None:
        """Fail unless some schedule detects the injected fault."""
        detected = any(
            Schedule(seed, fault=fault, uses_keys=uses_keys).run().violations
            for seed in range(FAULTY_SCHEDULES)
        )
        self.assertTrue(detected, f"no schedule finds {fault}")

    def test_injected_faults_are_detected(self) -> None:
        for fault in TICKET_FAULTS:
            with self.subTest(fault):
                self._assert_detected(fault, uses_keys=False)
        for fault in KEY_FAULTS:
            with self.subTest(fault):
                self._assert_detected(fault, uses_keys=True)
