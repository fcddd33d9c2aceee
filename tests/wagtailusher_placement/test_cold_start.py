"""Tests of one endpoint's ramp from its cold limit to its concurrency limit.

A ramp that starts too high or rises too soon overloads an endpoint that just started.
"""

from __future__ import annotations

import unittest

from wagtailusher_core import EndpointId, Incarnation
from wagtailusher_placement.cold_start import ColdStart
from wagtailusher_placement.reports import LoadReport

COLD_LIMIT = 2
CONCURRENCY_LIMIT = 8


def new_ramp(*, cold: bool) -> ColdStart:
    """Return the ramp of a new endpoint."""
    return ColdStart(
        cold_limit=COLD_LIMIT, concurrency_limit=CONCURRENCY_LIMIT, cold=cold, now_ms=0
    )


class ColdStartTest(unittest.TestCase):
    """Allowance of a cold endpoint from its first request on."""

    def test_first_allowance_of_a_cold_endpoint_is_its_cold_limit(self) -> None:
        self.assertEqual(new_ramp(cold=True).allowance, COLD_LIMIT)
        self.assertEqual(new_ramp(cold=False).allowance, CONCURRENCY_LIMIT)

    def test_allowance_doubles_after_as_many_timely_answers_as_it_allows(self) -> None:
        ramp = new_ramp(cold=True)
        allowances = []
        for now_ms in range(1, 7):
            ramp.record_timely_first_tokens(1, now_ms)
            allowances.append(ramp.allowance)
        self.assertEqual(allowances, [2, 4, 4, 4, 4, 8])
        self.assertFalse(ramp.cold)

    def test_endpoint_that_reports_cold_stays_at_its_cold_limit(self) -> None:
        ramp = new_ramp(cold=True)
        report = LoadReport(endpoint_id=EndpointId("a"), reported_at_ms=1, cold=True)
        ramp.observe_report(report, 1)
        ramp.record_timely_first_tokens(100, 2)
        self.assertEqual(ramp.allowance, COLD_LIMIT)

    def test_restarted_endpoint_falls_back_to_its_cold_limit(self) -> None:
        ramp = new_ramp(cold=False)
        for incarnation in (1, 2):
            report = LoadReport(
                endpoint_id=EndpointId("a"),
                reported_at_ms=incarnation,
                incarnation=Incarnation(incarnation),
            )
            turned = ramp.observe_report(report, incarnation)
        self.assertTrue(turned)
        self.assertEqual(ramp.allowance, COLD_LIMIT)

    def test_changed_limits_of_a_cold_endpoint_never_raise_its_allowance(self) -> None:
        ramp = new_ramp(cold=True)
        ramp.update_limits(cold_limit=4, concurrency_limit=16)
        self.assertEqual(ramp.allowance, COLD_LIMIT)
        ramp.update_limits(cold_limit=1, concurrency_limit=16)
        self.assertEqual(ramp.allowance, 1)


if __name__ == "__main__":
    unittest.main()
