"""Tests of what may be said of a request, over every order of events."""

from __future__ import annotations

from itertools import product
import unittest

from tests.wagtailusher_gateway.builders import route
from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_gateway.delivery import Delivery, DeliveryState
from wagtailusher_gateway.models import Repeat

PROMISES = {408, 421, 429, 503}
"""Statuses that say that a request has not run."""


class DeliveryTest(unittest.TestCase):
    """A promise is made only for what has not run, and nothing runs more often than it may."""

    def test_every_order_of_sends(self) -> None:
        """Over all outcomes of up to four sends, promises are true and repeats allowed."""
        kinds = (
            route(),
            route(repeat=Repeat.SAFE, max_attempts=2),
            route(repeat=Repeat.STREAM, max_attempts=3, may_resume=True),
            route(repeat=Repeat.STREAM, max_attempts=3),
        )
        outcomes = ("refused", "misdirected", "failed")
        for kind, ends in product(kinds, product(outcomes, repeat=4)):
            self._play(Delivery(kind), kind.repeat, kind.may_resume, ends)

    def _play(
        self, delivery: Delivery, repeat: Repeat, may_resume: bool, ends: tuple[str, ...]
    ) -> None:
        may_have_run = 0
        for end in ends:
            if not delivery.may_send:
                break
            delivery.sent()
            if end == "failed":
                may_have_run += 1
                delivery.failed()
            else:
                delivery.refused(counts=end == "refused")
        status = delivery.error("failed", ErrorCode.ENDPOINT_FAILED, 100).status
        self.assertEqual(status in PROMISES, may_have_run == 0)
        if repeat is not Repeat.SAFE and not may_resume:
            self.assertLessEqual(may_have_run, 1)

    def test_sent_request_has_an_unknown_outcome(self) -> None:
        """From the first byte on nobody may say that a request was not run."""
        delivery = Delivery(route())
        self.assertEqual(delivery.timed_out("late").outcome, Outcome.NOT_RUN)
        delivery.sent()
        self.assertEqual(delivery.state, DeliveryState.MAY_HAVE_RUN)
        self.assertEqual(delivery.timed_out("late").outcome, Outcome.UNKNOWN)
        self.assertEqual(delivery.timed_out("late").status, 504)

    def test_refusal_after_a_run_does_not_undo_it(self) -> None:
        """A second endpoint that refuses says nothing about the first."""
        delivery = Delivery(route(repeat=Repeat.SAFE, max_attempts=3))
        delivery.sent()
        delivery.failed()
        delivery.sent()
        delivery.refused(counts=True)
        self.assertEqual(delivery.error("x", ErrorCode.QUEUE_FULL, 1).status, 502)


if __name__ == "__main__":
    unittest.main()
