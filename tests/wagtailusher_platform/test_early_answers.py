"""Tests of endpoints that answer while the request's body is still being written.

They guard against a part of such an answer that reaches the client as a complete one, and against
statuses that are none.
"""

from __future__ import annotations

import asyncio
from itertools import product
import socket

from tests.standins.late_answers import STREAM_FIELDS
from tests.standins.runner import (
    STAMP,
    RunnerStandin,
    chunk,
    reset_connection,
    write_parts,
)
from tests.wagtailusher_platform.fleet import PlatformTest, configuration, entry
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import HttpError

UPLOAD = b"u" * 12_000_000
"""More than the buffers of both sockets hold."""
PART = b"line of the answer\n" * 20
EVENTS = b"id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
PAUSE_S = 0.05
BUFFER_BYTES = 65_536
READ_BYTES = (0, 300_000)
"""How much of the upload is read before the answer."""
ANSWERS: dict[str, tuple[str, tuple[str, ...], bytes]] = {
    "no length": ("/look/1", (), PART),
    "length": ("/look/1", (f"Content-Length: {len(PART) + 1}",), PART),
    "chunks": ("/look/1", ("Transfer-Encoding: chunked",), chunk(PART)),
    "stream": ("/chat/1", STREAM_FIELDS[:1], EVENTS),
    "stream within an event": ("/chat/1", STREAM_FIELDS[:1], EVENTS + b"id: 3\nda"),
    "stream of chunks": ("/chat/1", STREAM_FIELDS, chunk(EVENTS)),
}
ENDS = ("reset", "reset at once", "end")


class EarlyEndpoint:
    """Answers with a part of a body once it has read some of the upload, and ends."""

    def __init__(self, fields: tuple[str, ...], part: bytes, end: str, read_bytes: int) -> None:
        self._fields = fields
        self._part = part
        self._end = end
        self._read_bytes = read_bytes
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self.address = ""
        self.ended_early = 0
        """Answers that ended before the upload did."""

    async def async_start(self) -> None:
        """Start listening."""
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._server = await asyncio.start_server(self._async_serve, sock=listener)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.lower().split("\r\n")
        attempt_id = next(line[14:] for line in lines if line.startswith("x-attempt-id: "))
        if self._read_bytes:
            await reader.readexactly(self._read_bytes)
        own = ("HTTP/1.1 200 OK", f"X-Attempt-Id: {attempt_id}", f"X-Server-Stamp: {STAMP}")
        writer.write("\r\n".join((*own, *self._fields, "", "")).encode() + self._part)
        await writer.drain()
        self.ended_early += 1
        if self._end != "reset at once":
            await asyncio.sleep(PAUSE_S)
        if self._end == "end":
            writer.write_eof()
        else:
            reset_connection(writer)


class EarlyAnswerTest(PlatformTest):
    """One endpoint for each service."""

    async def _async_serve(self, endpoint: EarlyEndpoint | RunnerStandin) -> GatewayApp:
        document = configuration()
        document["limits"]["max_body_bytes"] = len(UPLOAD)
        self.store.put("op/config", document)
        for service in ("desk", "engines"):
            runner = RunnerStandin(instance_id=f"i-{service}", address=endpoint.address)
            self.store.put(f"servers/i-{service}", entry(runner, service))
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        return app

    async def _async_is_complete(self, app: GatewayApp, path: str, body: bytes) -> bool:
        """Return whether the client gets a success that looks complete."""
        try:
            reply = await self.async_ask(app, path, body)
            await reply.async_read()
        except HttpError:
            return False
        return reply.status < 300

    async def test_part_of_an_early_answer_is_not_complete(self) -> None:
        for (name, answer), end, read_bytes in product(ANSWERS.items(), ENDS, READ_BYTES):
            path, fields, part = answer
            endpoint = EarlyEndpoint(fields, part, end, read_bytes)
            await endpoint.async_start()
            app = await self._async_serve(endpoint)
            with self.subTest(answer=name, end=end, read_bytes=read_bytes):
                self.assertFalse(await self._async_is_complete(app, path, UPLOAD))
                self.assertGreater(endpoint.ended_early, 0)
            await self.async_kill(app)
            await endpoint.async_stop()

    async def test_status_that_is_none_does_not_reach_the_client(self) -> None:
        for status in ("000", "099", "600", "999", "2000", "+200", "-200", "20", "2x0", "101"):
            runner = RunnerStandin(
                behaviours=[
                    write_parts(
                        lambda request, status=status: [  # type: ignore[misc]
                            f"HTTP/1.1 {status} OK\r\nX-Attempt-Id: "
                            f"{request.headers['x-attempt-id']}\r\nX-Server-Stamp: {STAMP}\r\n"
                            "Content-Length: 2\r\n\r\nok".encode()
                        ]
                    )
                ]
            )
            await runner.async_start()
            runner.instance_id = "i-desk"
            app = await self._async_serve(runner)
            with self.subTest(status=status):
                reply = await self.async_ask(app, "/book/1")
                self.assertEqual(reply.status, 502)
                self.assertIn(b'"unknown"', await reply.async_read())
            await self.async_kill(app)
            await runner.async_stop()
