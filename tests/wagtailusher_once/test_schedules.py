"""Random schedules: what must hold does, and planted faults are found."""

from __future__ import annotations

import unittest

from tests.wagtailusher_once.schedules.faults import KEY_FAULTS, TICKET_FAULTS, Fault
from tests.wagtailusher_once.schedules.schedule import Schedule

TICKET_SCHEDULES = 8_500
KEY_SCHEDULES = 1_500
FAULTY_SCHEDULES = 1_000


class ScheduleTest(unittest.TestCase):
    """At most once, true refusals and own answers under any interleaving."""

    def _check(self, count: int, *, uses_keys: bool) -> None:
        """Run schedules and fail with the seeds of the broken ones."""
        broken = {}
        runs = 0
        for seed in range(count):
            report = Schedule(seed, uses_keys=uses_keys).run()
            runs += report.runs
            if report.violations:
                broken[seed] = report.violations
        self.assertEqual(broken, {})
        self.assertGreater(runs, count)

    def test_tickets(self) -> None:
        self._check(TICKET_SCHEDULES, uses_keys=False)

    def test_keys(self) -> None:
        self._check(KEY_SCHEDULES, uses_keys=True)

    def _assert_found(self, fault: Fault, *, uses_keys: bool) -> None:
        """Fail unless some schedule shows the planted fault."""
        found = any(
            Schedule(seed, fault=fault, uses_keys=uses_keys).run().violations
            for seed in range(FAULTY_SCHEDULES)
        )
        self.assertTrue(found, f"no schedule finds {fault}")

    def test_planted_faults_are_found(self) -> None:
        for fault in TICKET_FAULTS:
            with self.subTest(fault):
                self._assert_found(fault, uses_keys=False)
        for fault in KEY_FAULTS:
            with self.subTest(fault):
                self._assert_found(fault, uses_keys=True)
