"""Tests of requests that a VM without connections to endpoints hands on to another VM.

They guard against requests that run twice or are reported wrongly when the link between the two VMs
breaks, and against what a caller must not be able to pass on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from random import Random
import time
from typing import Any
import unittest

from tests.soak.proxy import FaultProxy
from tests.standins.runner import Behaviour, RunnerStandin, answer, reset_after_run, stream
from tests.wagtailusher_platform.cut_off_fleet import EVENTS, CutOffFleetTest
from tests.wagtailusher_platform.fleet import DEADLINE_MS, KEY, WORKSPACE
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_gateway.forward_terms import HEADER_FORWARD, HEADER_OUTCOME
from wagtailusher_gateway.models import Member
from wagtailusher_http import (
    ClientAnswer,
    Headers,
    HttpError,
    Request,
    Response,
    async_serve,
    json_response,
)

PASS_S = 0.12
"""The platform's bound on the time in which an event is passed on."""
BREAKS = 40
MAX_LINK_BYTES = 900
"""More than the bytes of an answer on the link."""


class CuttingLink(FaultProxy):
    """Ends a connection after a number of bytes in one direction."""

    left_bytes = 0
    cuts_requests = False
    resets = False

    async def _async_relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dropping: Callable[[], bool],
        *,
        ends: Callable[[], bool] = lambda: False,
        relayed: list[int] | None = None,
    ) -> None:
        is_request = relayed is None
        while chunk := await reader.read(self.left_bytes if self._cuts(is_request) else 65_536):
            writer.write(chunk)
            await writer.drain()
            if self._cuts(is_request):
                self.left_bytes -= len(chunk)
                if self.left_bytes <= 0:
                    if self.resets:
                        self.reset_all()
                    return

    def _cuts(self, is_request: bool) -> bool:
        return is_request is self.cuts_requests


