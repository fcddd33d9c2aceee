"""Tests of endpoints that cut an answer short and send other bytes where its rest is due.

They guard against bytes of a late answer, or of none, within the answer that a caller gets.
"""

from __future__ import annotations

from itertools import product

from tests.standins.late_answers import (
    answer_then_surplus,
    cut_then_second_answer,
    unframed_stream,
)
from tests.standins.runner import answer, extra_answer, response_head, stream, write_parts
from tests.wagtailusher_platform.fleet import PlatformTest
from tests.wagtailusher_platform.test_answer_ownership import events
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerTruncatedError

BODY = b"".join(b"line %d of the own answer\n" % number for number in range(20))
QUOTE = b"GET / gave HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nand a body"


class BrokenStreamTest(PlatformTest):
    """Base class of tests of streams that break."""

    async def async_expect_broken(self, app: GatewayApp, whole: bytes) -> None:
        """Check that a stream fails, or breaks off after a part of its own events."""
        reply = await self.async_ask(app, "/chat/", b"p")
        if reply.status != 200:
            self.assertEqual(reply.status, 502)
            return
        received = bytearray()
        with self.assertRaises(AnswerTruncatedError):
            async for part in reply.iter_chunks():
                received += part
        self.assertEqual(bytes(received), whole[: len(received)])


class CutAnswerTest(BrokenStreamTest):
    """A second answer behind a cut one is not relayed as its rest."""

    async def test_second_answer_does_not_fill_the_rest_of_a_cut_body(self) -> None:
        """The cut is before, within and behind the place where the other head would end."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        cuts = (0, 4, len(BODY) - 120, len(BODY) - 40, len(BODY) - 18, len(BODY) - 3)
        for cut_bytes, late, is_chunked in product(cuts, (False, True), (False, True)):
            with self.subTest(cut_bytes=cut_bytes, late=late, is_chunked=is_chunked):
                runners[0].behaviours = [
                    cut_then_second_answer(BODY, cut_bytes, late=late, is_chunked=is_chunked)
                ]
                self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_second_answer_in_parts_does_not_fill_the_rest_of_a_cut_body(self) -> None:
        """The rest of the other status line arrives after the body's declared end."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        for rest_bytes in (1, 5, 12, 17, 30):
            with self.subTest(rest_bytes=rest_bytes):
                runners[0].behaviours = [
                    cut_then_second_answer(
                        BODY, len(BODY) - rest_bytes, late=True, split=rest_bytes
                    )
                ]
                self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_cut_body_with_a_second_answer_is_repeated_elsewhere(self) -> None:
        """A request that may be repeated gets its answer from the other endpoint."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),), (answer(),))
        shared = [cut_then_second_answer(BODY, 10, late=True), answer(BODY)]
        for runner in runners:
            runner.behaviours = shared
        reply = await self.async_ask(app, "/look/")
        self.assertEqual((reply.status, await reply.async_read()), (200, BODY))

    async def test_second_answer_does_not_fill_the_rest_of_a_cut_event(self) -> None:
        """The caller gets its own events before the cut, and no complete answer."""
        whole = events(1, 30)
        app, runners = await self.async_endpoints_and_gateway("engines", (stream(1),))
        cuts = (len(events(1, 2)), len(events(1, 2)) + 4, len(events(1, 2)) + 13)
        for cut_bytes, late, is_chunked in product(cuts, (False, True), (False, True)):
            with self.subTest(cut_bytes=cut_bytes, late=late, is_chunked=is_chunked):
                runners[0].behaviours = [
                    cut_then_second_answer(whole, cut_bytes, late=late, is_chunked=is_chunked)
                ]
                await self.async_expect_broken(app, whole)

    async def test_second_answer_does_not_fill_the_rest_of_a_cut_first_event(self) -> None:
        """Nothing was relayed yet, so the request is sent elsewhere."""
        cut = cut_then_second_answer(events(1, 30), 4, is_chunked=True)
        app, _ = await self.async_endpoints_and_gateway(
            "engines", (cut, stream(30)), (cut, stream(30))
        )
        reply = await self.async_ask(app, "/review/", b"p")
        self.assertEqual(await reply.async_read(), events(1, 30))


class GarbageTest(BrokenStreamTest):
    """Bytes that belong to no answer are not relayed as part of one."""

    async def test_garbage_behind_a_stream_without_length_is_not_relayed_as_an_event(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("engines", (stream(1),))
        for garbage in (b"garbage\n\n", b"\x16\x03\x01\n\n", b"data: more\n\n", b"id: x\n\n"):
            with self.subTest(garbage=garbage):
                runners[0].behaviours = [unframed_stream(3, rest=garbage)]
                await self.async_expect_broken(app, events(1, 3))

    async def test_garbage_behind_a_length_makes_the_body_before_it_doubtful(self) -> None:
        """It may be the end of other bytes that filled the rest of a cut body."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        runners[0].behaviours = [answer_then_surplus(BODY, b"\x16\x03\x01\x00")]
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_whole_answer_before_another_response_is_relayed(self) -> None:
        """Bytes that begin a response show that the body before them is whole."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        for behaviour in (extra_answer(BODY), answer_then_surplus(BODY, b"\r\nHTTP/1.")):
            runners[0].behaviours = [behaviour]
            reply = await self.async_ask(app, "/book/", b"x")
            self.assertEqual((reply.status, await reply.async_read()), (200, BODY))

    async def test_answer_that_quotes_a_response_is_relayed(self) -> None:
        """A quoted head doesn't state the identifier of a request."""
        quoting = write_parts(
            lambda request: [
                response_head(request, "200 OK", f"Content-Length: {len(QUOTE)}") + QUOTE
            ]
        )
        app, _ = await self.async_endpoints_and_gateway("desk", (quoting,))
        reply = await self.async_ask(app, "/book/", b"x")
        self.assertEqual((reply.status, await reply.async_read()), (200, QUOTE))
