"""Tests of early answers to uploads that a VM hands on to another VM.

They guard against a part of an answer that reaches the caller as a complete one over two VMs,
against statuses that are none, and against a refusal that says of such a request it has not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from itertools import product

from tests.standins.late_answers import STREAM_FIELDS
from tests.standins.raw_endpoint import EARLY_ENDS, EarlyServer, RawRequest
from tests.standins.runner import STAMP, chunk
from tests.wagtailusher_platform.cut_off_fleet import CutOffFleetTest, LinkedHttpClient
from tests.wagtailusher_platform.fleet import WAIT_S, configuration
from wagtailusher_core import Outcome
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway.forward_terms import HEADER_OUTCOME, sign_outcome
from wagtailusher_http import Headers, HttpError, Request

UPLOAD = b"u" * 12_000_000
"""More than the buffers of both sockets hold."""
SEND_TIMEOUT_MS = 200
"""A VM reads no response of a peer before it has written an upload, so an end costs this time."""
SHORT = b"short"
PART = b"line of the answer\n" * 20
LARGE_PART = PART * 2_000
"""More than one read of a socket."""
EVENTS = b"id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
READ_BYTES = (0, 300_000, 6_000_000)
"""How much of the upload is read before the answer."""
STATUSES = ("000", "099", "101", "199", "600", "999", "2000", "20", "2x0", "+200", "-200")
CHUNKED = "Transfer-Encoding: chunked"
OK_LENGTH = "Content-Length: 2"
ANSWERS: dict[str, tuple[str, tuple[str, ...], bytes]] = {
    "no length": ("/look/", (), PART),
    "no length, large": ("/look/", (), LARGE_PART),
    "no length, unsafe": ("/book/", (), PART),
    "length": ("/look/", (f"Content-Length: {len(PART) + 1}",), PART),
    "chunks": ("/look/", (CHUNKED,), chunk(PART)),
    "stream": ("/chat/", STREAM_FIELDS[:1], EVENTS),
    "stream within an event": ("/chat/", STREAM_FIELDS[:1], EVENTS + b"id: 3\nda"),
    "stream of chunks": ("/chat/", (STREAM_FIELDS[0], CHUNKED), chunk(EVENTS)),
}


def endpoint_head(request: RawRequest, status: str, fields: tuple[str, ...]) -> bytes:
    """Return the head of an endpoint's answer."""
    own = (f"X-Attempt-Id: {request.headers['x-attempt-id']}", f"X-Server-Stamp: {STAMP}")
    return "\r\n".join((f"HTTP/1.1 {status} OK", *own, *fields, "", "")).encode()


