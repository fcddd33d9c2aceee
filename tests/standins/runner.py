"""Stand-in for one endpoint on the platform, with every fault that the platform documents."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
import socket
import struct

from wagtailusher_core import callback

STAMP = "3e1b.07.5a2"
PART_GAP_S = 0.01
"""Delay between parts of an answer, so that they arrive separately."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A received request."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Behaviour = Callable[["RunnerStandin", Received, asyncio.StreamWriter], Awaitable[bool]]
"""Answers one request and returns whether the connection stays open."""


@dataclass(slots=True)
class RunnerStandin:
    """Answers each request with the next behaviour; the last behaviour is repeated.

    Requests for another instance are refused.
    """

    instance_id: str = "i-1"
    behaviours: list[Behaviour] = field(default_factory=list)
    received: list[Received] = field(default_factory=list)
    executed_ids: list[str] = field(default_factory=list)
    """Attempt identifiers of the executed requests."""
    aborted_connections: int = 0
    """Number of connections that the peer closed while a request was being executed."""
    address: str = ""
    connections: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def async_start(self, host: str = "127.0.0.1") -> str:
        """Start listening and return the address."""
        self._server = await asyncio.start_server(self._async_accept, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def async_stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()
        await asyncio.sleep(0)

    @callback
    def reset_connections(self) -> None:
        """Reset all connections and go on listening."""
        for writer in tuple(self._writers):
            reset_connection(writer)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        self._writers.add(writer)
        try:
            while (request := await _async_read(reader)) is not None:
                self.received.append(request)
                if not await self._async_answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            self.aborted_connections += 1
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_answer(
        self, request: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request, or cancel it when the peer closes the connection."""
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.instance_id):
            return await wrong_instance(self, request, writer)
        behaviour = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
        answer_task = asyncio.ensure_future(behaviour(self, request, writer))
        disconnect_task = asyncio.ensure_future(_async_wait_for_disconnect(reader))
        await asyncio.wait((answer_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
        disconnect_task.cancel()
        if answer_task.done():
            return answer_task.result()
        answer_task.cancel()
        self.aborted_connections += 1
        return False

    @callback
    def record_execution(self, request: Received) -> None:
        """Record the attempt identifier of an executed request."""
        self.executed_ids.append(request.headers.get("x-attempt-id", ""))


async def _async_wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    """Wait until the peer closes its connection."""
    while not reader.at_eof():  # noqa: ASYNC110 - StreamReader has no event for end of file
        await asyncio.sleep(0.005)


async def _async_read(reader: asyncio.StreamReader) -> Received | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    fields = (line.split(":", 1) for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Received(method=method, target=target, headers=headers, body=body)


def response_head(
    request: Received, status: str, *lines: str, attempt_id: str | None = None
) -> bytes:
    """Return the status line and header fields of a signed answer."""
    answer_id = attempt_id or request.headers.get("x-attempt-id", "")
    fields = (
        f"HTTP/1.1 {status}",
        f"X-Attempt-Id: {answer_id}",
        f"X-Server-Stamp: {STAMP}",
        *lines,
    )
    return "\r\n".join((*fields, "", "")).encode()


def write_parts(
    parts: Callable[[Received], Iterable[bytes]], *, keeps_connection: bool = True
) -> Behaviour:
    """Execute the request and write the parts of its answer with a delay between them."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        for part in parts(request):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(PART_GAP_S)
        return keeps_connection

    return behave


def signed_answer(request: Received, body: bytes, attempt_id: str | None = None) -> bytes:
    """Return a complete signed answer with its content length."""
    return (
        response_head(request, "200 OK", f"Content-Length: {len(body)}", attempt_id=attempt_id)
        + body
    )


def answer(body: bytes = b"done", status: str = "200 OK", *lines: str) -> Behaviour:
    """Execute the request and send a complete answer."""
    length = f"Content-Length: {len(body)}"
    return write_parts(lambda request: [response_head(request, status, length, *lines) + body])


def unsigned(body: bytes = b"done") -> Behaviour:
    """Execute the request and answer without a signature."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    return write_parts(lambda request: [head + body])


def extra_answer(body: bytes = b"done") -> Behaviour:
    """Execute the request and send an answer to another request after its own."""
    other = b"X" * len(body)
    return write_parts(
        lambda request: [signed_answer(request, body) + signed_answer(request, other, "another")]
    )


def mismatched_then_answer(body: bytes = b"done") -> Behaviour:
    """Execute the request and send an answer to another request before its own."""
    return write_parts(
        lambda request: [
            signed_answer(request, b"wrong", "another"),
            signed_answer(request, body),
        ]
    )


def truncated(body: bytes = b"done") -> Behaviour:
    """Execute the request and close the connection before the end of the answer."""
    length = f"Content-Length: {len(body) + 1}"
    return write_parts(
        lambda request: [response_head(request, "200 OK", length) + body], keeps_connection=False
    )


def unframed(body: bytes = b"done", *, reset: bool = False) -> Behaviour:
    """Execute the request and answer without a length; closing the connection ends the answer."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        writer.write(response_head(request, "200 OK", "Connection: close") + body)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.02)
            reset_connection(writer)
        return False

    return behave


def reset_after_run() -> Behaviour:
    """Execute the request and reset the connection without an answer."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        reset_connection(writer)
        return False

    return behave


def silent() -> Behaviour:
    """Execute the request and never answer."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        await asyncio.Event().wait()
        return False

    return behave


def refuse() -> Behaviour:
    """Answer that the request was not executed for lack of capacity."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        await writer.drain()
        return True

    return behave


async def wrong_instance(
    runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
) -> bool:
    """Answer that another incarnation uses the address."""
    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-other\r\n")
    writer.write(b"Content-Length: 0\r\n\r\n")
    await writer.drain()
    return True


def token_event(request: Received, number: int) -> bytes:
    """Return one server-sent event of a stream."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def stream(
    count: int,
    *,
    cut_after: int | None = None,
    within_event: bool = False,
    gap_s: float = 0.0,
    event_of: Callable[[Received, int], bytes] = token_event,
    may_continue: Callable[[], Awaitable[object]] | None = None,
) -> Behaviour:
    """Stream events 1 to `count`, or those after the request's `Last-Event-ID`.

    `may_continue` is awaited before each event.
    """

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(response_head(request, "200 OK", *lines))
        for number in range(first, count + 1):
            if cut_after is not None and number > cut_after:
                if within_event:
                    writer.write(chunk(b"id: %d\nda" % number))
                await writer.drain()
                return False
            if may_continue is not None:
                await may_continue()
            writer.write(chunk(event_of(request, number)))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return behave


def chunk(data: bytes) -> bytes:
    """Return data in the chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset the connection: closing with a linger time of 0 sends RST instead of FIN."""
    if writer.is_closing():
        return
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
