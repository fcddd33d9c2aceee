"""Tests of endpoints that stop within the head of an answer.

They guard against a success with an empty or short body that looks whole to its caller.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from itertools import product
import unittest

from tests.standins.late_answers import STREAM_FIELDS
from tests.standins.runner import (
    Behaviour,
    Received,
    RunnerStandin,
    answer,
    chunk,
    reset_connection,
    response_head,
    stream,
    token_event,
)
from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import HttpError

BODY = b"line of the own answer\n" * 20
PAUSE_S = 1.1
ENDS = ("close", "reset")
FRAMINGS: dict[str, tuple[tuple[str, ...], bytes]] = {
    "length": ((f"Content-Length: {len(BODY)}",), BODY),
    "no body": (("Content-Length: 0",), b""),
    "chunks": (("Transfer-Encoding: chunked",), chunk(BODY) + b"0\r\n\r\n"),
    "close": (("Connection: close",), BODY),
}
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def head_cuts(head: bytes) -> Iterator[int]:
    """Yield where a head is cut: in the status line, at each line's end and before its own end."""
    yield from (0, 1, 9, 12)
    line_end = head.find(b"\r\n")
    while line_end >= 0 and line_end + 2 < len(head):
        yield from (line_end, line_end + 1, line_end + 2)
        line_end = head.find(b"\r\n", line_end + 2)
    yield len(head) - 1


def few_cuts(head: bytes) -> tuple[int, ...]:
    """Return a few of them, for requests whose repeats have a budget."""
    return 12, len(head) // 2, len(head) - 2


def cut_head(
    cut_bytes: int, fields: tuple[str, ...], *, end: str, before: bytes = b"", pause_s: float = 0.0
) -> Behaviour:
    """Execute the request, write a part of its answer's head, and end the connection."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        sent = before + response_head(request, "200 OK", *fields)[:cut_bytes]
        writer.write(sent)
        await writer.drain()
        await asyncio.sleep(pause_s or 0.002)
        if end == "reset":
            reset_connection(writer)
        return False

    return behave


def head_of(fields: tuple[str, ...]) -> bytes:
    """Return an answer's head as long as the ones that are cut."""
    request = Received(method="POST", target="/", headers={"x-attempt-id": "attempt-1"}, body=b"")
    return response_head(request, "200 OK", *fields)


class CutHeadTest(PlatformTest):
    """No part of a head brings a caller a success."""

    async def _async_check_all(
        self, app: GatewayApp, set_behaviour: Callable[[Behaviour], None], *, before: bytes = b""
    ) -> None:
        """Check all framings, cuts and ends."""
        for (name, (fields, _)), end in product(FRAMINGS.items(), ENDS):
            for cut_bytes in head_cuts(head_of(fields)):
                with self.subTest(framing=name, end=end, cut_bytes=cut_bytes):
                    set_behaviour(cut_head(cut_bytes, fields, end=end, before=before))
                    self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_half_a_head_on_a_new_connection_is_no_answer(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))

        def set_behaviour(behaviour: Behaviour) -> None:
            runners[0].behaviours = [behaviour]

        await self._async_check_all(app, set_behaviour)

    async def test_half_a_head_after_a_whole_answer_is_no_answer(self) -> None:
        """Both requests are sent on the same connection."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        for (name, (fields, body)), end in product(FRAMINGS.items(), ENDS):
            if name == "close":
                continue
            for cut_bytes in head_cuts(head_of(fields)):
                with self.subTest(framing=name, end=end, cut_bytes=cut_bytes):
                    whole = BODY if body else b""
                    runners[0].behaviours = [answer(whole), cut_head(cut_bytes, fields, end=end)]
                    reply = await self.async_ask(app, "/book/", b"x")
                    self.assertEqual((reply.status, await reply.async_read()), (200, whole))
                    reply = await self.async_ask(app, "/book/", b"x")
                    self.assertEqual(reply.status, 502)

    async def test_half_a_head_behind_an_informational_one_is_no_answer(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))

        def set_behaviour(behaviour: Behaviour) -> None:
            runners[0].behaviours = [behaviour]

        await self._async_check_all(app, set_behaviour, before=INFORMATIONAL)

    async def test_half_an_informational_head_is_no_answer(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        for end, cut_bytes in product(ENDS, head_cuts(INFORMATIONAL)):
            with self.subTest(end=end, cut_bytes=cut_bytes):
                before = INFORMATIONAL[:cut_bytes]
                runners[0].behaviours = [cut_head(0, (), end=end, before=before)]
                self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_half_a_head_before_a_pause_is_no_answer(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        for (name, (fields, _)), end in product(FRAMINGS.items(), ENDS):
            with self.subTest(framing=name, end=end):
                head_bytes = len(head_of(fields))
                runners[0].behaviours = [cut_head(head_bytes - 2, fields, end=end, pause_s=PAUSE_S)]
                self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_safe_request_gets_its_whole_answer_from_another_endpoint(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),), (answer(),))
        for (name, (fields, _)), end in product(FRAMINGS.items(), ENDS):
            for cut_bytes in few_cuts(head_of(fields)):
                with self.subTest(framing=name, end=end, cut_bytes=cut_bytes):
                    shared = [cut_head(cut_bytes, fields, end=end), answer(BODY)]
                    for runner in runners:
                        runner.behaviours = shared
                    reply = await self.async_ask(app, "/look/")
                    self.assertEqual((reply.status, await reply.async_read()), (200, BODY))

    async def test_half_a_head_of_a_stream_is_no_answer(self) -> None:
        app, runners = await self.async_endpoints_and_gateway("engines", (stream(1),))
        for fields, end in product((STREAM_FIELDS, (*FRAMINGS["chunks"][0], *STREAM_FIELDS)), ENDS):
            for cut_bytes in head_cuts(head_of(fields)):
                with self.subTest(fields=fields, end=end, cut_bytes=cut_bytes):
                    runners[0].behaviours = [cut_head(cut_bytes, fields, end=end)]
                    self.assertEqual((await self.async_ask(app, "/chat/", b"p")).status, 502)

    async def test_half_a_head_of_a_resumed_stream_does_not_complete_it(self) -> None:
        """The first endpoint breaks off after an event, and the next two within their heads."""
        app, runners = await self.async_endpoints_and_gateway(
            "engines", (stream(3),), (stream(3),), (stream(3),)
        )
        fields = (*FRAMINGS["chunks"][0], *STREAM_FIELDS)
        for end in ENDS:
            for cut_bytes in few_cuts(head_of(fields)):
                with self.subTest(end=end, cut_bytes=cut_bytes):
                    shared = [stream(3, cut_after=1), cut_head(cut_bytes, fields, end=end)]
                    for runner in runners:
                        runner.behaviours = shared
                        runner.received.clear()
                    await self._async_expect_broken(app)
                    self.assertGreater(sum(len(runner.received) for runner in runners), 1)

    async def _async_expect_broken(self, app: GatewayApp) -> None:
        """Check that a stream has its first event only, and no end."""
        reply = await self.async_ask(app, "/review/", b"p")
        received = bytearray()
        with self.assertRaises(HttpError):
            async for part in reply.iter_chunks():
                received += part
        own = Received(method="POST", target="/", headers={}, body=b"")
        self.assertEqual(bytes(received), token_event(own, 1))


if __name__ == "__main__":
    unittest.main()
