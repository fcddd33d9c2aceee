"""Tests of engines that name in their answers how many requests a second they take.

They guard against more requests from all VMs together than such an engine has named.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
import time

from tests.standins.runner import Received, RunnerStandin, response_head, stream
from tests.wagtailusher_platform.fleet import PlatformTest, entry
from wagtailusher_core import rank_by_rendezvous
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerError

VM_COUNT = 3
EVENT_COUNT = 5
EVENT_GAP_S = 0.02
INTERVAL_S = 0.04
CONTACT_S = 3.0
"""The platform's `contact_ms`: the time in which the fleet must keep to a new limit."""
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
"""By how much a window may exceed the limit; the platform's rule."""
LOAD_S = CONTACT_S + WINDOW_S + 2.0
USED_SHARE = 0.5
"""Least share of its limit that an engine gets while requests wait for it."""
AT_ONCE_S = 0.6
"""Longest time for a refusal: the share of its target that a request may wait, and a reserve."""


class LimitedEngine:
    """An engine that names a limit while it has one, and records when requests arrive."""

    def __init__(self, limit: str | None) -> None:
        self.limit = limit
        self.arrived_s: list[float] = []
        self.arrived_paths: Counter[str] = Counter()

    async def async_behave(
        self, runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer with a stream whose head names the limit."""
        self.arrived_s.append(time.monotonic())
        self.arrived_paths[request.target] += 1
        if self.limit is None:
            return await stream(EVENT_COUNT, gap_s=EVENT_GAP_S)(runner, request, writer)
        runner.record_execution(request)
        lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(response_head(request, "200 OK", *lines, f"Server-Limit: {self.limit}"))
        for number in range(1, EVENT_COUNT + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def most_in_window(self, from_s: float) -> int:
        """Return the most requests that arrived within a window that begins later."""
        arrived_s = [at_s for at_s in self.arrived_s if at_s >= from_s]
        return max(
            (sum(begin <= at_s < begin + WINDOW_S for at_s in arrived_s) for begin in arrived_s),
            default=0,
        )


class EndpointLimitsTest(PlatformTest):
    """Three VMs and three engines, of which some name limits."""

    async def async_start_fleet(self, *limits: str | None) -> None:
        """Start engines and VMs that know each other; the first engine is for long prompts."""
        self.engines = [LimitedEngine(limit) for limit in limits]
        names = rank_by_rendezvous("lanes", [f"i-{number}" for number in range(len(limits))])
        for name, engine in zip(names, self.engines, strict=True):
            runner = await self.async_runner("engines", name, engine.async_behave)
            self.store.put(f"servers/{name}", entry(runner, "engines", slots=48))
        for number in range(VM_COUNT):
            await self.async_gateway(number + 1)
        for app in self.apps:
            await self.async_ready(app, len(limits))
            await self.async_settled(app)
            await self.async_until(_knows_all(app))
        self.outcomes: Counter[tuple[str, int]] = Counter()
        self.longest_refusal_s = 0.0
        self.has_limit_field = False

    async def async_request(self, path: str, app: GatewayApp) -> None:
        """Send one request and record its outcome."""
        sent_s = time.monotonic()
        try:
            answer = await self.async_ask(
                app, path, b"{}", x_token_count="300,30", x_prompt_prefix="aa:100,bb:200"
            )
            await answer.async_read()
        except AnswerError:
            self.outcomes[path, 0] += 1
            return
        self.has_limit_field |= "server-limit" in answer.headers
        self.outcomes[path, answer.status] += 1
        if answer.status == 503:
            self.assertIn("retry-after", answer.headers)
            self.longest_refusal_s = max(self.longest_refusal_s, time.monotonic() - sent_s)

    async def async_load(self, duration_s: float, *paths: str) -> None:
        """Send requests to all VMs in turn."""
        ends_s = time.monotonic() + duration_s
        tasks: list[asyncio.Task[None]] = []
        while time.monotonic() < ends_s:
            app = self.apps[len(tasks) // len(paths) % VM_COUNT]
            request = self.async_request(paths[len(tasks) % len(paths)], app)
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    def check_bound(self, engine: LimitedEngine, limit_per_s: float) -> None:
        """Check that an engine got what it allows: not more, and not much less."""
        most = engine.most_in_window(engine.arrived_s[0] + CONTACT_S)
        self.assertLessEqual(most, FACTOR * limit_per_s * WINDOW_S + SLACK)
        self.assertGreaterEqual(most, USED_SHARE * limit_per_s * WINDOW_S)

    async def test_engine_gets_no_more_than_the_limit_that_it_named(self) -> None:
        await self.async_start_fleet(None, "1", "0.4")
        await self.async_load(LOAD_S, "/chat/")
        self.check_bound(self.engines[1], 1.0)
        self.check_bound(self.engines[2], 0.4)
        self.assertEqual(set(self.outcomes), {("/chat/", 200)})
        self.assertFalse(self.has_limit_field)

    async def test_limit_that_an_engine_no_longer_names_ends(self) -> None:
        await self.async_start_fleet(None, "1")
        await self.async_load(LOAD_S, "/chat/")
        limited = self.engines[1]
        self.check_bound(limited, 1.0)
        limited.limit = None
        ended_s = time.monotonic()
        await self.async_load(WINDOW_S, "/chat/")
        self.assertGreater(limited.most_in_window(ended_s), FACTOR * WINDOW_S + SLACK)

    async def test_limits_that_cannot_be_read_are_ignored(self) -> None:
        await self.async_start_fleet(None, "-1", "1\r\nServer-Limit: 2")
        await self.async_load(WINDOW_S, "/chat/")
        self.assertEqual(set(self.outcomes), {("/chat/", 200)})
        for engine in self.engines[1:]:
            self.assertGreater(len(engine.arrived_s), FACTOR * WINDOW_S + SLACK)

    async def test_engines_that_all_name_limits_get_no_more(self) -> None:
        await self.async_start_fleet("1.5", "1.5", "1.5")
        await self.async_load(LOAD_S, "/chat/")
        for engine in self.engines:
            self.check_bound(engine, 1.5)
        self.assertEqual(set(self.outcomes), {("/chat/", 200), ("/chat/", 503)})
        self.assertLess(self.longest_refusal_s, AT_ONCE_S)


def _knows_all(app: GatewayApp) -> Callable[[], bool]:
    """Return a function that tells whether a VM knows all others."""
    return lambda: len(app.fleet.live_members(monotonic_ms())) == VM_COUNT - 1
