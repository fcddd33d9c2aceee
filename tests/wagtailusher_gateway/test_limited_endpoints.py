"""Tests of which requests get what endpoints with limits may still get.

They guard against less urgent requests that take it from waiting ones.
"""

from __future__ import annotations

import unittest

from tests.wagtailusher_gateway.builders import (
    DESK,
    ENGINES,
    VM_IDS,
    endpoint,
    new_placement,
    plain_terms,
    terms,
    view,
)
from wagtailusher_core import EndpointId, rank_by_rendezvous
from wagtailusher_gateway.admission import Admission, QueuedRequest

LIMITED = EndpointId("i-1")


class LimitedEndpointsTest(unittest.TestCase):
    """One endpoint that names a limit, and one that is free."""

    def setUp(self) -> None:
        self.view = view(endpoint(1, "desk"), endpoint(2, "desk"))
        self.placement = new_placement(self.view)

    def reserved_ids(self, count: int, *, may_use_limited: bool = True) -> set[EndpointId]:
        """Reserve places for requests and return their endpoints."""
        found = set()
        for _ in range(count):
            reservation = self.placement.try_reserve(
                DESK, plain_terms(), self.view, VM_IDS, 0, rank=1, may_use_limited=may_use_limited
            )
            if reservation is not None:
                found.add(reservation.endpoint.endpoint_id)
        return found

    def test_endpoint_gets_nothing_from_a_vm_without_a_share(self) -> None:
        limits = self.placement.rate_limits
        limits.record_answer(LIMITED, 1, 0.25, 0)
        if limits.share_per_s(LIMITED, 0):
            limits.record_sent(LIMITED, 0)
        self.assertEqual(self.reserved_ids(6), {"i-2"})

    def test_endpoint_gets_nothing_outranked(self) -> None:
        self.placement.rate_limits.record_answer(LIMITED, 1, 100.0, 0)
        self.assertEqual(self.reserved_ids(6, may_use_limited=False), {"i-2"})

    def test_long_prompt_goes_to_a_free_engine_if_the_one_for_long_prompts_is_limited(self) -> None:
        names = rank_by_rendezvous("lanes", [f"i-{number}" for number in range(1, 3)])
        current = view(endpoint(1), endpoint(2))
        placement = new_placement(current)
        placement.rate_limits.record_answer(EndpointId(names[0]), 1, 0.25, 0)
        placement.rate_limits.record_sent(EndpointId(names[0]), 0)
        reservation = placement.try_reserve(ENGINES, terms(), current, VM_IDS, 0, rank=1)
        assert reservation is not None
        self.assertEqual(reservation.endpoint.endpoint_id, names[1])

    def test_more_urgent_requests_of_the_same_service_count(self) -> None:
        admission = Admission(seed=1)
        queued = QueuedRequest(
            queue="engines",
            service="engines",
            rank=1,
            expires_ms=1_000,
            try_start=lambda now_ms: False,
            refuse=lambda retry_after_ms: None,
        )
        admission.submit(queued, 0)
        self.assertTrue(admission.has_more_urgent("engines", 2))
        self.assertFalse(admission.has_more_urgent("engines", 1))
        self.assertFalse(admission.has_more_urgent("desk", 2))

    def test_caller_comes_back_no_sooner_than_requests_have_waited(self) -> None:
        admission = Admission(seed=1)
        queued = QueuedRequest(
            queue="engines",
            rank=0,
            expires_ms=2_000,
            try_start=lambda now_ms: False,
            refuse=lambda retry_after_ms: None,
        )
        admission.submit(queued, 0)
        self.assertGreaterEqual(admission.retry_after_ms("engines", 0, 1_000), 1_000)


if __name__ == "__main__":
    unittest.main()
