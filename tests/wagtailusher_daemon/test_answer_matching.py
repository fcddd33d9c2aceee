"""End-to-end tests with endpoints whose bytes belong to another request or to none."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
import json
import unittest

from tests.standins.raw_endpoint import RawEngine, RawRequest, RawService, Reply, response
from tests.wagtailusher_daemon.fleet import Fleet

EVENT_STREAM = "text/event-stream"
END_MARKER = b"data: [DONE]\n\n"
OTHER_ID = "another-request"
OWN_JSON = b'{"object": "chat.completion", "text": "own"}'
OTHER_JSON = b'{"object": "chat.completion", "text": "other"}'

Writes = Callable[[RawRequest], bytes]


def events(text: str, count: int = 3) -> bytes:
    """Return a number of events of a stream."""
    return b"".join(f"data: {text} {number}\n\n".encode() for number in range(count))


OWN_STREAM = events("own") + END_MARKER
OTHER_STREAM = events("other") + END_MARKER


def answer(
    request_id: str | None, *, stream: bool, other: bool = False, has_length: bool = True
) -> bytes:
    """Return a complete answer of an engine."""
    if stream:
        body = OTHER_STREAM if other else OWN_STREAM
        return response(body, request_id, content_type=EVENT_STREAM, has_length=has_length)
    return response(OTHER_JSON if other else OWN_JSON, request_id, has_length=has_length)


def no_answer(_: RawRequest) -> bytes:
    """Return nothing."""
    return b""


def answer_to_none(_: RawRequest, *, stream: bool) -> bytes:
    """Return an answer without an identifier."""
    return answer(None, stream=stream, other=True)


def late_answer(late_id: str | None, request: RawRequest, *, stream: bool) -> bytes:
    """Return an answer to another request before the own one."""
    late = answer(late_id, stream=stream, other=True)
    return late + answer(request.request_id, stream=stream)


def own_stream_with_excess(excess: bytes, request: RawRequest, *, has_length: bool) -> bytes:
    """Return the own stream with other data behind its end marker."""
    body = OWN_STREAM + excess
    return response(body, request.request_id, content_type=EVENT_STREAM, has_length=has_length)


def unframed(body: bytes, request: RawRequest) -> bytes:
    """Return a whole answer whose body ends with its connection."""
    return response(body, request.request_id, has_length=False)


def write_once(writes: Writes, *, closes: bool = False) -> Reply:
    """Return a reply that writes bytes, and closes the connection on request."""

    async def reply(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(writes(request))
        await writer.drain()
        if closes:
            writer.close()

    return reply


class EngineAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bytes of another request's answer in the answer of an engine."""

    async def asyncSetUp(self) -> None:
        self.engines = [RawEngine(f"engine-{number}", write_once(no_answer)) for number in (0, 1)]
        self.fleet = Fleet(vm_count=1, engine_count=0)
        self.fleet.engines = [*self.engines]
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    def _set_reply(self, reply: Reply) -> None:
        for engine in self.engines:
            engine.server.reply = reply

    async def _async_chat(self, *, stream: bool) -> tuple[int, bytes]:
        async with asyncio.timeout(10):
            return await self.fleet.async_chat(stream=stream)

    async def _async_expect_own(self, *, stream: bool) -> None:
        status, body = await self._async_chat(stream=stream)
        self.assertEqual((status, body), (200, OWN_STREAM if stream else OWN_JSON))

    async def _async_expect_failure(self, *, stream: bool) -> None:
        status, body = await self._async_chat(stream=stream)
        self.assertEqual((status, json.loads(body)["error"]["code"]), (502, "endpoint_failed"))

    async def test_answer_without_identifier_is_not_relayed(self) -> None:
        for stream in (True, False):
            with self.subTest(stream=stream):
                self._set_reply(write_once(partial(answer_to_none, stream=stream)))
                await self._async_expect_failure(stream=stream)

    async def test_answer_with_two_identifiers_is_not_relayed(self) -> None:
        def write(request: RawRequest) -> bytes:
            line = f"x-request-id: {OTHER_ID}\r\n".encode()
            head, body = answer(request.request_id, stream=True, other=True).split(b"\r\n\r\n")
            return head + b"\r\n" + line + b"\r\n" + body

        self._set_reply(write_once(write))
        await self._async_expect_failure(stream=True)

    async def test_late_answer_before_the_own_answer_is_not_relayed(self) -> None:
        for stream in (True, False):
            for late_id in (OTHER_ID, None):
                with self.subTest(stream=stream, late_id=late_id):

                    self._set_reply(write_once(partial(late_answer, late_id, stream=stream)))
                    await self._async_expect_own(stream=stream)

    async def test_resumed_stream_without_identifier_is_not_relayed(self) -> None:
        own_part = events("own")

        async def reply(request: RawRequest, writer: asyncio.StreamWriter) -> None:
            if request.method == "GET":
                writer.write(answer(None, stream=True, other=True))
                return
            head = answer(request.request_id, stream=True).split(b"\r\n\r\n")[0]
            writer.write(head + b"\r\n\r\n" + own_part)

        self._set_reply(reply)
        received = bytearray()
        chat = await self.fleet.async_post(
            "/v1/chat/completions",
            {"model": "coach-7b", "stream": True, "messages": [{"role": "user", "content": "x"}]},
        )
        with self.assertRaises(Exception) as caught:
            async with asyncio.timeout(10):
                async for chunk in chat.iter_chunks():
                    received += chunk
        self.assertEqual(getattr(caught.exception, "code", None), "answer_truncated")
        self.assertEqual(bytes(received), own_part)

    async def test_bytes_behind_the_end_marker_are_not_relayed(self) -> None:
        excess_bytes = (OTHER_STREAM, b"data: oth", response(OTHER_STREAM, OTHER_ID))
        for has_length in (True, False):
            for excess in excess_bytes:
                with self.subTest(has_length=has_length, excess=excess):
                    self._set_reply(
                        write_once(
                            partial(own_stream_with_excess, excess, has_length=has_length),
                            closes=not has_length,
                        )
                    )
                    await self._async_expect_own(stream=True)

    async def test_stream_is_not_resumed_behind_its_end_marker(self) -> None:
        async def reply(request: RawRequest, writer: asyncio.StreamWriter) -> None:
            if request.method == "GET":
                writer.write(own_stream_with_excess(OTHER_STREAM, request, has_length=True))
                return
            own = answer(request.request_id, stream=True, has_length=False)
            head, body = own.split(b"\r\n\r\n")
            chunk = b"%x\r\n%b\r\n" % (len(body), body)
            writer.write(head + b"\r\ntransfer-encoding: chunked\r\n\r\n" + chunk)

        self._set_reply(reply)
        await self._async_expect_own(stream=True)

    async def test_whole_answer_of_unknown_length_is_not_relayed(self) -> None:
        for rest in (OWN_JSON[:20], OWN_JSON + response(OTHER_JSON, OTHER_ID)):
            with self.subTest(rest=rest):
                self._set_reply(write_once(partial(unframed, rest), closes=True))
                await self._async_expect_failure(stream=False)

    async def test_endless_bytes_behind_the_end_marker_do_not_delay_the_answer(self) -> None:
        async def reply(request: RawRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(request.request_id, stream=True, has_length=False))
            while not writer.is_closing():
                writer.write(OTHER_STREAM)
                await writer.drain()
                await asyncio.sleep(0.01)

        self._set_reply(reply)
        await self._async_expect_own(stream=True)


class ServiceAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against the answer to another call in the answer of a service."""

    async def asyncSetUp(self) -> None:
        self.service = RawService("booking-0", write_once(no_answer))
        self.fleet = Fleet(vm_count=1, engine_count=0)
        self.fleet.booking = self.service
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def _async_call(self, name: str) -> tuple[int, bytes]:
        async with asyncio.timeout(10):
            called = await self.fleet.async_post(f"/services/stock/{name}", {"name": name})
            return called.status, await called.async_read()

    async def test_late_copy_of_an_answer_is_not_the_answer_to_the_next_call(self) -> None:
        def write(request: RawRequest) -> bytes:
            return b"".join(response(call.body) for call in (*request.earlier, request))

        self.service.server.reply = write_once(write)
        for name in ("first", "second", "third"):
            status, body = await self._async_call(name)
            self.assertEqual((status, json.loads(body)), (200, {"name": name}))

    async def test_answer_with_the_identifier_of_another_call_is_not_relayed(self) -> None:
        def write(request: RawRequest) -> bytes:
            return response(b"other", OTHER_ID) + response(request.body, request.request_id)

        self.service.server.reply = write_once(write)
        status, body = await self._async_call("own")
        self.assertEqual((status, json.loads(body)), (200, {"name": "own"}))


if __name__ == "__main__":
    unittest.main()
