"""Tests of the explanation of where a request would go.

They guard against an explanation that differs from what happens, and one that changes what happens.
"""

from __future__ import annotations

import asyncio
from copy import deepcopy
from dataclasses import replace
from random import Random
from typing import Any
import unittest

from tests.wagtailusher_gateway.builders import (
    ENGINES,
    VM_IDS,
    configuration,
    endpoint,
    new_placement,
    route,
    terms,
    view,
)
from wagtailusher_core import EndpointId, FailureDomainId, VmId, WorkspaceId
from wagtailusher_gateway.admission import Admission
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.dispatcher import Dispatcher, RoutedRequest
from wagtailusher_gateway.endpoint_registry import Load
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Endpoint, RequestTerms, Split, Workspace
from wagtailusher_gateway.placement_choice import Barrier
from wagtailusher_gateway.placement_explanation import (
    PlacementAnswer,
    PlacementQuestion,
    Verdict,
    explain_placement,
)
from wagtailusher_gateway.reservation import Reservation

ROUTE = route(splits=(Split(service="engines", weight=1),), timeout_ms=4_000, target_ms=400)
KEY = "member-secret"
SHORT: dict[str, Any] = {"shared": 10, "own": 10}


class Fixture:
    """A VM with some engines."""

    def __init__(self, *endpoints: Endpoint, seed: int = 1, **changes: Any) -> None:
        self.now_ms = 100
        workspaces = {KEY: Workspace(workspace_id=WorkspaceId("members"), rank=1)}
        known = replace(configuration(1, ROUTE), workspaces=workspaces)
        self.view = view(*endpoints, configuration=known, **changes)
        self.placement = new_placement(self.view, seed)
        self.dispatcher = Dispatcher(
            placement=self.placement,
            admission=Admission(seed),
            budget=RetryBudget(ratio=0.2, slack=50, window_ms=10_000),
            clock_ms=lambda: self.now_ms,
            vm_ids=lambda: VM_IDS,
        )
        self.dispatcher.update(self.view, self.now_ms)

    def explain(self, asked: RequestTerms, software_version: str | None = None) -> PlacementAnswer:
        """Return the explanation of a request of a member."""
        if asked.api_key == "key":
            asked = replace(asked, api_key=KEY)
        return explain_placement(
            PlacementQuestion(path="/book/1", terms=asked, software_version=software_version),
            self.dispatcher,
            self.now_ms,
            vm_id=VM_IDS[1],
            generator=Random(7),
            may_forward=True,
        )

    def request(self, asked: RequestTerms, workspace: str = "") -> RoutedRequest:
        """Return a real request that has arrived."""
        ends_ms = self.now_ms + 4_000
        request = RoutedRequest(
            terms=asked, route=ROUTE, service=ENGINES, rank=0, ends_ms=ends_ms, workspace=workspace
        )
        self.dispatcher.record_arrival(request)
        return request

    def send(self, asked: RequestTerms) -> str | None:
        """Place a real request; return its endpoint, or None if there is none."""
        request = self.request(asked)
        found = self.dispatcher._try_reserve(request, frozenset(), self.now_ms)
        return found.endpoint.endpoint_id if found is not None else None

    def state(self) -> list[object]:
        """Return what a real request would change."""
        placement, admission = self.placement, self.dispatcher.admission
        prefixes, limiter = placement.caches.prefixes, placement._cold_limiter
        return deepcopy(
            [
                [item.own_load for item in placement.registry._tracked.values()],
                placement._random.getstate(),
                admission._random.getstate(),
                [vars(item) for item in placement._partitions.values()],
                [prefixes._used_ms, prefixes._uses, prefixes._repeat_share],
                {key: list(times) for key, times in limiter._sent.items() if times},
                [item.sent_ms for item in placement.rate_limits._endpoints.values()],
                [dict(admission.shares._own), dict(admission.fleet_queues._flows)],
                [admission.fleet_queues._returns_ms, admission.refusals, list(admission._queues)],
            ]
        )


