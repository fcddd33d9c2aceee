"""Tests of answers that are cut, filled or followed by other bytes.

They guard against bytes of another response in a caller's answer, and against refusing right
answers. Sizes, framings, splits and ends differ from those of `test_answer_fuzz`. More seeds are
run by hand: CUT_FUZZ_SEEDS=50.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
import os
from random import Random

from tests.standins.late_answers import STREAM_FIELDS
from tests.standins.runner import (
    Behaviour,
    Received,
    RunnerStandin,
    answer,
    chunk,
    reset_connection,
    response_head,
    stream,
    token_event,
    write_parts,
)
from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerError

FIRST_SEED = int(os.environ.get("CUT_FUZZ_FIRST", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("CUT_FUZZ_SEEDS", "2")))
REQUESTS = 60
CONCURRENT = 6
PATHS = ("/review/", "/chat/", "/look/", "/book/")
BODY = b"".join(b"line %d of the own answer\n" % number for number in range(20))
STREAM_TYPE = "Content-Type: text/event-stream"
ENDS = (b"", b"H", b"HT", b"HTTP/1.1", b"HTTP/1.1 200 OK", b"GET / HTTP/1.1 200 OK\n", b"\r", b"\n")


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


class CutFuzzTest(PlatformTest):
    """A caller's bytes are a prefix of its own answer, and complete only if they are all of it."""

    async def test_cuts_that_other_responses_fill_are_never_relayed(self) -> None:
        """All framings, ends, chunk sizes and TCP splits, near the ends of heads and bodies."""
        log: dict[str, list[str]] = {}
        runners = [
            await self.async_runner(service, f"{service}-{number}")
            for service in ("engines", "desk")
            for number in (1, 2)
        ]
        app = await self.async_gateway()
        await self.async_ready(app, len(runners))
        await self.async_settled(app)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                random = Random(seed)
                for runner in runners:
                    runner.behaviours = [spoil(Random(random.randrange(1 << 32)), log)]
                await self._async_fuzz(app, random, seed, log)

    async def _async_fuzz(
        self, app: GatewayApp, random: Random, seed: int, log: dict[str, list[str]]
    ) -> None:
        """Send requests, some at once, and check each answer."""
        limit = asyncio.Semaphore(CONCURRENT)
        outcomes: Counter[str] = Counter()
        faults: list[str] = []

        async def async_check(number: int, path: str) -> None:
            attempt_id = f"r{seed}-{number}"
            async with limit:
                outcome = await self._async_check(app, path, attempt_id)
            outcomes[outcome] += 1
            kinds = log.get(attempt_id, [])
            if outcome == "mixed":
                faults.append(f"{attempt_id} {path}: {kinds}")
            elif kinds and all(kind.startswith("own/") for kind in kinds) and outcome != "whole":
                faults.append(f"{attempt_id} {path} was whole, got {outcome}: {kinds}")

        await asyncio.gather(
            *(async_check(number, random.choice(PATHS)) for number in range(REQUESTS))
        )
        self.assertEqual(faults, [])
        self.assertGreater(outcomes["whole"], 0, outcomes)

    async def _async_check(self, app: GatewayApp, path: str, attempt_id: str) -> str:
        """Send one request; return whether its answer is whole, broken, mixed or its status."""
        reply = await self.async_ask(app, path, b"x", x_attempt_id=attempt_id)
        received = bytearray()
        is_complete = True
        try:
            async for part in reply.iter_chunks():
                received += part
        except AnswerError:
            is_complete = False
        if reply.status not in (200, 500) or (reply.status == 500 and received == b"failed"):
            return str(reply.status)
        expected = own_content(attempt_id, path)
        if bytes(received) != expected[: len(received)]:
            return "mixed"
        if is_complete and bytes(received) != expected:
            return "mixed"
        return "whole" if is_complete else "broken"


def sends(body: bytes, *fields: str) -> Behaviour:
    """Execute the request and send a head with fields, then a body as it is."""
    return write_parts(lambda request: [response_head(request, "200 OK", *fields) + body])


async def _async_measure(pauses_s: list[float]) -> None:
    """Record for how long the event loop was busy."""
    loop = asyncio.get_running_loop()
    while True:
        before_s = loop.time()
        await asyncio.sleep(0.01)
        pauses_s.append(loop.time() - before_s)