class ForwardedRequestsTest(CutOffFleetTest):
    """The first VM reaches no endpoint, the second one does."""

    async def async_start(
        self,
        *,
        desk: Behaviour | None = None,
        engine: Behaviour | None = None,
        vm_count: int = 2,
    ) -> None:
        """Start VMs, and wait until the first one knows that it reaches no endpoint."""
        await self.async_start_fleet(vm_count, desk=desk, engine=engine)
        self.cut_off, self.taker = self.apps[:2]
        self.cut(self.cut_off, "reset")
        async with asyncio.timeout(10):
            while len(self.cut_off.fleet.own_member.unreached_services) < 2:
                await self.async_is_served(self.cut_off, "/look/1")
                await self.async_is_served(self.cut_off, "/chat/1")
        for runner in self.runners:
            runner.received.clear()
            runner.executed_ids.clear()

    def _received(self) -> list[RunnerStandin]:
        return [runner for runner in self.runners if runner.received]

    async def test_endpoint_gets_what_a_direct_request_has(self) -> None:
        await self.async_start()
        seen: list[dict[str, str]] = []
        for app in (self.taker, self.cut_off):
            reply = await self.async_ask(app, "/book/1", b"body", x_prompt_prefix="a:1")
            self.assertEqual(await reply.async_read(1_000), b"done")
            self.assertNotIn(HEADER_OUTCOME, reply.headers)
            (runner,) = self._received()
            received = runner.received.pop()
            fields = received.headers
            self.assertEqual(
                (received.method, received.target, received.body), ("POST", "/book/1", b"body")
            )
            self.assertEqual(fields.pop("x-expect-instance"), runner.instance_id)
            self.assertEqual(fields.pop("x-attempt-id"), f"attempt-{self._requests}")
            self.assertLess(int(fields.pop("x-deadline-ms")), DEADLINE_MS)
            seen.append(fields)
        self.assertEqual(seen[0], seen[1])
        self.assertEqual(seen[1]["x-tenant"], WORKSPACE)

    async def test_callers_key_is_not_sent_to_the_peer(self) -> None:
        await self.async_start()
        seen: list[Headers] = []
        request = self.cut_off._peer_client.async_request

        async def async_request(*args: Any, **kwargs: Any) -> ClientAnswer:
            seen.append(args[3])
            return await request(*args, **kwargs)

        self.cut_off._peer_client.async_request = async_request  # type: ignore[method-assign]
        self.assertTrue(await self.async_is_served(self.cut_off, "/look/1"))
        for headers in seen:
            self.assertNotIn(KEY, str(list(headers)))

    async def test_request_with_an_unknown_key_is_refused_where_it_came(self) -> None:
        await self.async_start()
        reply = await self.async_ask(self.cut_off, "/look/1", authorization="Bearer unknown")
        self.assertEqual(reply.status, HTTPStatus.UNAUTHORIZED)

    async def test_request_of_a_stranger_is_refused_by_the_peer(self) -> None:
        await self.async_start()
        fields = {"x-attempt-id": "a", "authorization": f"Bearer {KEY}", HEADER_FORWARD: "a.b"}
        for headers in (fields, {key: fields[key] for key in ("x-attempt-id", "authorization")}):
            reply = await self.client.async_request(
                self.taker.options.peer_listen, "GET", "/look/1", Headers(headers.items())
            )
            self.assertEqual(reply.status, HTTPStatus.FORBIDDEN)
        self.assertEqual(self._received(), [])

    async def test_stream_is_passed_on_event_by_event(self) -> None:
        engine = stream(EVENTS, may_continue=lambda: asyncio.sleep(0.3))
        await self.async_start(engine=engine)
        arrived_s: list[float] = []
        reply = await self.async_ask(self.cut_off, "/chat/1")
        async for _ in reply.iter_chunks():
            arrived_s.append(time.monotonic())
        self.assertEqual(len(arrived_s), EVENTS)
        for earlier, later in zip(arrived_s, arrived_s[1:], strict=False):
            self.assertAlmostEqual(later - earlier, 0.3, delta=PASS_S)

    async def test_caller_that_leaves_ends_the_work_at_the_endpoint(self) -> None:
        engine = stream(50, gap_s=0.1)
        await self.async_start(engine=engine)
        reply = await self.async_ask(self.cut_off, "/chat/1")
        reply.abort()
        await self.async_until(lambda: any(runner.aborted_connections for runner in self.runners))
        await self.async_until(lambda: not self.taker.dispatcher.in_flight)
        self.assertEqual(self.cut_off.dispatcher.in_flight, 0)

    async def test_request_that_may_not_be_repeated_runs_once_wherever_the_link_breaks(
        self,
    ) -> None:
        await self.async_start()
        link = CuttingLink(target=lambda: self.taker.options.peer_listen)
        await link.async_start()
        self._lead_to(link.address)
        generator = Random(38)
        statuses = set()
        for number in range(BREAKS):
            link.cuts_requests = bool(number % 2)
            link.left_bytes = generator.randrange(1, MAX_LINK_BYTES)
            status = await self._async_status("/book/1")
            runs = self.executions(f"attempt-{self._requests}")
            statuses.add((status, runs))
            self.assertLessEqual(runs, 1)
            self.assertIn((status, runs), {(200, 1), (502, 0), (502, 1), (503, 0), (504, 0)})
        await link.async_stop()
        self.assertGreaterEqual(statuses, {(502, 0), (502, 1)})

    async def test_head_that_breaks_off_on_the_link_is_no_answer(self) -> None:
        await self.async_start()
        link = CuttingLink(target=lambda: self.taker.options.peer_listen)
        await link.async_start()
        self._lead_to(link.address)
        for number in range(2 * BREAKS):
            link.resets = bool(number % 2)
            link.left_bytes = 1 + number * MAX_LINK_BYTES // (2 * BREAKS)
            reply = await self.async_ask(self.cut_off, "/book/1", b"body")
            body = await reply.async_read(1_000)
            self.assertIn(reply.status, (200, 502))
            if reply.status == HTTPStatus.OK:
                self.assertEqual(body, b"done")
        await link.async_stop()

    async def test_broken_stream_does_not_look_complete(self) -> None:
        await self.async_start(engine=stream(EVENTS, gap_s=0.02))
        link = CuttingLink(target=lambda: self.taker.options.peer_listen)
        await link.async_start()
        self._lead_to(link.address)
        generator = Random(39)
        for _ in range(BREAKS // 2):
            link.left_bytes = generator.randrange(1, MAX_LINK_BYTES)
            try:
                reply = await self.async_ask(self.cut_off, "/chat/1")
                body = await reply.async_read(1_000)
            except HttpError:
                continue
            if reply.status == HTTPStatus.OK:
                self.assertEqual(body.count(b"data: token"), EVENTS)
        await link.async_stop()

    async def test_response_without_an_outcome_does_not_say_that_the_request_has_not_run(
        self,
    ) -> None:
        """Another process may answer at the address of a VM that is gone."""
        await self.async_start()
        asked = 0

        async def async_answer(request: Request) -> Response:
            nonlocal asked
            asked += 1
            fields = Headers([(HEADER_OUTCOME, request.headers.get(HEADER_FORWARD) or "")])
            return json_response(self.status, {"error": {"code": "queue_full"}}, fields)

        strangers = [await async_serve(async_answer) for _ in range(2)]
        self._lead_to(*(f"127.0.0.1:{server.port}" for server in strangers))
        for number, self.status in enumerate((200, 403, 409, 429, 503), start=1):
            with self.subTest(status=self.status):
                self.assertEqual(await self._async_status("/book/1"), HTTPStatus.BAD_GATEWAY)
                self.assertEqual(asked, number)
        self.assertEqual(self._received(), [])
        for server in strangers:
            await server.async_close()

    async def test_peer_that_can_not_be_reached_is_skipped(self) -> None:
        await self.async_start(vm_count=3)
        self._lead_to("127.0.0.1:9", *(app.options.peer_listen for app in self.apps[1:2]))
        self.assertEqual(await self._async_status("/book/1"), HTTPStatus.OK)
        self._lead_to("127.0.0.1:9", "127.0.0.1:9")
        self.assertEqual(await self._async_status("/book/1"), HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertEqual(self.executions(f"attempt-{self._requests}"), 0)

    async def test_peer_that_stops_before_the_request_would_end_is_skipped(self) -> None:
        await self.async_start(vm_count=3)
        self._lead_to(*(app.options.peer_listen for app in self.apps[1:]))
        now_ms = monotonic_ms()
        self.taker.dispatcher.planned_stop.begin(now_ms, now_ms)
        self.assertEqual(await self._async_status("/book/1"), HTTPStatus.OK)

    async def test_failure_after_the_endpoint_ran_the_request_is_not_called_not_run(self) -> None:
        await self.async_start(desk=reset_after_run())
        self.assertEqual(await self._async_status("/book/1"), HTTPStatus.BAD_GATEWAY)
        self.assertEqual(self.executions(f"attempt-{self._requests}"), 1)

    async def test_repeats_of_a_safe_request_stay_within_its_attempts(self) -> None:
        await self.async_start(desk=answer(b"failed", "500 Internal Server Error"))
        self.assertEqual(await self._async_status("/look/1"), 500)
        self.assertLessEqual(self.executions(f"attempt-{self._requests}"), 2)

    async def test_draining_endpoint_gets_nothing_from_the_peer(self) -> None:
        await self.async_start()
        first = self.runners[0]
        await self.async_change_entry(first, "desk", "draining")
        for _ in range(10):
            self.assertTrue(await self.async_is_served(self.cut_off, "/look/1"))
        self.assertEqual(first.received, [])

    async def test_planned_stop_of_the_peer_lets_handed_on_requests_finish(self) -> None:
        await self.async_start(engine=stream(EVENTS, may_continue=lambda: asyncio.sleep(0.4)))
        reply = await self.async_ask(self.cut_off, "/chat/1")
        stop = asyncio.ensure_future(self.taker.async_stop())
        body = await reply.async_read(2_000)
        self.assertEqual(body.count(b"data: token"), EVENTS)
        await stop

    async def test_request_is_counted_for_repeats_once(self) -> None:
        await self.async_start()
        now_ms = monotonic_ms()
        before = [self._counted(app, now_ms) for app in (self.cut_off, self.taker)]
        self.assertEqual(await self._async_status("/book/1"), HTTPStatus.OK)
        after = [self._counted(app, now_ms) for app in (self.cut_off, self.taker)]
        self.assertEqual([after[0] - before[0], after[1] - before[1]], [0, 1])

    def _counted(self, app: GatewayApp, now_ms: int) -> int:
        return len(app.dispatcher.budget._recent(app.dispatcher.budget._requests, "desk", now_ms))

    def _lead_to(self, *addresses: str) -> None:
        """Let the cut VM hand requests on to these addresses."""
        template = next(iter(self.cut_off.fleet.live_members(monotonic_ms())))
        members: list[Member] = [replace(template, peer_address=item) for item in addresses]
        self.cut_off._forwarder._takers = lambda service: members

    async def _async_status(self, path: str) -> int:
        """Return the status of a request's complete answer at the cut VM."""
        reply = await self.async_ask(self.cut_off, path, b"body")
        await reply.async_read(1_000)
        return reply.status


if __name__ == "__main__":
    unittest.main()
