"""Behaviours of an endpoint whose answers come late, twice or with bytes of another answer."""

from __future__ import annotations

import asyncio

from tests.standins.runner import (
    STAMP,
    Behaviour,
    Received,
    RunnerStandin,
    chunk,
    response_head,
    signed_answer,
    token_event,
    write_parts,
)

STREAM_FIELDS = ("Content-Type: text/event-stream", "Connection: close")
LATE_S = 0.03
"""Delay of a late answer after the one that it repeats."""


def unframed_then_second_answer(body: bytes, second: bytes, *, late: bool = False) -> Behaviour:
    """Execute the request and answer without a length, then once more on the same connection."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        writer.write(response_head(request, "200 OK", "Connection: close") + body)
        if late:
            await writer.drain()
            await asyncio.sleep(LATE_S)
        writer.write(signed_answer(request, second))
        await writer.drain()
        return False

    return behave


def unframed_stream_then_second_answer(count: int, *, late: bool = False) -> Behaviour:
    """Stream events without a length, then answer once more on the same connection."""

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        head = response_head(request, "200 OK", *STREAM_FIELDS)
        events = b"".join(token_event(request, number) for number in range(1, count + 1))
        writer.write(head + events)
        if late:
            await writer.drain()
            await asyncio.sleep(LATE_S)
        writer.write(head + events)
        await writer.drain()
        return False

    return behave


def unframed_stream(count: int, *, rest: bytes = b"") -> Behaviour:
    """Stream events without a length, then `rest`, and close the connection."""
    return write_parts(
        lambda request: [
            response_head(request, "200 OK", *STREAM_FIELDS)
            + b"".join(token_event(request, number) for number in range(1, count + 1))
            + rest
        ],
        keeps_connection=False,
    )


def unidentified_then_answer(body: bytes, other: bytes = b"other") -> Behaviour:
    """Execute the request and send an answer without an identifier before its own."""
    unidentified = (
        f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {STAMP}\r\nContent-Length: {len(other)}\r\n\r\n"
    ).encode() + other
    return write_parts(lambda request: [unidentified + signed_answer(request, body)])


def refused_then_repeated_late(body: bytes) -> tuple[Behaviour, Behaviour]:
    """Refuse a request; execute the next one, after a repeat of the refusal on its connection."""
    refusals: dict[asyncio.StreamWriter, bytes] = {}

    async def refuse(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        refusals[writer] = response_head(
            request, "503 Service Unavailable", "X-Not-Executed: 1", "Content-Length: 0"
        )
        writer.write(refusals[writer])
        await writer.drain()
        return True

    async def execute(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        writer.write(refusals.get(writer, b"") + signed_answer(request, body))
        await writer.drain()
        return True

    return refuse, execute


def cut_then_second_answer(
    body: bytes, cut_bytes: int, *, is_chunked: bool = False, late: bool = False, split: int = 0
) -> Behaviour:
    """Declare a body, send only its first bytes, and answer once more on the same connection.

    `split` is the size of the first write of the second answer; 0 writes it at once.
    """
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
    declared = b"%x\r\n" % len(body) if is_chunked else b""
    fields = ("Content-Type: text/event-stream",) if body.startswith(b"id:") else ()

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        runner.record_execution(request)
        head = response_head(request, "200 OK", framing, *fields)
        second = head + (chunk(body) + b"0\r\n\r\n" if is_chunked else body)
        writer.write(head + declared + body[:cut_bytes])
        for part in filter(None, (second[:split], second[split:])):
            if late:
                await writer.drain()
                await asyncio.sleep(LATE_S)
            writer.write(part)
        await writer.drain()
        return True

    return behave


def answer_then_surplus(body: bytes, surplus: bytes) -> Behaviour:
    """Execute the request and send bytes behind the declared end of its answer."""
    return write_parts(lambda request: [signed_answer(request, body) + surplus])
