"""Stand-ins for endpoints that write arbitrary bytes in reply to a request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import json
import socket

from tests.standins.booking import BookingStandin
from tests.standins.engine import EngineStandin
from tests.standins.runner import reset_connection

EARLY_BUFFER_BYTES = 65_536
"""Receive buffer of a server that answers early, so that most of an upload is not sent then."""
EARLY_PAUSE_S = 0.05
EARLY_ENDS = ("reset", "reset at once", "end")
LOAD_REPORT = json.dumps({"running": 0, "waiting": 0, "cold": False}).encode()


@dataclass(slots=True)
class RawRequest:
    """One request; `earlier` are the previous requests of its connection but for load polls."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    earlier: list[RawRequest] = field(default_factory=list)

    @property
    def request_id(self) -> str:
        """Return the identifier that an endpoint echoes."""
        return self.headers.get("x-request-id") or self.target.split("/")[3]


Reply = Callable[[RawRequest, asyncio.StreamWriter], Awaitable[None]]
"""Writes the reply to a request and closes the writer to end the connection."""


class RawServer:
    """Answers load polls, and leaves every other request to a reply function."""

    def __init__(self, reply: Reply) -> None:
        """Create a server that does not listen until `async_start`."""
        self.reply = reply
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None] | None] = set()

    async def async_start(self) -> None:
        """Start listening."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.set_up(listener)
        self._server = await asyncio.start_server(self._async_serve, sock=listener)
        self.port = listener.getsockname()[1]

    def set_up(self, listener: socket.socket) -> None:
        """Set options of the listening socket."""

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.gather(*(task for task in self._tasks if task is not None))

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self._writers.append(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        earlier: list[RawRequest] = []
        try:
            while not writer.is_closing():
                request = await _async_read(reader)
                if request.target == "/load":
                    writer.write(response(LOAD_REPORT))
                else:
                    request.earlier = list(earlier)
                    earlier.append(request)
                    await self.reply(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
        finally:
            self._tasks.discard(task)


class EarlyServer(RawServer):
    """Answers when it has read some of a request's body, and ends the connection.

    It ends by a reset after a pause, by a "reset at once", or by an "end" after a pause.
    """

    def __init__(self, answer: Callable[[RawRequest], bytes], end: str, read_bytes: int) -> None:
        """`answer` returns the bytes of the answer, `read_bytes` are read of a body."""
        super().__init__(self._async_reply)
        self._answer = answer
        self._end = end
        self._read_bytes = read_bytes
        self.answered = 0
        self.ended_early = 0
        """Answers that ended before the upload did."""

    @property
    def address(self) -> str:
        """Return the address of the listening socket."""
        return f"127.0.0.1:{self.port}"

    def set_up(self, listener: socket.socket) -> None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, EARLY_BUFFER_BYTES)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve load polls and one early answer on a connection, without another read."""
        self._writers.append(writer)
        try:
            while (request := await _async_read_head(reader)).target == "/load":
                writer.write(response(LOAD_REPORT))
            length = int(request.headers.get("content-length", "0"))
            await reader.readexactly(min(length, self._read_bytes))
            self.answered += 1
            await self.reply(request, writer)
            self.ended_early += length > self._read_bytes
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _async_reply(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(self._answer(request))
        await writer.drain()
        if self._end != "reset at once":
            await asyncio.sleep(EARLY_PAUSE_S)
        if self._end == "end":
            writer.write_eof()
        else:
            reset_connection(writer)


class RawEngine(EngineStandin):
    """An engine whose replies are written by a function."""

    def __init__(self, engine_id: str, reply: Reply) -> None:
        super().__init__(engine_id)
        self.server = RawServer(reply)

    async def async_start(self, port: int = 0) -> None:
        """Start listening on any port."""
        await self.server.async_start()
        self._port = self.server.port

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        await self.server.async_stop()


class RawService(BookingStandin):
    """A service whose replies are written by a function."""

    def __init__(self, service_id: str, reply: Reply) -> None:
        super().__init__(service_id)
        self.server = RawServer(reply)

    async def async_start(self) -> None:
        """Start listening."""
        await self.server.async_start()
        self._port = self.server.port

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        await self.server.async_stop()


def response(
    body: bytes,
    request_id: str | None = None,
    *,
    status: str = "200 OK",
    content_type: str = "application/json",
    has_length: bool = True,
) -> bytes:
    """Return a complete response; without a length its body ends with the connection."""
    lines = [f"HTTP/1.1 {status}", f"content-type: {content_type}"]
    if request_id is not None:
        lines.append(f"x-request-id: {request_id}")
    if has_length:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode() + body


def cut_then_second(
    body: bytes,
    cut_bytes: int,
    request_id: str | None,
    *,
    content_type: str = "application/json",
    is_chunked: bool = False,
) -> tuple[bytes, bytes]:
    """Return the beginning of an answer, and the whole answer that fills its declared rest."""
    head = response(b"", request_id, content_type=content_type, has_length=False)[:-2]
    if not is_chunked:
        framed = head + b"content-length: %d\r\n\r\n" % len(body)
        return framed + body[:cut_bytes], framed + body
    framed = head + b"transfer-encoding: chunked\r\n\r\n" + b"%x\r\n" % len(body)
    return framed + body[:cut_bytes], framed + body + b"\r\n0\r\n\r\n"


async def _async_read(reader: asyncio.StreamReader) -> RawRequest:
    """Read one request with its body."""
    request = await _async_read_head(reader)
    request.body = await reader.readexactly(int(request.headers.get("content-length", "0")))
    return request


async def _async_read_head(reader: asyncio.StreamReader) -> RawRequest:
    """Read one request up to its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return RawRequest(method=method, target=target, headers=headers, body=b"")
