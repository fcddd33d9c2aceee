"""Behaviour of an endpoint that cuts its answers and sends other responses, drawn from a seed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from tests.standins.runner import (
    Behaviour,
    Received,
    RunnerStandin,
    chunk,
    reset_connection,
    response_head,
)

STREAM_TYPE = "Content-Type: text/event-stream"
ENDS = (b"", b"H", b"HT", b"HTTP/1.1", b"HTTP/1.1 200 OK", b"GET / HTTP/1.1 200 OK\n", b"\r", b"\n")
"""Ends of whole bodies, some like the beginning of another response."""


def is_stream_target(target: str) -> bool:
    """Return whether a target's answer is a stream."""
    return target.startswith(("/chat", "/review"))


def own_content(attempt_id: str, target: str, after: int = 0) -> bytes:
    """Return the body that belongs to a request; its size and end depend on the identifier."""
    random = Random(f"{attempt_id} {target}")
    if is_stream_target(target):
        count = random.randrange(1, 9)
        events = [
            b"id: %d\n%bdata: %b %d %b\n\n"
            % (
                number,
                b": note\n" if random.random() < 0.2 else b"",
                attempt_id.encode(),
                number,
                b"x" * random.choice((0, 3, 300)),
            )
            for number in range(1, count + 1)
        ]
        return b"".join(events[after:])
    line = b"answer to %b\n" % attempt_id.encode()
    return line * random.choice((1, 1, 2, 20, 400, 6_000)) + random.choice(ENDS)


