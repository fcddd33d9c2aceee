"""End-to-end tests of endpoints that cut an answer and send other bytes where its rest is due.

They guard against bytes of a late answer, or of none, within the answer that a caller gets.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from itertools import product
import json
from typing import Any
import unittest

from tests.standins.raw_endpoint import (
    RawEngine,
    RawRequest,
    RawService,
    Reply,
    cut_then_second,
    response,
)
from tests.wagtailusher_daemon.fleet import MODEL, Fleet
from wagtailusher_core import RequestId, VmId, WagtailusherError
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_http import (
    AnswerTruncatedError,
    ClientAnswer,
    Headers,
    HttpClient,
    Request,
    Response,
    async_serve,
)
from wagtailusher_router import Forward, ForwardReason

EVENT_STREAM = "text/event-stream"
END_MARKER = b"data: [DONE]\n\n"
EVENTS = tuple(b'data: {"text": "own %d"}\n\n' % number for number in range(20))
OWN_STREAM = b"".join(EVENTS) + END_MARKER
OWN_JSON = json.dumps({"object": "chat.completion", "text": "own answer " * 20}).encode()
OWN_TEXT = b"".join(b"line %d of the own answer\n" % number for number in range(20))
QUOTE = b"GET / gave HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nand a body"
LATE_S = 0.02
TIMEOUT_S = 10

Parts = Callable[[RawRequest], tuple[bytes, ...]]


def cuts(body: bytes) -> tuple[int, ...]:
    """Return where a body is cut, so that another head ends within, at and behind its rest."""
    return (0, 4, len(body) - 150, len(body) - 60, len(body) - 16, len(body) - 3)


def write_parts(parts: Parts, *, late: bool = False, end: str = "keep") -> Reply:
    """Return a reply that writes parts, with pauses if late, and then closes or resets."""

    async def reply(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        for number, part in enumerate(parts(request)):
            if late and number:
                await asyncio.sleep(LATE_S)
            writer.write(part)
            await writer.drain()
        if end == "close":
            writer.close()
        elif end == "reset":
            await asyncio.sleep(LATE_S)
            writer.transport.abort()

    return reply


def without_resume(parts: Parts) -> Parts:
    """Return parts that are the answers to all requests but those to resume a stream."""

    def answer(request: RawRequest) -> tuple[bytes, ...]:
        if request.method == "GET":
            return (response(b"", request.request_id, status="404 Not Found"),)
        return parts(request)

    return answer


class CutAnswerCase(unittest.IsolatedAsyncioTestCase):
    """Base class with two engines and two services whose replies a test sets."""

    async def asyncSetUp(self) -> None:
        self.count = 0
        """Requests so far; each is another one, as one that crashes endpoints is quarantined."""
        silent = write_parts(lambda request: ())
        self.engines = [RawEngine(f"engine-{number}", silent) for number in (0, 1)]
        self.services = [RawService(f"booking-{number}", silent) for number in (0, 1)]
        self.fleet = Fleet(vm_count=1, engine_count=0)
        self.fleet.engines = [*self.engines]
        self.fleet.booking = self.services[0]
        self.fleet.more_services = [self.services[1]]
        await self.fleet.async_start()
        self.addAsyncCleanup(self.fleet.async_stop)

    def set_reply(self, reply: Reply) -> None:
        """Let all endpoints reply alike."""
        for engine in self.engines:
            engine.server.reply = reply
        for service in self.services:
            service.server.reply = reply

    async def async_chat(self, *, stream: bool) -> tuple[int, bytes, bool]:
        """Request a chat completion; return its status, its body and whether that is complete."""
        self.count += 1
        messages = [{"role": "user", "content": f"question {self.count}"}]
        value = {"model": MODEL, "stream": stream, "messages": messages}
        return await self.async_receive("/v1/chat/completions", value)

    async def async_receive(self, path: str, value: Any) -> tuple[int, bytes, bool]:
        """Send a request; return its status, its body and whether that is complete."""
        async with asyncio.timeout(TIMEOUT_S):
            return await _async_read(await self.fleet.async_post(path, value))

    async def async_expect_broken_stream(self) -> None:
        """Check that a stream fails, or breaks off behind a part of its own events."""
        status, body, is_complete = await self.async_chat(stream=True)
        if status != 200:
            self.assertEqual(status, 502)
            return
        self.assertEqual(body, OWN_STREAM[: len(body)])
        self.assertFalse(is_complete and body != OWN_STREAM, body)

    async def async_expect_failed_call(self) -> None:
        """Check that a call to a service fails before any byte of an answer is relayed."""
        self.count += 1
        status, body, _ = await self.async_receive(f"/services/stock/{self.count}", {})
        self.assertEqual(status, 502, body)


async def _async_read(answer: ClientAnswer) -> tuple[int, bytes, bool]:
    """Return an answer's status, the received part of its body, and whether that is all."""
    received = bytearray()
    try:
        async for chunk in answer.iter_chunks():
            received += chunk
    except WagtailusherError:
        return answer.status, bytes(received), False
    return answer.status, bytes(received), True


