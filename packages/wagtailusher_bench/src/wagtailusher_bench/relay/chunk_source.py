"""A model endpoint that writes chat completion chunks at a fixed pace and ignores bodies."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import h11

MS_PER_S = 1000
READ_SIZE_BYTES = 65536
HEADER_REQUEST_ID = b"x-request-id"
EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"a token "}}]}\n\n'
END_EVENT = b"data: [DONE]\n\n"
COMPLETE_ANSWER = b'{"choices":[{"index":0,"message":{"role":"assistant","content":"done"}}]}'
LOAD = b'{"running": 0, "waiting": 0, "cold": false}'


@dataclass(frozen=True, slots=True, kw_only=True)
class ChunkShape:
    """Chunks per write and interval of each stream; 0 chunks per write means unstreamed answers."""

    per_write: int
    interval_ms: int


class ChunkSource:
    """Streams events until stopped; each stream encodes its chunks only once."""

    def __init__(self, seed: int = 1) -> None:
        self.shape = ChunkShape(per_write=1, interval_ms=49)
        self.address = ""
        self.poll_bytes = 0
        self._stopping = asyncio.Event()
        self._rng = Random(seed)
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Listen on a port chosen by the kernel."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0, backlog=1024)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def async_close(self) -> None:
        """Stop all streams and stop listening."""
        self.stop_streams()
        if self._server is not None:
            self._server.close()

    def set_shape(self, shape: ChunkShape) -> None:
        """Set the shape of streams that start from now on."""
        self.shape = shape
        self._stopping = asyncio.Event()

    def stop_streams(self) -> None:
        """End all streams with the end marker."""
        self._stopping.set()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        http = h11.Connection(h11.SERVER)
        with suppress(OSError, h11.RemoteProtocolError):
            while (request := await _async_read_request(http, reader)) is not None:
                await self._async_answer(http, writer, request)
                http.start_next_cycle()
        writer.close()

    async def _async_answer(
        self, http: h11.Connection, writer: asyncio.StreamWriter, request: h11.Request
    ) -> None:
        """Answer a load poll, an unstreamed request or a streamed one."""
        headers = [(name, value) for name, value in request.headers if name == HEADER_REQUEST_ID]
        if request.method == b"GET" or self.shape.per_write == 0:
            body = LOAD if request.method == b"GET" else COMPLETE_ANSWER
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
            head = h11.Response(status_code=200, headers=headers)
            events = (head, h11.Data(data=body), h11.EndOfMessage())
            answer = b"".join(http.send(event) or b"" for event in events)
            writer.write(answer)
            if request.method == b"GET":
                self.poll_bytes += len(answer) + _request_size_bytes(request)
            return
        headers.append((b"content-type", b"text/event-stream"))
        writer.write(http.send(h11.Response(status_code=200, headers=headers)) or b"")
        await self._async_stream(http, writer)

    async def _async_stream(self, http: h11.Connection, writer: asyncio.StreamWriter) -> None:
        """Write chunks at the shape's interval until streams are stopped.

        The first write comes after a random fraction of the interval.
        """
        shape = self.shape
        stopping = self._stopping
        framed = (http.send(h11.Data(data=EVENT)) or b"") * shape.per_write
        await asyncio.sleep(self._rng.random() * shape.interval_ms / MS_PER_S)
        loop = asyncio.get_running_loop()
        due = loop.time()
        while not stopping.is_set() and not writer.is_closing():
            writer.write(framed)
            due += shape.interval_ms / MS_PER_S
            await asyncio.sleep(due - loop.time())
        ending = (h11.Data(data=END_EVENT), h11.EndOfMessage())
        writer.write(b"".join(http.send(event) or b"" for event in ending))


def _request_size_bytes(request: h11.Request) -> int:
    """Return the size of a request without a body as encoded on the socket."""
    data = h11.Connection(h11.CLIENT).send(request) or b""
    return len(data)


async def _async_read_request(
    http: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request | None:
    """Return the next request after reading its body, or None when the connection ended."""
    request: h11.Request | None = None
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(READ_SIZE_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif not isinstance(event, h11.Data):
            return None