class EarlyHandedOnTest(CutOffFleetTest):
    """The first VM reaches no endpoint and hands on to the second one."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = configuration()
        document["limits"]["max_body_bytes"] = len(UPLOAD)
        for service in document["services"]:
            # Endpoints whose connections all end count as restarted; cases follow faster than the
            # limit of a cold one.
            service["cold_per_s"] = 0.0
        self.store.put("op/config", document)

    async def async_start(self) -> None:
        """Start two VMs, and wait until the first one knows that it reaches no endpoint."""
        await self.async_start_fleet(2)
        self.cut_off, self.taker = self.apps
        self.cut_off._peer_client.limits = replace(
            self.cut_off._peer_client.limits, send_timeout_ms=SEND_TIMEOUT_MS
        )
        self.cut(self.cut_off, "reset")
        async with asyncio.timeout(WAIT_S):
            while len(self.cut_off.fleet.own_member.unreached_services) < 2:
                for path in ("/look/1", "/chat/1"):
                    await self.async_is_served(self.cut_off, path)

    def _replace_endpoints(self, server: EarlyServer) -> None:
        """Let the second VM reach a server in the place of each endpoint."""
        client = self.taker._client
        assert isinstance(client, LinkedHttpClient)
        for runner in self.runners:
            client.links[runner.address] = server.address

    def _replace_peer(self, server: EarlyServer) -> None:
        """Let the first VM hand requests on to a server that has the fleet's secret."""
        template = next(iter(self.cut_off.fleet.live_members(monotonic_ms())))
        member = replace(template, peer_address=server.address)
        self.cut_off._forwarder._takers = lambda service: [member]

    def _peer_head(
        self, request: RawRequest, status: str, fields: tuple[str, ...], outcome: Outcome
    ) -> bytes:
        """Return the head of a response of a peer, which states an outcome."""
        is_upload = request.headers["content-length"] == str(len(UPLOAD))
        body = UPLOAD if is_upload else SHORT
        asked = Request(
            method=request.method, target=request.target, headers=Headers(), body=body, peer=""
        )
        attempt_id = request.headers["x-attempt-id"]
        token = sign_outcome(self.cut_off._forwarder.signer, outcome, attempt_id, asked)
        return endpoint_head(request, status, (f"{HEADER_OUTCOME}: {token}", *fields))

    async def _async_result(self, path: str, upload: bytes) -> tuple[int, bytes, bool]:
        """Return the status and body that a caller gets, and whether the body looks complete."""
        status, received = 0, bytearray()
        try:
            reply = await self.async_ask(self.cut_off, path, upload)
            status = reply.status
            async for part in reply.iter_chunks():
                received += part
        except HttpError:
            return status, bytes(received), False
        return status, bytes(received), True

    async def _async_expect_unknown(self, server: EarlyServer, path: str) -> None:
        """Check that the server was asked, and that the caller gets a refusal of the VM."""
        status, body, _ = await self._async_result(path, SHORT)
        self.assertGreater(server.answered, 0)
        self.assertEqual(status, 502)
        self.assertIn(b'"unknown"', body)

    async def _async_expect_no_success(self, server: EarlyServer, path: str) -> None:
        """Check that the server was asked, and that the caller gets no complete success."""
        status, body, is_complete = await self._async_result(path, UPLOAD)
        self.assertGreater(server.ended_early, 0)
        self.assertFalse(is_complete and status < 500, (status, body))
        self.assertNotIn(b'"not_run"', body)

    async def test_part_of_an_endpoints_early_answer_is_not_complete_over_two_vms(self) -> None:
        await self.async_start()
        for name, end, read_bytes in product(ANSWERS, EARLY_ENDS, READ_BYTES):
            path, fields, part = ANSWERS[name]
            server = EarlyServer(_answer_of("200", fields, part), end, read_bytes)
            await server.async_start()
            self._replace_endpoints(server)
            with self.subTest(answer=name, end=end, read_bytes=read_bytes):
                await self._async_expect_no_success(server, path)
            await server.async_stop()

    async def test_part_of_a_peers_early_response_is_not_complete(self) -> None:
        await self.async_start()
        for name, end, read_bytes in product(ANSWERS, EARLY_ENDS, READ_BYTES):
            path, fields, part = ANSWERS[name]

            def answer(
                request: RawRequest, fields: tuple[str, ...] = fields, part: bytes = part
            ) -> bytes:
                return self._peer_head(request, "200", fields, Outcome.COMPLETED) + part

            server = EarlyServer(answer, end, read_bytes)
            await server.async_start()
            self._replace_peer(server)
            with self.subTest(answer=name, end=end, read_bytes=read_bytes):
                await self._async_expect_no_success(server, path)
            await server.async_stop()

    async def test_part_of_a_peers_early_refusal_does_not_say_that_the_request_has_not_run(
        self,
    ) -> None:
        """The part is no statement, even of a VM that has the fleet's secret."""
        await self.async_start()
        body = b'{"error": {"code": "queue_full"}}'
        framings = {
            "no length": ((), body[:-1]),
            "length": ((f"Content-Length: {len(body) + 1}",), body),
            "chunks": ((CHUNKED,), chunk(body)),
        }
        for name, end, read_bytes in product(framings, EARLY_ENDS, READ_BYTES):
            fields, part = framings[name]

            def answer(
                request: RawRequest, fields: tuple[str, ...] = fields, part: bytes = part
            ) -> bytes:
                return self._peer_head(request, "503", fields, Outcome.NOT_RUN) + part

            server = EarlyServer(answer, end, read_bytes)
            await server.async_start()
            self._replace_peer(server)
            with self.subTest(refusal=name, end=end, read_bytes=read_bytes):
                await self._async_expect_no_success(server, "/book/")
            await server.async_stop()

    async def test_endpoints_status_that_is_none_does_not_reach_the_caller_over_two_vms(
        self,
    ) -> None:
        await self.async_start()
        for status, path in product(STATUSES, ("/book/", "/chat/")):
            server = EarlyServer(_answer_of(status, (OK_LENGTH,), b"ok"), "end", len(SHORT))
            await server.async_start()
            self._replace_endpoints(server)
            with self.subTest(status=status, path=path):
                await self._async_expect_unknown(server, path)
            await server.async_stop()

    async def test_peers_status_that_is_none_does_not_reach_the_caller(self) -> None:
        await self.async_start()
        for status, path in product(STATUSES, ("/book/", "/chat/")):

            def answer(request: RawRequest, status: str = status) -> bytes:
                return self._peer_head(request, status, (OK_LENGTH,), Outcome.COMPLETED) + b"ok"

            server = EarlyServer(answer, "end", len(SHORT))
            await server.async_start()
            self._replace_peer(server)
            with self.subTest(status=status, path=path):
                await self._async_expect_unknown(server, path)
            await server.async_stop()


def _answer_of(status: str, fields: tuple[str, ...], part: bytes) -> Callable[[RawRequest], bytes]:
    """Return what an endpoint answers to each request."""
    return lambda request: endpoint_head(request, status, fields) + part