class CutStreamTest(CutAnswerCase):
    """Bytes that are no event of a stream are not relayed within it."""

    async def test_second_answer_does_not_fill_the_rest_of_a_cut_stream(self) -> None:
        """The cuts are before, at and within events, and near the stream's end."""
        places = (len(b"".join(EVENTS[:2])), 4, *cuts(OWN_STREAM))
        for cut_bytes, late, is_chunked in product(places, (False, True), (False, True)):
            with self.subTest(cut_bytes=cut_bytes, late=late, is_chunked=is_chunked):

                def parts(
                    request: RawRequest, cut_bytes: int = cut_bytes, is_chunked: bool = is_chunked
                ) -> tuple[bytes, ...]:
                    return cut_then_second(
                        OWN_STREAM,
                        cut_bytes,
                        request.request_id,
                        content_type=EVENT_STREAM,
                        is_chunked=is_chunked,
                    )

                self.set_reply(write_parts(without_resume(parts), late=late))
                await self.async_expect_broken_stream()

    async def test_garbage_within_a_stream_is_not_relayed_as_an_event(self) -> None:
        """The end marker behind it doesn't make the stream complete."""
        for garbage, has_length in product(
            (b"garbage\n\n", b"\x16\x03\x01\n\n", b"own 1\n\n"), (True, False)
        ):
            with self.subTest(garbage=garbage, has_length=has_length):
                body = b"".join(EVENTS[:3]) + garbage + END_MARKER

                def parts(
                    request: RawRequest, body: bytes = body, has_length: bool = has_length
                ) -> tuple[bytes, ...]:
                    return (
                        response(
                            body,
                            request.request_id,
                            content_type=EVENT_STREAM,
                            has_length=has_length,
                        ),
                    )

                end = "keep" if has_length else "close"
                self.set_reply(write_parts(without_resume(parts), end=end))
                await self.async_expect_broken_stream()

    async def test_garbage_before_the_first_event_is_tried_elsewhere(self) -> None:
        async def reply(request: RawRequest, writer: asyncio.StreamWriter) -> None:
            body = OWN_STREAM if failed else b"garbage\n\n" + OWN_STREAM
            failed.append(request.request_id)
            writer.write(response(body, request.request_id, content_type=EVENT_STREAM))

        failed: list[str] = []
        self.set_reply(reply)
        self.assertEqual(await self.async_chat(stream=True), (200, OWN_STREAM, True))

    async def test_stream_is_resumed_behind_the_event_that_precedes_other_bytes(self) -> None:
        """The cuts are at and within the second event."""
        for is_chunked, cut_bytes in product((False, True), (len(EVENTS[0]), len(EVENTS[0]) + 9)):
            with self.subTest(is_chunked=is_chunked, cut_bytes=cut_bytes):

                def parts(
                    request: RawRequest, is_chunked: bool = is_chunked, cut_bytes: int = cut_bytes
                ) -> tuple[bytes, ...]:
                    if request.method == "GET":
                        offset = int(request.target.rpartition("=")[2])
                        rest = b"".join((*EVENTS, END_MARKER)[offset:])
                        return (response(rest, request.request_id, content_type=EVENT_STREAM),)
                    return cut_then_second(
                        OWN_STREAM,
                        cut_bytes,
                        request.request_id,
                        content_type=EVENT_STREAM,
                        is_chunked=is_chunked,
                    )

                self.set_reply(write_parts(parts, late=True))
                self.assertEqual(await self.async_chat(stream=True), (200, OWN_STREAM, True))


