"""Tests of answers that are cut, filled or followed by other bytes.

They guard against bytes of another response in a caller's answer, and against refusing right
answers. Sizes, framings, splits and ends differ from those of `test_answer_fuzz`. More seeds are
run by hand: CUT_FUZZ_SEEDS=50.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import os
from random import Random

from tests.standins.answer_cutter import STREAM_TYPE, own_content, spoil
from tests.standins.late_answers import STREAM_FIELDS
from tests.standins.runner import (
    Behaviour,
    answer,
    chunk,
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
