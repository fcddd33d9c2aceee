"""Tests of endpoints that stated that they leave, and come back.

They guard against a new process that gets nothing because of what the one before it stated.
"""

from __future__ import annotations

import unittest

from tests.wagtailusher_placement.test_decider import KEY, POOL, endpoint
from wagtailusher_availability import AvailabilityDecider
from wagtailusher_core import EndpointId, FailureDomainId, Incarnation, RequestId, VmId
from wagtailusher_placement import (
    ANY_INCARNATION,
    EndpointInfo,
    EndpointState,
    LoadReport,
    PlacementDecider,
    PlacementRequest,
)

ENGINE = EndpointId("e1")


class StatementsTest(unittest.TestCase):
    """One engine that stated that it leaves."""

    def setUp(self) -> None:
        self.availability = AvailabilityDecider()
        self.decider = PlacementDecider(
            vm_id=VmId("vm-1"),
            failure_domain_id=FailureDomainId("fd-1"),
            seed=1,
            availability=self.availability,
        )
        self.list_engines(endpoint("e1"))
        self.availability.record_leaving(ENGINE, ANY_INCARNATION, 100)

    def list_engines(self, *infos: EndpointInfo) -> None:
        """Publish a list."""
        self.decider.update_endpoints(infos, 200)

    def report(self, incarnation: int, now_ms: int) -> None:
        """Apply a load report of an incarnation."""
        self.decider.observe_report(
            LoadReport(
                endpoint_id=ENGINE,
                reported_at_ms=now_ms,
                running=0,
                waiting=0,
                incarnation=Incarnation(incarnation),
            ),
            now_ms,
        )

    def test_placed_request_is_not_sent_once_its_engine_says_it_leaves(self) -> None:
        self.availability.forget(ENGINE)
        self.list_engines(endpoint("e1"))
        request = PlacementRequest(request_id=RequestId("r"), pool_id=POOL, tier=0, key=KEY)
        choice = self.decider.choose(request, 300)
        assert choice is not None
        self.decider.start_request(choice, request, 300)
        self.availability.record_leaving(ENGINE, ANY_INCARNATION, 310)
        self.assertFalse(self.decider.may_send(request.request_id, 320))

    def test_the_same_list_changes_nothing(self) -> None:
        self.list_engines(endpoint("e1"))
        self.assertFalse(self.availability.may_start(ENGINE, 300))

    def test_engine_that_was_removed_and_is_listed_again_is_used(self) -> None:
        self.list_engines()
        self.list_engines(endpoint("e1"))
        self.assertTrue(self.availability.may_start(ENGINE, 300))

    def test_engine_that_was_listed_as_leaving_and_is_live_again_is_used(self) -> None:
        self.list_engines(endpoint("e1", state=EndpointState.LEAVING))
        self.assertFalse(self.availability.may_start(ENGINE, 300))
        self.list_engines(endpoint("e1"))
        self.assertTrue(self.availability.may_start(ENGINE, 300))

    def test_engine_at_another_address_is_used(self) -> None:
        self.list_engines(endpoint("e1", address="other:1"))
        self.assertTrue(self.availability.may_start(ENGINE, 300))

    def test_engine_whose_report_names_another_incarnation_is_used(self) -> None:
        self.report(1, 300)
        self.assertFalse(self.availability.may_start(ENGINE, 400))
        self.report(2, 500)
        self.assertTrue(self.availability.may_start(ENGINE, 600))


if __name__ == "__main__":
    unittest.main()
