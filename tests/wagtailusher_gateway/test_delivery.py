"""Tests of the delivery state over every order of send results.

They guard against an answer that states that a request has not run although it may have, and
against a request that runs more often than its route allows.
"""

from __future__ import annotations

from itertools import product
import unittest

from tests.wagtailusher_gateway.builders import route
from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_gateway.delivery import Delivery, DeliveryState
from wagtailusher_gateway.models import Repeat

NOT_RUN_STATUSES = {408, 421, 429, 503}
"""Statuses that state that a request has not run."""


class DeliveryTest(unittest.TestCase):
    """A not-run status is returned only for requests that have not run; retries are bounded."""

    def test_every_order_of_sends(self) -> None:
        """For all results of up to four sends, not-run statuses are true and retries allowed."""
        kinds = (
            route(),
            route(repeat=Repeat.SAFE, max_attempts=2),
            route(repeat=Repeat.STREAM, max_attempts=3, may_resume=True),
            route(repeat=Repeat.STREAM, max_attempts=3),
        )
        outcomes = ("refused", "misdirected", "failed")
        for kind, ends in product(kinds, product(outcomes, repeat=4)):
            self._check_sends(Delivery(kind), kind.repeat, kind.may_resume, ends)

    def _check_sends(
        self, delivery: Delivery, repeat: Repeat, may_resume: bool, ends: tuple[str, ...]
    ) -> None:
        may_have_run = 0
        for end in ends:
            if not delivery.may_send:
                break
            delivery.record_sent()
            if end == "failed":
                may_have_run += 1
                delivery.record_failure()
            else:
                delivery.record_refused(counts=end == "refused")
        status = delivery.error("failed", ErrorCode.ENDPOINT_FAILED, 100).status
        self.assertEqual(status in NOT_RUN_STATUSES, may_have_run == 0)
        if repeat is not Repeat.SAFE and not may_resume:
            self.assertLessEqual(may_have_run, 1)

    def test_sent_request_has_an_unknown_outcome(self) -> None:
        """From the first byte on, a request must not be reported as not run."""
        delivery = Delivery(route())
        self.assertEqual(delivery.timed_out("late").outcome, Outcome.NOT_RUN)
        delivery.record_sent()
        self.assertEqual(delivery.state, DeliveryState.MAY_HAVE_RUN)
        self.assertEqual(delivery.timed_out("late").outcome, Outcome.UNKNOWN)
        self.assertEqual(delivery.timed_out("late").status, 504)

    def test_refusal_after_a_run_does_not_undo_it(self) -> None:
        """A second endpoint's refusal does not show that the first did not run the request."""
        delivery = Delivery(route(repeat=Repeat.SAFE, max_attempts=3))
        delivery.record_sent()
        delivery.record_failure()
        delivery.record_sent()
        delivery.record_refused(counts=True)
        self.assertEqual(delivery.error("x", ErrorCode.QUEUE_FULL, 1).status, 502)


if __name__ == "__main__":
    unittest.main()