def framed(request: Received, random: Random, framing: str, body: bytes, **fields: str) -> bytes:
    """Return a whole answer with a body in a framing; chunks have random sizes."""
    lines = [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if is_stream_target(request.target):
        lines.append(STREAM_TYPE)
    random.shuffle(lines)
    if framing == "close":
        return response_head(request, "200 OK", "Connection: close", *lines) + body
    if framing == "length":
        return response_head(request, "200 OK", f"Content-Length: {len(body)}", *lines) + body
    parts = [response_head(request, "200 OK", "Transfer-Encoding: chunked", *lines)]
    while body:
        size = random.choice((1, 10, 100, 70_000, len(body)))
        parts.append(chunk(body[:size]))
        body = body[size:]
    return b"".join((*parts, b"0\r\n\r\n"))


def second_answers(request: Received, random: Random, body: bytes, earlier: bytes) -> list[bytes]:
    """Return answers that may follow: repeats, other requests', failures and refusals."""
    error = response_head(request, "500 Internal Server Error", "Content-Length: 6") + b"failed"
    refusal = response_head(request, "503 Busy", "X-Not-Executed: 1", "Content-Length: 0")
    other = response_head(request, "200 OK", "Content-Length: 5", attempt_id="other") + b"other"
    return [
        framed(request, random, random.choice(("length", "chunks", "close")), body),
        framed(request, random, "length", body),
        error,
        refusal * 2,
        other,
        other * 8,
        earlier or other,
    ]


def pieces(random: Random, data: bytes, bounds: list[int]) -> list[bytes]:
    """Split data at some bounds, near them, or at random places."""
    places = set()
    for bound in bounds:
        if random.random() < 0.8:
            places.add(bound + random.choice((0, 0, 0, -1, 1, 2, 5)))
    places.update(random.randrange(len(data) + 1) for _ in range(random.choice((0, 0, 1, 3))))
    cuts = sorted(place for place in places if 0 < place < len(data))
    return [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """What an endpoint may send: its own answer, where it is cut, and other answers."""

    framing: str
    own: bytes
    head_bytes: int
    cut_bytes: int
    second: bytes
    torn: bytes
    earlier: bytes


Sent = tuple[bytes, list[int], str]
"""The bytes, places near which they are split, and how the connection ends."""


def draw_parts(random: Random, request: Received, earlier: bytes) -> Parts:
    """Draw an answer in some framing, a cut of it, and another answer, whole and torn."""
    after = int(request.headers.get("last-event-id", "0"))
    body = own_content(request.headers["x-attempt-id"], request.target, after)
    framing = random.choice(("length", "length", "chunks", "chunks", "close"))
    if framing == "close" and body.endswith((b"HTTP/1.1", b"HTTP/1.1 200 OK")):
        # A body without length that ends so can't be told from a torn second answer.
        framing = "length"
    own = framed(request, random, framing, body)
    head_bytes = own.index(b"\r\n\r\n") + 4
    cuts = (
        random.randrange(len(own) + 1),
        random.randrange(head_bytes, len(own) + 1),
        max(head_bytes, len(own) - random.randrange(40)),
    )
    second = random.choice(second_answers(request, random, body, earlier))
    return Parts(
        framing=framing,
        own=own,
        head_bytes=head_bytes,
        cut_bytes=random.choice(cuts),
        second=second,
        torn=second[: random.randrange(1, len(second) + 1)],
        earlier=earlier,
    )


def send_own(random: Random, parts: Parts) -> Sent:
    """Return the own answer."""
    end = "close" if parts.framing == "close" else random.choice(("keep", "keep", "close"))
    return parts.own, [parts.head_bytes, len(parts.own) - 1], end


def send_cut(random: Random, parts: Parts) -> Sent:
    """Return a part of the own answer.

    A clean end within an answer without length can't be told from its own end.
    """
    end = "reset" if parts.framing == "close" else random.choice(("reset", "close"))
    return parts.own[: parts.cut_bytes], [parts.head_bytes], end


def send_cut_and_second(random: Random, parts: Parts) -> Sent:
    """Return a part of the own answer with another one, whole or torn, behind it."""
    cut = parts.own[: parts.cut_bytes]
    sent = cut + random.choice((parts.second, parts.torn))
    end = random.choice(("reset", "close", "keep"))
    if parts.framing == "close":
        # Here only a whole second head tells the end of the first answer.
        sent = cut + parts.second
        end = "close" if parts.cut_bytes >= parts.head_bytes else "reset"
    elif parts.framing == "length" and parts.cut_bytes < len(parts.own) == len(sent):
        # Nothing tells bytes that end exactly with the declared length from the body's.
        sent = sent[:-1]
    return sent, [parts.cut_bytes, len(parts.own), len(parts.own) + 2], end


def send_own_and_second(random: Random, parts: Parts) -> Sent:
    """Return the own answer with another one behind it."""
    return parts.own + parts.second, [len(parts.own)], random.choice(("close", "reset"))


def send_late_and_own(random: Random, parts: Parts) -> Sent:
    """Return an earlier answer before the own one."""
    late = parts.earlier or parts.second
    return late + parts.own, [len(late)], "close"


def send_torn_and_own(random: Random, parts: Parts) -> Sent:
    """Return a part of another answer before the own one."""
    return parts.torn + parts.own, [len(parts.torn)], "close"


KINDS: dict[str, Callable[[Random, Parts], Sent]] = {
    "own": send_own,
    "cut": send_cut,
    "cut+second": send_cut_and_second,
    "own+second": send_own_and_second,
    "late+own": send_late_and_own,
    "torn+own": send_torn_and_own,
}
KIND_WEIGHTS = (3, 1, 2, 1, 1, 1)


def spoil(random: Random, log: dict[str, list[str]]) -> Behaviour:
    """Return a behaviour that answers well, or cuts an answer and sends other responses."""
    earlier: dict[asyncio.StreamWriter, bytes] = {}

    async def behave(
        runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        parts = draw_parts(random, request, earlier.get(writer, b""))
        kind = random.choices(tuple(KINDS), KIND_WEIGHTS)[0]
        sent, bounds, end = KINDS[kind](random, parts)
        runner.record_execution(request)
        log.setdefault(request.headers["x-attempt-id"], []).append(
            f"{kind}/{parts.framing}/{end} cut={parts.cut_bytes} of {len(parts.own)}"
            f" head={parts.head_bytes} sent={len(sent)} second={parts.second[:150]!r}"
        )
        earlier[writer] = parts.own if parts.framing != "close" else b""
        for piece in pieces(random, sent, bounds):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(random.choice((0, 0.002, 0.005)))
        if end == "reset":
            reset_connection(writer)
        return end == "keep"

    return behave
