"""Tests of the HTTP server with raw TCP input.

Callers send malformed, oversized or incomplete requests, disconnect or stop reading; none of them
may block the server or get a response without an error code.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import json
import socket
import unittest

from wagtailusher_core import ErrorCode, WagtailusherError
from wagtailusher_http import (
    AnswerTruncatedError,
    BodySink,
    ConnectError,
    HttpClient,
    HttpLimits,
    HttpServer,
    ReadTimeoutError,
    Request,
    Response,
    SendCancelledError,
    async_serve,
    json_response,
)
from wagtailusher_http.caller_budget import Phase

LIMITS = HttpLimits(
    max_head_bytes=2048, max_body_bytes=4096, receive_timeout_ms=300, send_timeout_ms=100
)

LARGE = b"a" * 60_000


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Each invalid request gets an error code and the server keeps running."""

    async def asyncSetUp(self) -> None:
        self.cancelled = asyncio.Event()
        self.entered = asyncio.Event()
        self.server: HttpServer = await async_serve(self._async_handle, limits=LIMITS)
        self.address = f"127.0.0.1:{self.server.port}"
        self.client = HttpClient()

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.server.async_close()

    async def _async_handle(self, request: Request) -> Response:
        self.entered.set()
        if request.path == "/hang":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled.set()
                raise
        if request.path == "/stream":
            return Response(body=self._async_stream(broken="broken" in request.query))
        if request.path == "/flood":
            return Response(body=self._async_flood())
        if request.path == "/pumped":
            return Response(body=self._async_write_body)
        if request.path == "/first":
            return Response(body=self._async_stall_after_first_chunk())
        if request.path == "/bug":
            raise ZeroDivisionError
        if request.path == "/large":
            return Response(body=LARGE)
        return json_response(200, {"path": request.path, "size": len(request.body)})

    async def _async_stream(self, *, broken: bool) -> AsyncIterator[bytes]:
        for number in range(3):
            yield f"part {number};".encode()
            await asyncio.sleep(0)
        if broken:
            raise WagtailusherError("upstream broke")

    async def _async_flood(self) -> AsyncIterator[bytes]:
        try:
            while True:
                yield bytes(65536)
        finally:
            self.cancelled.set()

    async def _async_write_body(self, sink: BodySink) -> None:
        sink.write(b"begun")
        try:
            while True:
                sink.write(bytes(65536))
                if sink.needs_drain:
                    await sink.async_drain()
        finally:
            self.cancelled.set()

    async def _async_stall_after_first_chunk(self) -> AsyncIterator[bytes]:
        yield b"one"
        await asyncio.Event().wait()

    async def _async_raw(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def _async_error_code(self, data: bytes) -> str:
        answer = await self._async_raw(data)
        code: str = json.loads(answer.partition(b"\r\n\r\n")[2])["error"]["code"]
        return code

    async def test_malformed_input_gets_codes(self) -> None:
        oversized_head = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 5000
        oversized_body = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999\r\n\r\n" + b"z" * 9999
        unfinished = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc"
        cases = {
            b"\x00\xff garbage\r\n\r\n": ErrorCode.BAD_REQUEST,
            b"GET / HTTP/1.1\r\n\r\n": ErrorCode.BAD_REQUEST,
            oversized_head: ErrorCode.HEADERS_TOO_LARGE,
            oversized_body: ErrorCode.BODY_TOO_LARGE,
            unfinished: ErrorCode.BAD_REQUEST,
            b"GET /bug HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n": ErrorCode.INTERNAL,
        }
        for data, expected in cases.items():
            with self.subTest(data=data[:30]):
                self.assertEqual(await self._async_error_code(data), expected)
        answer = await self.client.async_request(self.address, "GET", "/alive")
        self.assertEqual(json.loads(await answer.async_read())["path"], "/alive")

    async def test_request_with_two_lengths_is_refused(self) -> None:
        data = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
        data += b"transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n"
        reply = await self._async_raw(data)
        self.assertTrue(reply.startswith(b"HTTP/1.1 400"), reply)
        self.assertEqual(reply.count(b"HTTP/1.1"), 1)
        self.assertFalse(self.entered.is_set())

    async def test_huge_head_is_refused_before_the_connection_closes(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"GET / HTTP/1.1\r\nhost: x\r\nx-long: ")
        for _ in range(160):
            writer.write(b"y" * 65_536)
        await writer.drain()
        reply = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(reply.startswith(b"HTTP/1.1 431"), reply)
        writer.close()

    async def test_request_that_gives_way_with_its_last_part_is_not_handled(self) -> None:
        """Its body has been dropped; the handler would get an empty one as if it were whole."""
        limits = HttpLimits(max_held_bytes=200_000)
        server = await async_serve(self._async_handle, limits=limits)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(b"POST /hang HTTP/1.1\r\nhost: x\r\ncontent-length: 148000\r\n\r\n")
        for size_bytes in (60_000, 60_000, 28_000):
            writer.write(bytes(size_bytes))
            await asyncio.sleep(0.1)
        reply = await reader.read()
        writer.close()
        await server.async_close()
        self.assertEqual(server.budget.gave_way_counts[Phase.RECEIVING], 1)
        self.assertTrue(reply.startswith(b"HTTP/1.1 503"), reply)
        self.assertFalse(self.entered.is_set())

    async def test_requests_are_served_after_keep_alive_is_disabled(self) -> None:
        first = await self.client.async_request(self.address, "GET", "/a")
        await first.async_read()
        self.server.disable_keep_alive()
        for _ in range(2):
            reply = await self.client.async_request(self.address, "GET", "/a")
            self.assertEqual(reply.headers.get("connection"), "close")
            await reply.async_read()

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        one = b"GET /%d HTTP/1.1\r\nhost: a\r\n%s\r\n"
        data = one % (1, b"") + one % (2, b"") + one % (3, b"connection: close\r\n")
        answer = await self._async_raw(data)
        self.assertEqual([answer.count(b'"/%d"' % n) for n in (1, 2, 3)], [1, 1, 1])

    async def test_disconnect_cancels_the_handler(self) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"GET /hang HTTP/1.1\r\nhost: a\r\n\r\n")
        await self.entered.wait()
        writer.close()
        await asyncio.wait_for(self.cancelled.wait(), 5)

    async def test_half_close_cancels_the_handler(self) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"GET /hang HTTP/1.1\r\nhost: a\r\n\r\n")
        await self.entered.wait()
        writer.write_eof()
        await asyncio.wait_for(self.cancelled.wait(), 5)
        writer.close()

    async def test_excessive_pipelining_cancels_the_handler(self) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"GET /hang HTTP/1.1\r\nhost: a\r\n\r\n")
        await self.entered.wait()
        writer.write(bytes(1024 * 1024))
        await asyncio.wait_for(self.cancelled.wait(), 5)
        writer.close()

    async def test_caller_that_stops_reading_is_disconnected(self) -> None:
        for path in (b"/flood", b"/pumped"):
            with self.subTest(path=path):
                self.cancelled.clear()
                _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
                writer.write(b"GET %s HTTP/1.1\r\nhost: a\r\n\r\n" % path)
                await asyncio.wait_for(self.cancelled.wait(), 10)
                writer.close()
        answer = await self.client.async_request(self.address, "GET", "/alive")
        self.assertEqual(answer.status, 200)

    async def test_first_chunk_does_not_wait_for_the_second(self) -> None:
        answer = await self.client.async_request(self.address, "GET", "/first")
        self.assertEqual(await asyncio.wait_for(anext(answer.iter_chunks()), 5), b"one")
        answer.abort()

    async def test_drain_waits_for_the_response_in_progress(self) -> None:
        request = asyncio.create_task(self.client.async_request(self.address, "GET", "/hang"))
        await self.entered.wait()
        self.assertFalse(await self.server.async_drain(grace_ms=20))
        with self.assertRaises(ConnectError):
            await HttpClient().async_request(self.address, "GET", "/late")
        request.cancel()

    async def test_connection_is_active_until_its_answer_was_sent(self) -> None:
        """The answer fits into the process's buffer, not into the sockets'."""
        assert self.server._server is not None
        self.server._server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        end = socket.socket()
        end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        end.connect(("127.0.0.1", self.server.port))
        reader, writer = await asyncio.open_connection(sock=end, limit=1_024)
        writer.write(b"GET /large HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        await self.entered.wait()
        await asyncio.sleep(0.05)
        self.assertEqual(self.server.active_count, 1)
        content = bytearray()
        while part := await reader.read(1_024):
            content += part
        self.assertTrue(bytes(content).endswith(LARGE))
        await asyncio.sleep(0.01)
        self.assertEqual((self.server.active_count, self.server.connection_count), (0, 0))
        writer.close()

    async def test_drain_lets_a_body_on_its_way_arrive(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nx")
        await asyncio.sleep(0.05)
        drain = asyncio.create_task(self.server.async_drain(grace_ms=1_000))
        await asyncio.sleep(0.05)
        writer.write(b"y")
        self.assertIn(b" 200 ", await reader.readline())
        self.assertTrue(await drain)
        writer.close()

    async def test_stream_is_complete_or_reported_as_truncated(self) -> None:
        answer = await self.client.async_request(self.address, "GET", "/stream")
        self.assertEqual(await answer.async_read(), b"part 0;part 1;part 2;")
        answer = await self.client.async_request(self.address, "GET", "/stream?broken=1")
        with self.assertRaises(AnswerTruncatedError):
            await answer.async_read()

    async def test_client_reuses_connections_and_cancels_before_sending(self) -> None:
        for _ in range(3):
            await (await self.client.async_request(self.address, "GET", "/a")).async_read()
        self.assertEqual(self.server.connection_count, 1)
        with self.assertRaises(SendCancelledError):
            await self.client.async_request(self.address, "GET", "/a", may_send=lambda: False)

    async def test_missing_response_raises_a_read_timeout(self) -> None:
        with self.assertRaises(ReadTimeoutError):
            await self.client.async_request(self.address, "GET", "/hang", head_timeout_ms=30)


if __name__ == "__main__":
    unittest.main()
