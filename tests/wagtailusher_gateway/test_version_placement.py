"""Tests of the choice of endpoints for streams that may only go on at one software version."""

from __future__ import annotations

import asyncio
from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import (
    ENGINES,
    VM_IDS,
    endpoint,
    new_placement,
    route,
    terms,
    view,
)
from wagtailusher_core import ErrorCode, FailureDomainId
from wagtailusher_gateway.admission import Admission
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.dispatcher import Dispatcher, RoutedRequest
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Endpoint, FleetView

OLD, NEW = endpoint(1, software_version="v1"), endpoint(2, software_version="v2")
FULL = 48


def new_dispatcher(current: FleetView) -> Dispatcher:
    """Return a dispatcher at time 0 with a view."""
    dispatcher = Dispatcher(
        placement=new_placement(current),
        admission=Admission(1),
        budget=RetryBudget(ratio=1.0, slack=1, window_ms=1_000),
        clock_ms=lambda: 0,
        vm_ids=lambda: VM_IDS[1:2],
    )
    dispatcher.update(current, 0)
    return dispatcher


def request(software_version: str | None, number: int = 1) -> RoutedRequest:
    """Return a request that requires a software version."""
    return RoutedRequest(
        terms=replace(terms(number, shared=0, own=10), max_output_tokens=10),
        route=route(target_ms=1_000),
        service=ENGINES,
        rank=0,
        ends_ms=1_000,
        software_version=software_version,
    )


class VersionPlacementTest(unittest.IsolatedAsyncioTestCase):
    """Requests that require a version get endpoints of that version only, or none."""

    async def async_reserved(self, dispatcher: Dispatcher, wanted: RoutedRequest) -> Endpoint:
        """Return the endpoint reserved for a request."""
        return (await dispatcher.async_reserve(wanted, frozenset())).endpoint

    async def assert_refused(self, dispatcher: Dispatcher, software_version: str) -> None:
        """Assert that a request is refused without waiting."""
        with self.assertRaises(RefusedError) as caught:
            await dispatcher.async_reserve(request(software_version), frozenset())
        self.assertEqual(caught.exception.code, ErrorCode.NO_ENDPOINT)
        self.assertIsNotNone(caught.exception.retry_after_ms)

    async def test_only_endpoints_of_the_required_version_are_chosen(self) -> None:
        dispatcher = new_dispatcher(view(OLD, NEW, endpoint(3, software_version="v2")))
        for number in range(10):
            reserved = await self.async_reserved(dispatcher, request("v1", number))
            self.assertEqual(reserved, OLD)

    async def test_excluded_endpoint_of_the_version_precedes_another_version(self) -> None:
        dispatcher = new_dispatcher(view(OLD, NEW))
        reservation = await dispatcher.async_reserve(request("v1"), frozenset({OLD.endpoint_id}))
        self.assertEqual(reservation.endpoint, OLD)

    async def test_request_is_refused_when_its_version_is_gone_or_unknown(self) -> None:
        draining = replace(OLD, is_draining=True)
        for current in (view(NEW), view(draining, NEW), view(OLD, NEW, evacuated=frozenset("b"))):
            await self.assert_refused(new_dispatcher(current), "v1")
        unknown = replace(OLD, software_version="")
        await self.assert_refused(new_dispatcher(view(unknown, NEW)), "")

    async def test_request_waits_while_its_version_is_full_and_delays_no_other(self) -> None:
        dispatcher = new_dispatcher(view(OLD, NEW))
        for number in range(FULL):
            await dispatcher.async_reserve(request("v1", number), frozenset())
        waiting = asyncio.ensure_future(dispatcher.async_reserve(request("v1"), frozenset()))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.assertEqual(await self.async_reserved(dispatcher, request(None)), NEW)
        dispatcher.update(view(NEW), 0)
        with self.assertRaises(RefusedError):
            await waiting

    async def test_restarted_endpoint_gets_nothing_that_was_reserved_before(self) -> None:
        dispatcher = new_dispatcher(view(OLD))
        reservation = await dispatcher.async_reserve(request("v1"), frozenset())
        self.assertTrue(dispatcher.may_send(reservation))
        moved = replace(OLD, failure_domain_id=FailureDomainId("c"))
        for changed, may_send in (
            (replace(OLD, born_ms=2), False),
            (replace(OLD, software_version="v2"), False),
            (moved, True),
        ):
            dispatcher.update(view(changed), 0)
            self.assertEqual(dispatcher.may_send(reservation), may_send)


if __name__ == "__main__":
    unittest.main()
