"""Tests that a caller's answer consists of bytes of its own request's answer only.

They guard against bytes that a failed attempt, a late answer or a second answer leaves behind.
"""

from __future__ import annotations

import asyncio

from tests.standins.late_answers import (
    refused_then_repeated_late,
    unframed_stream,
    unframed_stream_then_second_answer,
    unframed_then_second_answer,
    unidentified_then_answer,
)
from tests.standins.runner import answer, mismatched_then_answer, silent, stream, unframed
from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_http import AnswerTruncatedError


def events(first: int, last: int) -> bytes:
    """Return a range of the stand-in's events."""
    return b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(first, last + 1))


class FailedAttemptTest(PlatformTest):
    """What a failed attempt leaves behind does not reach the caller."""

    async def test_part_of_a_failed_first_event_is_not_joined_to_the_next_endpoints_event(
        self,
    ) -> None:
        """Two endpoints fail within their first event; the third attempt serves the request."""
        failing = stream(10, cut_after=0, within_event=True)
        app, runners = await self.async_endpoints_and_gateway(
            "engines", (failing, stream(10)), (failing, stream(10))
        )
        reply = await self.async_ask(app, "/review/", b"p")
        self.assertEqual(await reply.async_read(), events(1, 10))
        self.assertEqual(sum(len(runner.executed_ids) for runner in runners), 3)

    async def test_stream_that_closes_within_its_first_event_is_tried_elsewhere(self) -> None:
        """The end of a connection within the first event is a failed attempt, not an answer."""
        failing = unframed_stream(0, rest=b"id: 1\nda")
        app, _ = await self.async_endpoints_and_gateway(
            "engines", (failing, stream(10)), (failing, stream(10))
        )
        reply = await self.async_ask(app, "/review/", b"p")
        self.assertEqual(await reply.async_read(), events(1, 10))

    async def test_refusal_repeated_late_is_not_taken_for_the_answer_to_a_retry(self) -> None:
        """The retry has the same identifier, so it must not share the refusal's connection."""
        app, runners = await self.async_endpoints_and_gateway(
            "desk", refused_then_repeated_late(b"mine")
        )
        reply = await self.async_ask(app, "/look/")
        self.assertEqual((reply.status, await reply.async_read()), (200, b"mine"))
        self.assertEqual(len(runners[0].executed_ids), 1)

    async def test_refusal_after_a_failed_attempt_does_not_say_that_the_request_has_not_run(
        self,
    ) -> None:
        """The first attempt may have run; no endpoint is left for another one."""
        app, runners = await self.async_endpoints_and_gateway("desk", (silent(),))
        asking = asyncio.ensure_future(self.async_ask(app, "/look/"))
        await self.async_until(lambda: len(runners[0].executed_ids) == 1)
        self.store.remove("servers/i-1")
        await self.async_until(lambda: not app.view_cache.view.endpoints)
        await runners[0].async_stop()
        reply = await asking
        self.assertEqual(reply.status, 502)


class LateAnswerTest(PlatformTest):
    """Late and second answers do not reach callers."""

    async def test_second_answer_behind_a_stream_without_length_is_not_relayed(self) -> None:
        """The caller gets its own events and no complete answer, as its end is unknown."""
        app, runners = await self.async_endpoints_and_gateway("engines", (stream(1),))
        for late in (False, True):
            with self.subTest(late=late):
                runners[0].behaviours = [unframed_stream_then_second_answer(3, late=late)]
                reply = await self.async_ask(app, "/chat/", b"p")
                with self.assertRaises(AnswerTruncatedError):
                    await reply.async_read()

    async def test_second_answer_behind_a_body_without_length_is_not_relayed(self) -> None:
        """A body with another answer in it is a failure, early or late."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        for late in (False, True):
            with self.subTest(late=late):
                runners[0].behaviours = [unframed_then_second_answer(b"a", b"a", late=late)]
                self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_torn_second_answer_behind_a_body_without_length_is_not_relayed(self) -> None:
        """The connection may end within the other answer's head."""
        torn = b"mineHTTP/1.1 200 OK\r\nX-Atte"
        app, _ = await self.async_endpoints_and_gateway("desk", (unframed(torn),))
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_answer_without_identifier_is_not_relayed(self) -> None:
        """An answer that does not state its request may be a late one to another request."""
        app, _ = await self.async_endpoints_and_gateway(
            "desk", (unidentified_then_answer(b"mine"),)
        )
        reply = await self.async_ask(app, "/book/", b"x")
        self.assertEqual(reply.status, 502)

    async def test_connection_with_an_answer_to_another_request_is_not_used_again(self) -> None:
        """More bytes of the other answer may follow."""
        app, runners = await self.async_endpoints_and_gateway(
            "desk", (mismatched_then_answer(b"mine"),)
        )
        for _ in range(3):
            reply = await self.async_ask(app, "/book/", b"x")
            self.assertEqual((reply.status, await reply.async_read()), (200, b"mine"))
        self.assertEqual(runners[0].connections, 3)
