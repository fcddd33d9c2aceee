"""Tests of peers of the daemon that answer while an upload is still being written.

They guard against a part of such an answer that the daemon passes on as a complete one, and against
statuses that are none.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from itertools import product
import json
import socket
import unittest
from unittest.mock import patch

from tests.standins.raw_endpoint import (
    EARLY_BUFFER_BYTES,
    EARLY_ENDS,
    EarlyServer,
    RawRequest,
    response,
)
from tests.standins.runner import chunk
from wagtailusher_core import RequestId, VmId, WagtailusherError
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_http import ClientLimits, Headers, HttpClient, Request
from wagtailusher_http.client_connection import ClientConnection
from wagtailusher_router import Forward, ForwardReason

UPLOAD_BYTES = 12_000_000
"""More than the buffers of both sockets hold."""
READ_BYTES = (0, 300_000, 6_000_000, 20_000)
"""How much of the upload is read before the answer, by turns."""
LIMITS = ClientLimits(send_timeout_ms=200)
"""The daemon reads no answer before it has written an upload, so an end costs this time."""
PART = json.dumps({"text": "part of the answer " * 20}).encode()
LARGE_PART = json.dumps({"text": "part of the answer " * 40_000}).encode()
EVENTS = b'data: {"text": "own 1"}\n\ndata: {"text": "own 2"}\n\n'
JSON = "Content-Type: application/json"
STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
ANSWERS: dict[str, tuple[tuple[str, ...], bytes]] = {
    "no length": ((JSON,), PART),
    "no length, large": ((JSON,), LARGE_PART),
    "length": ((JSON, f"Content-Length: {len(PART) + 1}"), PART),
    "chunks": ((JSON, CHUNKED), chunk(PART)),
    "stream": ((STREAM,), EVENTS),
    "stream within an event": ((STREAM,), EVENTS + b'data: {"te'),
    "stream with a length": ((STREAM, f"Content-Length: {len(EVENTS) + 1}"), EVENTS),
    "stream of chunks": ((STREAM, CHUNKED), chunk(EVENTS)),
}
STATUSES = ("000", "099", "101", "199", "600", "999", "2000", "20", "2x0", "+200", "-200")


def answer_of(
    fields: tuple[str, ...], part: bytes, status: str = "200"
) -> Callable[[RawRequest], bytes]:
    """Return what an endpoint answers to each request."""

    def answer(request: RawRequest) -> bytes:
        if request.method == "GET":
            return response(b"", request.request_id, status="404 Not Found")
        own = (f"HTTP/1.1 {status} OK", f"x-request-id: {request.request_id}")
        return "\r\n".join((*own, *fields, "", "")).encode() + part

    return answer


_UNSENT: list[bool] = []
_return_connection = HttpClient.return_connection


def _record_return(client: HttpClient, connection: ClientConnection, is_complete: bool) -> None:
    """Record whether a part of the request is unsent when the answer's body has ended."""
    _UNSENT.append(connection.has_unsent_request)
    _return_connection(client, connection, is_complete)


def _limit_buffer(connected: socket.socket, limits: ClientLimits) -> None:
    """Let a connection's send buffer stay small."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, EARLY_BUFFER_BYTES)


class EarlyPeerTest(unittest.IsolatedAsyncioTestCase):
    """A VM of the daemon that answers early to a request that another one hands on."""

    async def test_part_of_a_peers_early_response_is_not_complete(self) -> None:
        for name, end, read_bytes in product(ANSWERS, EARLY_ENDS, READ_BYTES):
            fields, part = ANSWERS[name]
            server = EarlyServer(answer_of(fields, part), end, read_bytes)
            await server.async_start()
            with self.subTest(answer=name, end=end, read_bytes=read_bytes):
                self.assertFalse(await self._async_is_complete(server, b"u" * UPLOAD_BYTES))
                self.assertGreater(server.ended_early, 0)
            await server.async_stop()

    async def test_answer_without_a_length_is_not_complete_while_a_part_is_unsent(self) -> None:
        """What fits into the writer's buffer counts as written, so the answer is read."""
        fields, part = ANSWERS["no length"]
        unsent = 0
        for size_bytes in range(100_000, 1_000_000, 30_000):
            server = EarlyServer(answer_of(fields, part), "end", 0)
            await server.async_start()
            with (
                self.subTest(size_bytes=size_bytes),
                patch("wagtailusher_http.client_connection.set_tcp_keepalive", _limit_buffer),
                patch.object(HttpClient, "return_connection", _record_return),
            ):
                _UNSENT.clear()
                is_complete = await self._async_is_complete(server, b"u" * size_bytes)
                if any(_UNSENT):
                    unsent += 1
                    self.assertFalse(is_complete)
            await server.async_stop()
        self.assertGreater(unsent, 0)

    async def test_peers_status_that_is_none_is_not_passed_on(self) -> None:
        for status in STATUSES:
            fields = (JSON, "Content-Length: 2")
            server = EarlyServer(answer_of(fields, b"{}", status), "end", 0)
            await server.async_start()
            with self.subTest(status=status):
                self.assertFalse(await self._async_is_complete(server, b"short"))
                self.assertGreater(server.answered, 0)
            await server.async_stop()

    async def _async_is_complete(self, server: EarlyServer, body: bytes) -> bool:
        """Return whether the VM that hands a request on gets a success that looks complete."""
        client = HttpClient(LIMITS)
        self.addCleanup(client.close)
        forwarder = Forwarder(
            client,
            vm_id=VmId("vm-1"),
            secrets=(b"s" * 16,),
            address_of=lambda vm_id: server.address,
            silence_timeout_ms=lambda: 1_000,
        )
        headers = Headers((("x-request-id", "r"),))
        request = Request(method="POST", target="/x", headers=headers, body=body, peer="caller")
        forward = Forward(
            request_id=RequestId("r"), vm_id=VmId("vm-2"), reason=ForwardReason.CREDITS
        )
        answer = await forwarder.async_forward(request, forward, 0)
        if answer.status >= 500 and isinstance(answer.body, bytes):
            self.assertEqual(answer.status, 502)
            self.assertIn(b'"unknown"', answer.body)
            return False
        assert isinstance(answer.body, AsyncIterator)
        try:
            async for _ in answer.body:
                pass
        except WagtailusherError:
            return False
        return True
