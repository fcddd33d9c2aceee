"""Tests of which requests a VM that stops still takes.

They guard against refusing requests that can be served, and taking those that can't end in time.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.wagtailusher_gateway.builders import route
from wagtailusher_gateway.models import Repeat
from wagtailusher_gateway.planned_stop import KEPT_DURATIONS, MAX_KINDS, MIN_DURATIONS, PlannedStop

AWARE_AFTER_MS = 2_800
BOOK = route()
ENDS_MS = 7_500


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """The stop begins at 0 and ends at 7,500 ms."""

    def setUp(self) -> None:
        self.stop = PlannedStop(AWARE_AFTER_MS)

    def _serve(self, *durations_ms: int) -> None:
        for duration_ms in durations_ms:
            self.stop.record_served("desk", BOOK, duration_ms)

    def _may_take(self, now_ms: int, left_ms: int = 4_000) -> bool:
        return self.stop.may_take("desk", BOOK, left_ms, now_ms)

    def test_vm_that_does_not_stop_takes_everything(self) -> None:
        self.assertTrue(self._may_take(10_000_000, 30_000))

    def test_request_is_taken_while_its_usual_time_fits_and_callers_know_nothing(self) -> None:
        self._serve(*[4_000] * MIN_DURATIONS)
        self.stop.begin(0, ENDS_MS)
        self.assertTrue(self._may_take(2_500, 30_000))
        self.assertFalse(self._may_take(2_501, 30_000))

    def test_usual_time_is_no_promise_once_callers_can_know_of_the_stop(self) -> None:
        self._serve(*[1] * KEPT_DURATIONS)
        self.stop.begin(0, ENDS_MS)
        self.assertTrue(self._may_take(AWARE_AFTER_MS - 1, 30_000))
        self.assertFalse(self._may_take(AWARE_AFTER_MS, 30_000))
        self.assertTrue(self._may_take(AWARE_AFTER_MS, ENDS_MS - AWARE_AFTER_MS))
        self.assertFalse(self._may_take(AWARE_AFTER_MS, ENDS_MS - AWARE_AFTER_MS + 1))

    def test_request_that_usually_outlasts_the_stop_is_refused_at_once(self) -> None:
        self._serve(*[9_000] * MIN_DURATIONS)
        self.stop.begin(0, ENDS_MS)
        self.assertFalse(self._may_take(0, 30_000))

    def test_request_whose_deadline_comes_first_is_taken(self) -> None:
        self._serve(*[9_000] * MIN_DURATIONS)
        self.stop.begin(0, ENDS_MS)
        self.assertTrue(self._may_take(7_000, 400))

    def test_one_slow_request_in_many_does_not_count(self) -> None:
        self._serve(9_000, *[1_000] * (KEPT_DURATIONS - 1))
        self.stop.begin(0, ENDS_MS)
        self.assertTrue(self._may_take(AWARE_AFTER_MS - 1, 30_000))

    def test_where_nothing_is_known_callers_are_served_until_they_can_have_left(self) -> None:
        self._serve(*[9_000] * (MIN_DURATIONS - 1))
        self.stop.begin(0, ENDS_MS)
        self.assertTrue(self._may_take(AWARE_AFTER_MS - 1, 30_000))
        self.assertFalse(self._may_take(AWARE_AFTER_MS, 4_800))
        self.assertTrue(self._may_take(AWARE_AFTER_MS, 4_700))

    def test_other_kinds_of_requests_tell_nothing(self) -> None:
        for _ in range(MIN_DURATIONS):
            self.stop.record_served("desk", route(name="look", repeat=Repeat.SAFE), 9_000)
            self.stop.record_served("engines", BOOK, 9_000)
        self.stop.begin(0, ENDS_MS)
        self.assertTrue(self._may_take(0, 30_000))

    def test_requests_of_alike_routes_tell_how_long_one_of_a_new_route_takes(self) -> None:
        for _ in range(MIN_DURATIONS):
            self.stop.record_served("desk", route(name="visit"), 9_000)
        self.stop.begin(0, ENDS_MS)
        self.assertFalse(self._may_take(0, 30_000))

    def test_routes_that_come_and_go_take_no_memory(self) -> None:
        for number in range(3 * MAX_KINDS):
            self.stop.record_served("desk", route(name=f"route-{number}"), 1_000)
        self.assertEqual(len(self.stop._durations_ms), MAX_KINDS)

    async def test_end_times_out_what_is_left_and_takes_no_more(self) -> None:
        self.stop.begin(0, ENDS_MS)
        asyncio.get_running_loop().call_later(0.02, self.stop.end)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(10) as timeout:
                with self.stop.ending(timeout):
                    await asyncio.Event().wait()
        self.assertFalse(self._may_take(0, 1))

    async def test_request_that_timed_out_at_the_same_moment_does_no_harm(self) -> None:
        self.stop.begin(0, ENDS_MS)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0) as timeout:
                with self.stop.ending(timeout):
                    asyncio.get_running_loop().call_soon(self.stop.end)
                    await asyncio.Event().wait()


if __name__ == "__main__":
    unittest.main()
