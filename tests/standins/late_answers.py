"""Behaviours of an endpoint whose answers come late, twice or with bytes of another answer."""

from __future__ import annotations

import asyncio

from tests.standins.runner import (
    STAMP,
    Behaviour,
    Received,
    RunnerStandin,
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
