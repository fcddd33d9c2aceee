"""Behaviour of an endpoint that mixes its answers with bytes of others, drawn from a seed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from random import Random

from tests.standins.runner import (
    Behaviour,
    Received,
    RunnerStandin,
    chunk,
    reset_connection,
    response_head,
)

EVENTS = 6
"""Events of each stream."""
MAX_GAP_S = 0.004
"""Longest pause between two parts of what an endpoint sends."""
STREAM_TYPE = "Content-Type: text/event-stream"
GARBAGE = (
    b"\x16\x03\x01\x00*\x02\x00\x00",
    b"HTTP/1.1 OK 200\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"zz\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n",
    b"\x00" * 300_000,
)
REFUSED = "503 Service Unavailable"


def own_event(attempt_id: str, number: int) -> bytes:
    """Return one event of the stream that belongs to a request."""
    return b"id: %d\ndata: %b %d\n\n" % (number, attempt_id.encode(), number)


def own_body(attempt_id: str, *, is_stream: bool) -> bytes:
    """Return the whole body that belongs to a request."""
    if is_stream:
        return b"".join(own_event(attempt_id, number) for number in range(1, EVENTS + 1))
    return f"answer to {attempt_id}".encode()


def _own_answer(request: Received, framing: str) -> bytes:
    """Return the answer to a request, from the event that it resumes after."""
    attempt_id = request.headers["x-attempt-id"]
    is_stream = request.target.startswith(("/chat", "/review"))
    body = own_body(attempt_id, is_stream=is_stream)
    if is_stream:
        first = int(request.headers.get("last-event-id", "0")) + 1
        body = b"".join(own_event(attempt_id, number) for number in range(first, EVENTS + 1))
    fields = (STREAM_TYPE,) if is_stream else ()
    if framing == "close":
        return response_head(request, "200 OK", "Connection: close", *fields) + body
    if framing == "chunks":
        head = response_head(request, "200 OK", "Transfer-Encoding: chunked", *fields)
        middle = len(body) // 2
        return head + chunk(body[:middle]) + chunk(body[middle:]) + b"0\r\n\r\n"
    return response_head(request, "200 OK", f"Content-Length: {len(body)}", *fields) + body


def _pieces(random: Random, data: bytes) -> Iterator[bytes]:
    """Yield data in pieces of random sizes, most of them whole."""
    while data:
        size = len(data) if random.random() < 0.5 else random.randrange(1, len(data) + 1)
        yield data[:size]
        data = data[size:]


def _draw_sent(
    random: Random, request: Received, framing: str, own: bytes, late: bytes
) -> tuple[bytes, str]:
    """Return what to send in reply to a request, and how the connection ends."""
    refusal = response_head(request, REFUSED, "X-Not-Executed: 1", "Content-Length: 0")
    cut = own[: random.randrange(len(own))]
    end = "close" if framing == "close" else "keep"
    is_stream = request.target.startswith(("/chat", "/review"))
    # Nothing tells garbage from the end of a body without length.
    garbage = random.choice(GARBAGE) if is_stream or framing != "close" else b""
    return random.choice(
        (
            (own, end),
            (own, end),
            (late + own, end),
            (own + late, "close"),
            (own + own, end),
            (cut, "reset"),
            (cut if framing != "close" else b"", "close"),
            (cut + own, "close"),
            (cut + late, "reset" if framing == "close" else "close"),
            (own + garbage, "close"),
            (random.choice(GARBAGE), random.choice(("close", "reset"))),
            (refusal, "keep"),
            (refusal + refusal, "keep"),
        )
    )


def scramble(random: Random) -> Behaviour:
    """Return a behaviour that answers each request well, late, twice, in part or not at all."""
    earlier: dict[asyncio.StreamWriter, bytes] = {}

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        framing = random.choice(("length", "chunks", "chunks", "close"))
        own = _own_answer(request, framing)
        sent, end = _draw_sent(random, request, framing, own, earlier.get(writer, b""))
        if b"X-Not-Executed" not in sent.partition(b"\r\n\r\n")[0]:
            runner.record_execution(request)
        earlier[writer] = own if framing != "close" else b""
        for piece in _pieces(random, sent):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(random.random() * MAX_GAP_S)
        if end == "reset":
            reset_connection(writer)
        return end == "keep"

    return behave