class RightAnswerTest(PlatformTest):
    """Right answers that look unusual reach their callers."""

    async def _async_statuses(self, *answers: bytes, chunks: bool = False) -> list[int]:
        """Return the statuses of one endpoint's whole answers with the given bodies."""
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        statuses = []
        for body in answers:
            framing = "Transfer-Encoding: chunked" if chunks else f"Content-Length: {len(body)}"
            sent = chunk(body) + b"0\r\n\r\n" if chunks else body
            runners[0].behaviours = [sends(sent, framing)]
            statuses.append((await self.async_ask(app, "/book/", b"x")).status)
        return statuses

    async def test_body_that_ends_with_a_quoted_status_line_is_relayed(self) -> None:
        """Its length is reached and nothing follows it, so nothing was put in the body's place."""
        bodies = (b"log:\r\nHTTP/1.1 404 Not Found\r\n", b"HTTP/1.1 200 OK\r\nContent-Type: a")
        self.assertEqual(await self._async_statuses(*bodies), [200, 200])

    async def test_chunk_that_ends_with_a_quoted_status_line_is_relayed(self) -> None:
        """The end of the chunk follows, which no other response can bring."""
        body = b"log:\r\nHTTP/1.1 404 Not Found\r\n"
        self.assertEqual(await self._async_statuses(body, chunks=True), [200])

    async def test_many_quoted_status_lines_do_not_hold_up_the_process(self) -> None:
        """A body of 64 KiB is checked in 0.5 s of the process at most."""
        bodies = (b"HTTP/1.1 200 " * 5_000 + b"\n", b"A: HTTP/1.1 200\r\n" * 3_800 + b"\r\n")
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        for body in bodies:
            with self.subTest(body=body[:20]):
                runners[0].behaviours = [answer(body)]
                pauses_s: list[float] = []
                measure = asyncio.ensure_future(_async_measure(pauses_s))
                await self.async_ask(app, "/book/", b"x")
                await asyncio.sleep(0.05)
                measure.cancel()
                self.assertLess(max(pauses_s), 0.5)

    async def test_whole_stream_before_other_bytes_is_complete(self) -> None:
        """Its numbered events fill its length, so no other bytes are among them."""
        body = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3))
        fields = (STREAM_TYPE, f"Content-Length: {len(body)}")
        whole = write_parts(
            lambda request: [response_head(request, "200 OK", *fields) + body + b"\x16\x03\x01"],
            keeps_connection=False,
        )
        app, _ = await self.async_endpoints_and_gateway("engines", (whole,))
        reply = await self.async_ask(app, "/chat/", b"p")
        self.assertEqual((reply.status, await reply.async_read()), (200, body))

    async def test_stream_with_legal_unusual_lines_is_relayed(self) -> None:
        """A byte order mark before the first event, and fields that callers ignore, are legal."""
        app, runners = await self.async_endpoints_and_gateway("engines", (stream(1),))
        for body in (
            b"\xef\xbb\xbfid: 1\ndata: x\n\n",
            b"id: 1\nx.y: 2\ndata: x\n\n",
            b"id: 1\nunknown\ndata: x\n\n",
            b"id: 1\ndata: a\rdata: b\n\n",
        ):
            with self.subTest(body=body):
                fields = (STREAM_TYPE, f"Content-Length: {len(body)}")
                runners[0].behaviours = [sends(body, *fields)]
                reply = await self.async_ask(app, "/chat/", b"p")
                self.assertEqual((reply.status, await reply.async_read()), (200, body))

    async def test_unframed_stream_with_an_end_event_without_identifier_is_complete(self) -> None:
        """Many engines end a stream with `data: [DONE]`."""
        done = write_parts(
            lambda request: [
                response_head(request, "200 OK", *STREAM_FIELDS)
                + token_event(request, 1)
                + b"data: [DONE]\n\n"
            ],
            keeps_connection=False,
        )
        app, _ = await self.async_endpoints_and_gateway("engines", (done,))
        reply = await self.async_ask(app, "/chat/", b"p")
        self.assertTrue((await reply.async_read()).endswith(b"[DONE]\n\n"))

    async def test_refusal_before_other_bytes_still_says_not_run(self) -> None:
        """Its head, with the request's identifier, states that the request was not run."""
        garbage = b"\x16\x03\x01"
        refuse = write_parts(
            lambda request: [
                response_head(request, "503 Busy", "X-Not-Executed: 1", "Content-Length: 4")
                + b"busy"
                + garbage
            ]
        )
        app, runners = await self.async_endpoints_and_gateway("desk", (answer(),))
        runners[0].behaviours = [refuse]
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 503)


class MixedAnswerTest(PlatformTest):
    """Bytes of another response in a body are found in each framing and split."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.app, self.runners = await self.async_endpoints_and_gateway("desk", (answer(),))

    async def _async_mixed(self, parts: list[bytes], *framing: str) -> int:
        """Return the status of an answer whose body is written in parts, then closed."""
        behave = write_parts(
            lambda request: [response_head(request, "200 OK", *framing) + parts[0], *parts[1:]],
            keeps_connection=False,
        )
        self.runners[0].behaviours = [behave]
        return (await self.async_ask(self.app, "/book/", b"x")).status

    async def test_second_status_line_whose_line_end_arrives_alone_is_found(self) -> None:
        """The declared length ends with the second status line; a part of its end comes next."""
        second = b"HTTP/1.1 200 OK"
        for alone in (b"\r", b"\r\n"):
            with self.subTest(alone=alone):
                rest = b"\r\nX-Attempt-Id: another\r\nContent-Length: 1\r\n\r\nx"
                parts = [BODY + second, alone, rest[len(alone) :]]
                length = f"Content-Length: {len(BODY + second)}"
                self.assertEqual(await self._async_mixed(parts, length), 502)

    async def test_part_of_a_second_status_line_behind_a_body_without_length_is_found(self) -> None:
        """The connection ends cleanly within the other response's status line."""
        for second in (b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK\r", b"HTTP/1.1 20"):
            with self.subTest(second=second):
                status = await self._async_mixed([BODY, second], "Connection: close")
                self.assertEqual(status, 502)