class CutWholeAnswerTest(CutAnswerCase):
    """A cut answer that is no stream is not relayed, whatever fills its rest."""

    async def test_second_answer_does_not_fill_the_rest_of_an_engines_cut_answer(self) -> None:
        for cut_bytes, late, is_chunked in product(cuts(OWN_JSON), (False, True), (False, True)):
            with self.subTest(cut_bytes=cut_bytes, late=late, is_chunked=is_chunked):

                def parts(
                    request: RawRequest, cut_bytes: int = cut_bytes, is_chunked: bool = is_chunked
                ) -> tuple[bytes, ...]:
                    return cut_then_second(
                        OWN_JSON, cut_bytes, request.request_id, is_chunked=is_chunked
                    )

                self.set_reply(write_parts(parts, late=late))
                status, body, _ = await self.async_chat(stream=False)
                self.assertEqual(status, 502, body)

    async def test_cut_answer_is_repeated_elsewhere(self) -> None:
        """Nothing was relayed yet, so a request that may be repeated is."""
        cut: list[str] = []

        def parts(request: RawRequest) -> tuple[bytes, ...]:
            if cut:
                return (response(OWN_JSON, request.request_id),)
            cut.append(request.request_id)
            return cut_then_second(OWN_JSON, 10, request.request_id)

        self.set_reply(write_parts(parts))
        self.assertEqual(await self.async_chat(stream=False), (200, OWN_JSON, True))

    async def test_end_of_the_connection_does_not_complete_a_cut_answer(self) -> None:
        """A length or chunks tell where the answer ends."""
        for end, is_chunked in product(("close", "reset"), (False, True)):
            with self.subTest(end=end, is_chunked=is_chunked):

                def parts(request: RawRequest, is_chunked: bool = is_chunked) -> tuple[bytes, ...]:
                    own = cut_then_second(OWN_JSON, 40, request.request_id, is_chunked=is_chunked)
                    return own[:1]

                self.set_reply(write_parts(parts, end=end))
                status, body, _ = await self.async_chat(stream=False)
                self.assertEqual(status, 502, body)
                await self.async_expect_failed_call()

    async def test_second_answer_does_not_fill_the_rest_of_a_services_cut_answer(self) -> None:
        """Services need not state the request in their answers."""
        for cut_bytes, late, is_chunked, has_id in product(
            cuts(OWN_TEXT), (False, True), (False, True), (False, True)
        ):
            with self.subTest(cut_bytes=cut_bytes, late=late, chunked=is_chunked, has_id=has_id):
                self._cut_service(cut_bytes, late=late, is_chunked=is_chunked, has_id=has_id)
                await self.async_expect_failed_call()

    async def test_second_answer_does_not_fill_the_rest_of_an_answer_that_is_kept(self) -> None:
        """The outcome of a request that may not be repeated is unknown then."""
        for cut_bytes, is_chunked, has_id in product(cuts(OWN_TEXT), (False, True), (False, True)):
            with self.subTest(cut_bytes=cut_bytes, chunked=is_chunked, has_id=has_id):
                self._cut_service(cut_bytes, late=False, is_chunked=is_chunked, has_id=has_id)
                ticket = await self.fleet.async_ticket()
                status, value = await self.fleet.async_book("b", ticket)
                self.assertEqual((status, value["error"]["outcome"]), (502, "unknown"))

    async def test_second_answer_in_parts_does_not_fill_the_rest_of_a_cut_answer(self) -> None:
        """Its first part ends with the declared length, so nothing follows the body at first."""
        for rest_bytes, has_id in product((1, 5, 12, 17, 30, 120), (False, True)):
            with self.subTest(rest_bytes=rest_bytes, has_id=has_id):

                def parts(
                    request: RawRequest, rest_bytes: int = rest_bytes, has_id: bool = has_id
                ) -> tuple[bytes, ...]:
                    cut, second = cut_then_second(
                        OWN_TEXT,
                        len(OWN_TEXT) - rest_bytes,
                        request.request_id if has_id else None,
                        content_type="text/plain",
                    )
                    return cut, second[:rest_bytes], second[rest_bytes:]

                self.set_reply(write_parts(parts, late=True))
                await self.async_expect_failed_call()
                ticket = await self.fleet.async_ticket()
                status, value = await self.fleet.async_book("b", ticket)
                self.assertEqual((status, value["error"]["outcome"]), (502, "unknown"))

    async def test_services_answer_that_quotes_a_response_is_relayed(self) -> None:
        """An answer that states its request tells a quoted response from another answer."""
        self.set_reply(write_parts(lambda request: (response(QUOTE, request.request_id),)))
        received = await self.async_receive("/services/stock/x", {})
        self.assertEqual(received, (200, QUOTE, True))

    async def test_large_answer_of_a_service_is_relayed_to_a_slow_caller(self) -> None:
        """It is read whole before its first byte is relayed."""
        body = OWN_TEXT * 12_000
        self.set_reply(write_parts(lambda request: (response(body, request.request_id),)))
        answer = await self.fleet.async_post("/services/stock/x", {})
        await asyncio.sleep(0.3)
        self.assertEqual(await _async_read(answer), (200, body, True))

    def _cut_service(self, cut_bytes: int, *, late: bool, is_chunked: bool, has_id: bool) -> None:
        """Let the service cut its answers and answer once more."""

        def parts(request: RawRequest) -> tuple[bytes, ...]:
            request_id = request.request_id if has_id else None
            return cut_then_second(
                OWN_TEXT, cut_bytes, request_id, content_type="text/plain", is_chunked=is_chunked
            )

        self.set_reply(write_parts(parts, late=late))


class ForwardedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A peer's answer that breaks off is not complete at the VM that forwarded the request."""

    async def test_answer_that_breaks_off_at_a_peer_is_not_complete(self) -> None:
        async def async_body() -> AsyncIterator[bytes]:
            yield EVENTS[0]
            raise WagtailusherError("the endpoint's answer broke off")

        async def async_handle(request: Request) -> Response:
            return Response(body=async_body())

        server = await async_serve(async_handle)
        self.addAsyncCleanup(server.async_close)
        client = HttpClient()
        self.addCleanup(client.close)
        forwarder = Forwarder(
            client,
            vm_id=VmId("vm-1"),
            secrets=(b"s" * 16,),
            address_of=lambda vm_id: f"127.0.0.1:{server.port}",
            silence_timeout_ms=lambda: 1_000,
        )
        request = Request(method="GET", target="/x", headers=Headers(), body=b"", peer="caller")
        forward = Forward(
            request_id=RequestId("r"), vm_id=VmId("vm-2"), reason=ForwardReason.CREDITS
        )
        response = await forwarder.async_forward(request, forward, 0)
        received = bytearray()
        assert isinstance(response.body, AsyncIterator)
        with self.assertRaises(AnswerTruncatedError):
            async for chunk in response.body:
                received += chunk
        self.assertEqual(bytes(received), EVENTS[0])
