"""Tests of streams at endpoints of several software versions.

They guard against a stream that goes on at another version than the one that began it.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from tests.standins.runner import RunnerStandin, stream
from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerTruncatedError, ClientAnswer

EVENT_COUNT = 4
WHOLE = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, EVENT_COUNT + 1))
OTHERS = 4
"""Endpoints of another version; so many that a choice without the version rarely avoids them."""
STREAMS = 4
READ_MS = 2_000


async def async_first_chunk(answer: ClientAnswer) -> bytes:
    """Return the first part of a body and leave the rest unread."""
    chunks: list[bytes] = []

    def take(chunk: bytes) -> bool:
        chunks.append(chunk)
        return False

    await answer.async_relay_body(take, READ_MS)
    return b"".join(chunks)


class StreamVersionTest(PlatformTest):
    """Streams begin at v1, and endpoints of v2 join."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.may_continue = asyncio.Event()
        self.others: list[RunnerStandin] = []

    async def async_gated_runner(self, instance_id: str, cut_after: int) -> RunnerStandin:
        """Start an endpoint of v1 whose streams are cut once they may go on after event 1."""
        sent: dict[str, int] = {}

        async def async_after_first() -> None:
            task = str(id(asyncio.current_task()))
            sent[task] = sent.get(task, 0) + 1
            if sent[task] > 1:
                await self.may_continue.wait()

        behaviour = stream(EVENT_COUNT, cut_after=cut_after, may_continue=async_after_first)
        return await self.async_runner("engines", instance_id, behaviour, version="v1")

    async def async_add_others(self) -> None:
        """Start the endpoints of v2."""
        for number in range(OTHERS):
            runner = await self.async_runner(
                "engines", f"i-other-{number}", stream(EVENT_COUNT), version="v2"
            )
            self.others.append(runner)

    async def async_two_gateways(self, endpoints: int) -> tuple[GatewayApp, GatewayApp]:
        """Start gateways in two failure domains and wait until they know each other."""
        first = await self.async_gateway(1, zone="a")
        second = await self.async_gateway(2, zone="b")
        for app in (first, second):
            await self.async_ready(app, endpoints)
            await self.async_has_peer(app)
        return first, second

    async def async_has_peer(self, app: GatewayApp) -> None:
        """Wait until a gateway has one live peer."""
        await self.async_until(lambda: len(app.fleet.live_members(monotonic_ms())) == 1)

    async def async_gone(self, app: GatewayApp, endpoint_id: str) -> None:
        """Wait until a gateway's view has an endpoint no longer."""
        await self.async_until(lambda: endpoint_id not in app.view_cache.view.endpoints)

    async def async_resume(self, app: GatewayApp, **fields: str) -> ClientAnswer:
        """Resume a stream after its first event."""
        return await self.async_ask(app, "/review/1", b"prompt", last_event_id="1", **fields)

    async def async_begin(self, app: GatewayApp, attempt_id: str) -> ClientAnswer:
        """Begin a stream and read its first event."""
        reply = await self.async_ask(app, "/review/1", b"prompt", x_attempt_id=attempt_id)
        self.assertIn(b"id: 1\n", await async_first_chunk(reply))
        return reply

    def assert_not_sent_to_others(self) -> None:
        """Assert that no endpoint of v2 received a request."""
        self.assertEqual([runner.received for runner in self.others], [[]] * OTHERS)

    def assert_refused(self, reply: ClientAnswer) -> None:
        """Assert that a request was refused with a delay, as not run."""
        self.assertEqual(reply.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertIsNotNone(reply.headers.get("retry-after"))

    async def test_broken_stream_goes_on_at_the_version_that_began_it(self) -> None:
        await self.async_gated_runner("i-1", cut_after=2)
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        await self.async_settled(app)
        replies = [await self.async_begin(app, f"begun-{number}") for number in range(STREAMS)]
        await self.async_add_others()
        same = await self.async_runner("engines", "i-2", stream(EVENT_COUNT), version="v1")
        await self.async_ready(app, OTHERS + 2)
        self.may_continue.set()
        for reply in replies:
            self.assertTrue(WHOLE.endswith(await reply.async_read()))
        self.assert_not_sent_to_others()
        self.assertEqual(len(same.executed_ids), STREAMS)

    async def test_broken_stream_ends_when_the_version_that_began_it_is_gone(self) -> None:
        await self.async_gated_runner("i-1", cut_after=2)
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        await self.async_settled(app)
        reply = await self.async_begin(app, "begun")
        await self.async_add_others()
        self.store.remove("servers/i-1")
        await self.async_gone(app, "i-1")
        await self.async_ready(app, OTHERS)
        self.may_continue.set()
        with self.assertRaises(AnswerTruncatedError):
            await reply.async_read()
        self.assert_not_sent_to_others()

    async def test_callers_resume_goes_on_at_the_version_that_began_after_its_vm_stopped(
        self,
    ) -> None:
        await self.async_gated_runner("i-1", cut_after=EVENT_COUNT)
        first, second = await self.async_two_gateways(1)
        for number in range(STREAMS):
            await self.async_begin(first, f"begun-{number}")
        await self.async_kill(first)
        await self.async_add_others()
        same = await self.async_runner("engines", "i-2", stream(EVENT_COUNT), version="v1")
        self.store.remove("servers/i-1")
        await self.async_gone(second, "i-1")
        await self.async_ready(second, OTHERS + 1)
        for number in range(STREAMS):
            reply = await self.async_resume(second, resumes=f"begun-{number}")
            self.assertEqual(reply.status, HTTPStatus.OK)
            self.assertTrue(WHOLE.endswith(await reply.async_read()))
        self.assert_not_sent_to_others()
        self.assertEqual(len(same.executed_ids), STREAMS)

    async def test_resume_that_names_no_attempt_goes_on_at_the_version_that_began(self) -> None:
        await self.async_gated_runner("i-1", cut_after=EVENT_COUNT)
        first, second = await self.async_two_gateways(1)
        await self.async_begin(first, "begun")
        await self.async_kill(first)
        await self.async_add_others()
        same = await self.async_runner("engines", "i-2", stream(EVENT_COUNT), version="v1")
        self.store.remove("servers/i-1")
        await self.async_gone(second, "i-1")
        await self.async_ready(second, OTHERS + 1)
        reply = await self.async_resume(second)
        self.assertEqual(reply.status, HTTPStatus.OK)
        self.assertTrue(WHOLE.endswith(await reply.async_read()))
        self.assert_not_sent_to_others()
        self.assertEqual(len(same.executed_ids), 1)

    async def test_resume_of_another_request_does_not_go_on_by_its_content(self) -> None:
        await self.async_gated_runner("i-1", cut_after=EVENT_COUNT)
        first, second = await self.async_two_gateways(1)
        await self.async_begin(first, "begun")
        await self.async_add_others()
        await self.async_ready(second, OTHERS + 1)
        reply = await self.async_ask(second, "/review/1", b"other prompt", last_event_id="1")
        self.assert_refused(reply)
        self.assert_not_sent_to_others()

    async def test_callers_resume_is_refused_when_the_version_that_began_is_unknown(self) -> None:
        same = await self.async_runner("engines", "i-1", stream(EVENT_COUNT), version="v1")
        await self.async_add_others()
        for app in await self.async_two_gateways(OTHERS + 1):
            self.assert_refused(await self.async_resume(app, resumes="unknown"))
            self.assert_refused(await self.async_resume(app))
        self.assert_not_sent_to_others()
        self.assertEqual(same.received, [])

    async def test_callers_resume_is_refused_when_the_version_that_began_is_gone(self) -> None:
        await self.async_gated_runner("i-1", cut_after=EVENT_COUNT)
        first, second = await self.async_two_gateways(1)
        await self.async_begin(first, "begun")
        await self.async_add_others()
        self.store.remove("servers/i-1")
        for app in (first, second):
            await self.async_gone(app, "i-1")
            await self.async_ready(app, OTHERS)
            self.assert_refused(await self.async_resume(app, resumes="begun"))
        self.assert_not_sent_to_others()
