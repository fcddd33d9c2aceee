"""Tests of endpoints that may have restarted, as they closed an idle connection."""

from __future__ import annotations

import unittest

from tests.wagtailusher_placement.test_decider import (
    endpoint,
    new_decider,
    place,
    placement_request,
)
from wagtailusher_core import EndpointId, Incarnation
from wagtailusher_placement import LoadReport

ENDPOINT_ID = EndpointId("a")
MAX_DOUBT_MS = 2_000


def report(now_ms: int, incarnation: int) -> LoadReport:
    """Return a report of an endpoint that does not say that it is cold."""
    return LoadReport(
        endpoint_id=ENDPOINT_ID, reported_at_ms=now_ms, incarnation=Incarnation(incarnation)
    )


class DoubtTest(unittest.TestCase):
    """Guards against requests to an endpoint of which nobody knows whether it is cold."""

    def setUp(self) -> None:
        self.target = new_decider(endpoint("a", concurrency_limit=8, cold_limit=2))
        self.target.observe_report(report(0, incarnation=1), 0)

    def _placed_count(self, now_ms: int) -> int:
        """Return how many of eight requests the endpoint gets."""
        names = [f"{now_ms}-{number}" for number in range(8)]
        placed = [place(self.target, name, now_ms) for name in names]
        return sum(endpoint_id is not None for endpoint_id in placed)

    def test_nothing_is_sent_until_the_poll_ends(self) -> None:
        self.assertTrue(self.target.begin_doubt(ENDPOINT_ID, 10))
        self.assertEqual(self._placed_count(11), 0)
        self.target.end_doubt(ENDPOINT_ID)
        self.assertEqual(self._placed_count(12), 8)

    def test_request_chosen_before_is_not_sent(self) -> None:
        request = placement_request("chosen")
        choice = self.target.choose(request, 1)
        assert choice is not None
        self.target.start_request(choice, request, 1)
        self.assertTrue(self.target.begin_doubt(ENDPOINT_ID, 10))
        self.assertFalse(self.target.may_send(request.request_id, 11))

    def test_only_one_poll_at_a_time(self) -> None:
        self.assertTrue(self.target.begin_doubt(ENDPOINT_ID, 10))
        self.assertFalse(self.target.begin_doubt(ENDPOINT_ID, 11))
        self.target.end_doubt(ENDPOINT_ID)
        self.assertTrue(self.target.begin_doubt(ENDPOINT_ID, 12))

    def test_lost_poll_does_not_stop_the_endpoint_for_good(self) -> None:
        self.target.begin_doubt(ENDPOINT_ID, 10)
        self.assertEqual(self._placed_count(10 + MAX_DOUBT_MS), 8)

    def test_same_process_is_as_warm_as_before(self) -> None:
        self.target.begin_doubt(ENDPOINT_ID, 10)
        self.target.observe_report(report(11, incarnation=1), 11)
        self.target.end_doubt(ENDPOINT_ID)
        self.assertEqual(self._placed_count(12), 8)

    def test_new_process_is_cold(self) -> None:
        self.target.begin_doubt(ENDPOINT_ID, 10)
        self.target.observe_report(report(11, incarnation=2), 11)
        self.target.end_doubt(ENDPOINT_ID)
        self.assertEqual(self._placed_count(12), 2)

    def test_refused_poll_means_cold(self) -> None:
        self.target.begin_doubt(ENDPOINT_ID, 10)
        self.target.observe_refused_connection(ENDPOINT_ID, 11)
        self.target.end_doubt(ENDPOINT_ID)
        self.assertEqual(self._placed_count(12), 2)

    def test_endpoint_with_a_request_in_flight_stays_in_use(self) -> None:
        self.assertIsNotNone(place(self.target, "first", 1))
        self.assertFalse(self.target.begin_doubt(ENDPOINT_ID, 10))
        self.assertIsNotNone(place(self.target, "second", 11))

    def test_endpoint_without_cold_start_stays_in_use(self) -> None:
        self.target = new_decider(endpoint("a", concurrency_limit=8, cold_limit=8))
        self.assertFalse(self.target.begin_doubt(ENDPOINT_ID, 10))
        self.assertFalse(self.target.begin_doubt(EndpointId("unknown"), 10))


if __name__ == "__main__":
    unittest.main()