class PlacementExplanationTest(unittest.TestCase):
    """The explanation is asked for before each real request."""

    def test_it_agrees_with_the_next_request_and_changes_nothing(self) -> None:
        refused = 0
        for seed in range(20):
            generator = Random(seed)
            fixture = Fixture(*(endpoint(number, slots=6) for number in range(12)), seed=seed)
            loads = [
                (EndpointId(f"i-{number}"), Load(requests=4, prefill_tokens=900 * number))
                for number in generator.sample(range(12), 5)
            ]
            fixture.placement.registry.set_peer_loads(VmId("vm-2"), loads, 100)
            for number in range(80):
                own = generator.choice((100, 2_900))
                asked = terms(number, session=f"s{generator.randrange(9)}", own=own)
                before = fixture.state()
                answer = fixture.explain(asked)
                self.assertEqual(fixture.state(), before)
                self.assertEqual(fixture.explain(asked), answer)
                sent_to = fixture.send(asked)
                if sent_to is None:
                    refused += 1
                    self.assertIsNone(answer.endpoint_id)
                else:
                    self.assertIn(sent_to, answer.tied_ids)
                self.assertEqual(len(answer.candidates) + len(answer.others), 12)
                self.assertNotIn(KEY, str(answer))
                fixture.now_ms += generator.randrange(20)
        self.assertGreater(refused, 0)

    def test_reasons_of_endpoints_that_are_out(self) -> None:
        fixture = Fixture(
            endpoint(0),
            endpoint(3, is_draining=True),
            endpoint(1),
            endpoint(6, slots=2),
            endpoint(9),
            endpoint(12, cold_until_ms=9_000),
            endpoint(15, software_version="2"),
            evacuated=frozenset({FailureDomainId("b")}),
        )
        registry = fixture.placement.registry
        registry.set_peer_loads(VmId("vm-2"), [(EndpointId("i-6"), Load(requests=2))], 100)
        registry.record_misdirected(EndpointId("i-9"), 100)
        while fixture.placement._cold_limiter.may_send(EndpointId("i-12"), 16.0, VM_IDS, 100):
            fixture.placement._cold_limiter.record_sent(EndpointId("i-12"), 100)
        answer = fixture.explain(terms(**SHORT))
        found = {item.endpoint_id: item.reason for item in answer.others}
        expected = {"i-3": Barrier.DRAINING, "i-1": Barrier.EVACUATED, "i-6": Barrier.FULL}
        expected |= {"i-9": Barrier.EJECTED, "i-12": Barrier.COLD_LIMIT}
        self.assertEqual(found, expected)
        others = fixture.explain(terms(**SHORT), "2").others
        reasons = {item.endpoint_id: item.reason for item in others}
        self.assertEqual(reasons["i-0"], Barrier.OTHER_VERSION)
        self.assertNotIn("i-15", reasons)

    def test_limited_silent_and_waiting_endpoints(self) -> None:
        fixture = Fixture(*(endpoint(number) for number in range(6)))
        registry, limits = fixture.placement.registry, fixture.placement.rate_limits
        limits.record_answer(EndpointId("i-0"), 1, 0.001, 100)
        limits.record_sent(EndpointId("i-0"), 100)
        registry.record_unreachable(EndpointId("i-1"), 100)
        registry.availability.record_wait(EndpointId("i-2"), 1, 5_000, sent_ms=90, now_ms=100)
        found = {item.endpoint_id: item.reason for item in fixture.explain(terms(**SHORT)).others}
        expected = {"i-0": Barrier.LIMITED, "i-1": Barrier.SILENT, "i-2": Barrier.WAITING}
        self.assertEqual(found, expected)

    def test_refusals_have_a_retry_delay(self) -> None:
        fixture = Fixture(endpoint(0))
        registry = fixture.placement.registry
        registry.availability.record_wait(EndpointId("i-0"), 1, 60_000, sent_ms=90, now_ms=100)
        answer = fixture.explain(terms())
        assert answer.refusal is not None
        self.assertEqual(answer.verdict, Verdict.REFUSED)
        self.assertGreaterEqual(answer.refusal.retry_after_ms or 0, 60_000)
        unknown = fixture.explain(replace(terms(), api_key="a-secret"))
        assert unknown.refusal is not None
        self.assertEqual((unknown.verdict, unknown.refusal.status), (Verdict.REFUSED, 401))
        self.assertNotIn("a-secret", str(unknown))

    def test_a_request_that_must_wait_is_queued(self) -> None:
        fixture = Fixture(endpoint(0, slots=1))
        self.assertEqual(fixture.explain(terms(**SHORT)).verdict, Verdict.SENT)
        self.assertEqual(fixture.send(terms(**SHORT)), "i-0")
        answer = fixture.explain(terms(**SHORT))
        self.assertEqual((answer.verdict, answer.ahead_requests), (Verdict.QUEUED, 0))
        self.assertEqual([item.reason for item in answer.others], [Barrier.FULL])
        self.assertEqual(fixture.dispatcher.admission.count, 0)

    def test_places_and_parts_for_others(self) -> None:
        """Long prompts stay in their part; last places are left to some of the VMs."""
        engines = [endpoint(number, slots=20) for number in range(12)]
        fixture = Fixture(*engines)
        reasons = {item.reason for item in fixture.explain(terms(own=9_000)).others}
        self.assertIn(Barrier.PARTITION, reasons)
        loads = [(item.endpoint_id, Load(requests=19)) for item in engines]
        fixture.placement.registry.set_peer_loads(VmId("vm-2"), loads, 100)
        asked = replace(terms(**SHORT), parts=())
        answer = fixture.explain(asked)
        reasons = {item.reason for item in answer.others}
        self.assertEqual(reasons, {Barrier.FOR_OTHER_VMS})
        self.assertIn(fixture.send(asked), answer.tied_ids)


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    """Explanations are compared with what the queues do with the next request."""

    async def test_verdicts_agree_with_the_queues(self) -> None:
        verdicts = set()
        for seed in range(6):
            generator = Random(seed)
            fixture = Fixture(endpoint(0, slots=3), endpoint(3, slots=3), seed=seed)
            running: list[asyncio.Task[Reservation]] = []
            for number in range(150):
                asked = terms(number, **SHORT)
                before = fixture.state()
                answer = fixture.explain(asked)
                self.assertEqual(fixture.state(), before)
                verdicts.add(answer.verdict)
                queued = fixture.dispatcher.admission.count
                request = fixture.request(asked, "members")
                running.append(
                    asyncio.create_task(fixture.dispatcher.async_reserve(request, frozenset()))
                )
                await asyncio.sleep(0)
                if answer.verdict == Verdict.SENT:
                    self.assertIn((await running[-1]).endpoint.endpoint_id, answer.tied_ids)
                elif answer.verdict == Verdict.QUEUED:
                    self.assertEqual(fixture.dispatcher.admission.count, queued + 1)
                else:
                    with self.assertRaises(RefusedError):
                        await running[-1]
                fixture.now_ms += generator.randrange(30)
                self.end_one(fixture, running, generator)
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        self.assertEqual(verdicts, {Verdict.SENT, Verdict.QUEUED, Verdict.REFUSED})

    def end_one(
        self, fixture: Fixture, running: list[asyncio.Task[Reservation]], generator: Random
    ) -> None:
        """End one running request now and then."""
        started = [item for item in running if item.done() and item.exception() is None]
        if started and generator.random() < 0.3:
            running.remove(started[0])
            fixture.dispatcher.release(started[0].result(), is_prefill_done=False)
        fixture.dispatcher.process_queues(fixture.now_ms)


if __name__ == "__main__":
    unittest.main()
