"""Tests of endpoints that say in their answers that they leave, or want nothing for a while.

They guard against requests that reach such an endpoint all the same, and against sound endpoints
that are left out.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
import time

from tests.standins.runner import (
    Received,
    RunnerStandin,
    answer,
    response_head,
    stream,
)
from tests.wagtailusher_platform.fleet import PlatformTest, entry
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerError, ClientAnswer

INTERVAL_S = 0.02
SETTLE_S = 0.5
"""Time in which requests that were on their way may still arrive; the platform's rule."""
WAIT_S = 2.0
"""How long an endpoint wants nothing."""
MAX_REQUESTS = 2
"""Requests that may reach it from one VM in that time; the platform's rule."""
AT_ONCE_S = 0.25
"""Longest time for a refusal; half of that for which a request may wait in a queue, and a reserve
for a busy machine."""
LEAVING = "Server-Leaving: 1"


class StatingEndpoint:
    """An endpoint that says what a test sets, and records when requests arrive."""

    def __init__(self, *, streams: bool = False) -> None:
        self.is_leaving = False
        self.retry_after: str | None = None
        self.refuses_until_s = 0.0
        self.arrived_s: list[float] = []
        self.gap_s = 0.01
        self.streams = streams

    def refuse_for(self, duration_s: float) -> None:
        """Refuse requests from now on for a time, which the refusals state."""
        self.retry_after = f"{duration_s:g}"
        self.refuses_until_s = time.monotonic() + duration_s

    async def async_behave(
        self, runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer with what the endpoint states at present."""
        self.arrived_s.append(time.monotonic())
        lines = (LEAVING,) if self.is_leaving else ()
        if time.monotonic() < self.refuses_until_s:
            fields = ("X-Not-Executed: 1", f"Retry-After: {self.retry_after}", *lines)
            writer.write(
                response_head(request, "503 Service Unavailable", *fields, "Content-Length: 0")
            )
            await writer.drain()
            return True
        if self.streams:
            return await self._async_stream(runner, request, writer, *lines)
        await asyncio.sleep(self.gap_s)
        return await answer(b"done", "200 OK", *lines)(runner, request, writer)

    async def _async_stream(
        self,
        runner: RunnerStandin,
        request: Received,
        writer: asyncio.StreamWriter,
        *lines: str,
    ) -> bool:
        runner.record_execution(request)
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked", *lines)
        writer.write(response_head(request, "200 OK", *fields))
        for number in range(1, 6):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def arrived_since(self, since_s: float) -> int:
        """Return the number of requests that arrived later."""
        return sum(at_s >= since_s for at_s in self.arrived_s)


class StatingEndpointsTest(PlatformTest):
    """VMs and endpoints of one service."""

    async def async_start_fleet(self, service: str, count: int, *, vms: int = 1) -> None:
        """Start endpoints and VMs that know each other."""
        self.endpoints = [StatingEndpoint(streams=service == "engines") for _ in range(count)]
        self.hosts = [
            await self.async_runner(service, f"i-{number}", endpoint.async_behave)
            for number, endpoint in enumerate(self.endpoints)
        ]
        self.path = "/look/" if service == "desk" else "/review/"
        for number in range(vms):
            await self.async_gateway(number + 1)
        for app in self.apps:
            await self.async_ready(app, count)
            await self.async_settled(app)
            await self.async_until(_knows(app, vms - 1))
        self.outcomes: Counter[int] = Counter()

    async def async_request(self, app: GatewayApp) -> None:
        """Send one request and record its outcome, 0 for an answer that broke off."""
        try:
            found = await self.async_ask(app, self.path, b"{}", x_token_count="300,30")
            await found.async_read()
        except AnswerError:
            self.outcomes[0] += 1
            return
        self.outcomes[found.status] += 1

    async def async_load(self, duration_s: float, *apps: GatewayApp) -> None:
        """Send requests to VMs in turn, by default to all."""
        ends_s = time.monotonic() + duration_s
        tasks: list[asyncio.Task[None]] = []
        chosen = apps or tuple(self.apps)
        while time.monotonic() < ends_s:
            request = self.async_request(chosen[len(tasks) % len(chosen)])
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    async def async_refusal(self, app: GatewayApp) -> tuple[ClientAnswer, float, float]:
        """Return a refused request's answer, its Retry-After and how long it took, in seconds."""
        started_s = time.monotonic()
        found = await self.async_ask(app, self.path, b"{}", x_token_count="300,30")
        await found.async_read()
        self.assertEqual(found.status, 503)
        retry_after_s = float(found.headers.get("retry-after") or "0")
        return found, retry_after_s, time.monotonic() - started_s


class LeavingEndpointsTest(StatingEndpointsTest):
    """Endpoints that say that they leave."""

    async def check_gets_nothing_more(self, service: str) -> None:
        """Let one endpoint of three say that it leaves; check that it gets nothing more."""
        await self.async_start_fleet(service, 3)
        self.endpoints[0].is_leaving = True
        await self.async_load(1.0)
        first_s = self.endpoints[0].arrived_s[0]
        await self.async_load(1.0)
        self.assertEqual(self.endpoints[0].arrived_since(first_s + SETTLE_S), 0)
        self.assertEqual(set(self.outcomes), {200})

    async def test_service_that_leaves_gets_no_more_requests(self) -> None:
        await self.check_gets_nothing_more("desk")

    async def test_engine_that_leaves_gets_no_more_requests(self) -> None:
        await self.check_gets_nothing_more("engines")

    async def test_leaving_endpoint_gets_nothing_while_the_store_is_away(self) -> None:
        await self.async_start_fleet("desk", 3)
        await self.store.async_stop()
        self.endpoints[0].is_leaving = True
        await self.async_load(0.6)
        first_s = self.endpoints[0].arrived_s[0]
        await self.async_load(1.0)
        self.assertEqual(self.endpoints[0].arrived_since(first_s + SETTLE_S), 0)
        self.assertEqual(set(self.outcomes), {200})

    async def test_request_is_refused_at_once_when_all_endpoints_leave(self) -> None:
        await self.async_start_fleet("desk", 1)
        self.endpoints[0].is_leaving = True
        await self.async_request(self.apps[0])
        _, retry_after_s, took_s = await self.async_refusal(self.apps[0])
        self.assertEqual(self.outcomes, {200: 1})
        self.assertEqual(len(self.endpoints[0].arrived_s), 1)
        self.assertGreater(retry_after_s, 0.0)
        self.assertLess(took_s, AT_ONCE_S)

    async def test_next_incarnation_is_used_at_once(self) -> None:
        await self.async_start_fleet("desk", 1)
        self.endpoints[0].is_leaving = True
        await self.async_request(self.apps[0])
        self.endpoints[0].is_leaving = False
        self.store.put("servers/i-0", entry(self.hosts[0], "desk", born=2))
        view_cache = self.apps[0].view_cache
        await self.async_until(
            lambda: {item.born_ms for item in view_cache.view.endpoints.values()} == {2}
        )
        await self.async_request(self.apps[0])
        self.assertEqual(self.outcomes, {200: 2})

    async def test_peers_prefer_other_endpoints_once_one_vm_knows(self) -> None:
        await self.async_start_fleet("desk", 3, vms=3)
        self.endpoints[0].is_leaving = True
        await self.async_load(0.5, self.apps[0])
        arrived = len(self.endpoints[0].arrived_s)
        await self.async_load(1.0, self.apps[1], self.apps[2])
        self.assertGreater(arrived, 0)
        self.assertEqual(len(self.endpoints[0].arrived_s), arrived)

    async def test_peer_uses_an_endpoint_that_only_a_peer_said_leaves_if_it_is_the_last(
        self,
    ) -> None:
        await self.async_start_fleet("desk", 1, vms=2)
        self.endpoints[0].is_leaving = True
        await self.async_request(self.apps[0])
        await asyncio.sleep(0.2)
        await self.async_request(self.apps[1])
        self.assertEqual(self.outcomes, {200: 2})

    async def test_answer_of_another_endpoint_at_the_address_says_nothing(self) -> None:
        await self.async_start_fleet("desk", 1)

        async def misdirected(
            runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
        ) -> bool:
            head = b"HTTP/1.1 421 Misdirected Request\r\nServer-Leaving: 1\r\n"
            writer.write(head + b"Content-Length: 0\r\n\r\n")
            await writer.drain()
            return True

        self.hosts[0].behaviours[:] = [misdirected, self.endpoints[0].async_behave]
        await self.async_request(self.apps[0])
        self.outcomes.clear()
        await self.async_request(self.apps[0])
        self.assertEqual(self.outcomes, {200: 1})

    async def test_queued_request_is_refused_when_its_last_endpoint_says_it_leaves(self) -> None:
        await self.async_start_fleet("desk", 1)
        self.store.put("servers/i-0", entry(self.hosts[0], "desk", slots=1))
        view_cache = self.apps[0].view_cache
        await self.async_until(
            lambda: {item.slots for item in view_cache.view.endpoints.values()} == {1}
        )
        self.endpoints[0].is_leaving = True
        self.endpoints[0].gap_s = 0.05
        await asyncio.gather(*(self.async_request(self.apps[0]) for _ in range(4)))
        self.assertEqual(self.outcomes, {200: 2, 503: 2})

    async def test_streams_that_a_planned_stop_cuts_are_no_evidence_against_a_prompt(self) -> None:
        self.path = "/review/"
        self.outcomes = Counter()

        def cut_and_stop(
            runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
        ) -> bool:
            lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked", LEAVING)
            writer.write(response_head(request, "200 OK", *lines))
            asyncio.get_running_loop().create_task(runner.async_stop())
            return False

        async def behave(
            runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
        ) -> bool:
            return cut_and_stop(runner, request, writer)

        app, _ = await self.async_endpoints_and_gateway(
            "engines", (behave,), (behave,), (behave,), (stream(3),)
        )
        for _ in range(4):
            await self.async_request(app)
        self.assertEqual(self.outcomes[200], 4)


class UnwillingEndpointsTest(StatingEndpointsTest):
    """Endpoints that refuse with 503 and say for how long they want nothing."""

    async def check_gets_little(self, service: str, vms: int) -> None:
        """Let one of three endpoints want nothing; check what reaches it, and that this ends."""
        await self.async_start_fleet(service, 3, vms=vms)
        self.endpoints[0].refuse_for(WAIT_S)
        ends_s = self.endpoints[0].refuses_until_s
        await self.async_load(WAIT_S + 0.5)
        first_s = self.endpoints[0].arrived_s[0]
        arrived = self.endpoints[0].arrived_since(first_s + SETTLE_S)
        arrived -= self.endpoints[0].arrived_since(ends_s)
        self.assertLessEqual(arrived, MAX_REQUESTS * vms)
        self.assertEqual(set(self.outcomes), {200})
        await self.async_load(0.5)
        self.assertGreater(self.endpoints[0].arrived_since(ends_s), 0)

    async def test_service_that_wants_nothing_gets_at_most_two_requests(self) -> None:
        await self.check_gets_little("desk", 1)

    async def test_engine_that_wants_nothing_gets_at_most_two_requests(self) -> None:
        await self.check_gets_little("engines", 1)

    async def test_service_gets_at_most_two_requests_from_each_vm(self) -> None:
        await self.check_gets_little("desk", 3)

    async def test_request_is_refused_at_once_when_no_endpoint_wants_one(self) -> None:
        await self.async_start_fleet("desk", 2)
        for endpoint, duration_s in zip(self.endpoints, (3.0, 2.0), strict=True):
            endpoint.refuse_for(duration_s)
        await asyncio.gather(*(self.async_request(self.apps[0]) for _ in range(4)))
        arrived = sum(len(endpoint.arrived_s) for endpoint in self.endpoints)
        _, retry_after_s, took_s = await self.async_refusal(self.apps[0])
        left_s = self.endpoints[1].refuses_until_s - time.monotonic()
        self.assertLess(took_s, AT_ONCE_S)
        self.assertGreaterEqual(retry_after_s, left_s)
        self.assertLess(retry_after_s, left_s + 1.0)
        self.assertEqual(sum(len(endpoint.arrived_s) for endpoint in self.endpoints), arrived)

    async def test_values_that_cannot_be_read_are_ignored(self) -> None:
        for value in ("soon", "-1", "inf", "nan", "", "1e9", "3\r\nRetry-After: 4"):
            with self.subTest(value=value):
                await self.async_start_fleet("desk", 1)
                self.endpoints[0].refuse_for(0.2)
                self.endpoints[0].retry_after = value
                await self.async_request(self.apps[0])
                await asyncio.sleep(0.3)
                self.outcomes.clear()
                await self.async_request(self.apps[0])
                self.assertEqual(self.outcomes, {200: 1})
                await self.async_kill(self.apps[0])
                self.store.remove("servers/i-0")

    async def test_request_that_may_not_repeat_is_refused_truthfully(self) -> None:
        await self.async_start_fleet("desk", 1)
        self.path = "/book/"
        self.endpoints[0].refuse_for(WAIT_S)
        _, first_retry_after_s, _ = await self.async_refusal(self.apps[0])
        await self.async_refusal(self.apps[0])
        self.assertEqual(len(self.endpoints[0].arrived_s), 1)
        self.assertEqual(self.hosts[0].executed_ids, [])
        self.assertGreater(first_retry_after_s, WAIT_S / 2)


def _knows(app: GatewayApp, count: int) -> Callable[[], bool]:
    """Return a function that tells whether a VM knows a number of others."""
    return lambda: len(app.fleet.live_members(monotonic_ms())) == count
