"""Fuzz test of answers through the gateway, with endpoints that mix bytes of several answers.

It guards against callers that get bytes of another answer, incomplete answers that look complete,
and refusals of requests that have run. More seeds are run by hand: ANSWER_FUZZ_SEEDS=50.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import os
from random import Random

from tests.standins.runner import RunnerStandin
from tests.standins.scrambler import own_body, scramble
from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerError

SEEDS = range(1, 1 + int(os.environ.get("ANSWER_FUZZ_SEEDS", "2")))
REQUESTS = 60
CONCURRENT = 6
PATHS = ("/review/", "/chat/", "/look/", "/book/")


class AnswerFuzzTest(PlatformTest):
    """A caller's bytes are a prefix of its own answer, and complete only if they are all of it."""

    async def test_callers_get_only_bytes_of_their_own_answers(self) -> None:
        """Endpoints answer well, late, twice, in part, with garbage or not at all."""
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
                    runner.behaviours = [scramble(Random(random.randrange(1 << 32)))]
                await self._async_fuzz(app, runners, random, seed)

    async def _async_fuzz(
        self, app: GatewayApp, runners: list[RunnerStandin], random: Random, seed: int
    ) -> None:
        """Send requests, some at once, and check each answer."""
        limit = asyncio.Semaphore(CONCURRENT)
        outcomes: Counter[str] = Counter()

        async def async_check(number: int, path: str) -> None:
            async with limit:
                outcomes[await self._async_check(app, runners, path, f"a{seed}-{number}")] += 1

        await asyncio.gather(
            *(async_check(number, random.choice(PATHS)) for number in range(REQUESTS))
        )
        self.assertGreater(outcomes["200"], 0, outcomes)

    async def _async_check(
        self, app: GatewayApp, runners: list[RunnerStandin], path: str, attempt_id: str
    ) -> str:
        """Send one request and check its answer; return its status, or the error it states."""
        is_stream = path in ("/chat/", "/review/")
        expected = own_body(attempt_id, is_stream=is_stream)
        reply = await self.async_ask(app, path, b"x", x_attempt_id=attempt_id)
        received = bytearray()
        is_complete = True
        try:
            async for part in reply.iter_chunks():
                received += part
        except AnswerError:
            is_complete = False
        if reply.status == 200:
            self.assertEqual(bytes(received), expected[: len(received)], attempt_id)
            self.assertTrue(not is_complete or bytes(received) == expected, attempt_id)
            return "200" if is_complete else "incomplete"
        self.assertTrue(is_complete)
        self.assertIn(b"error", received)
        if reply.status in (429, 503):
            executed = [item for runner in runners for item in runner.executed_ids]
            self.assertNotIn(attempt_id, executed)
        return f"{reply.status} {received.decode()}"
