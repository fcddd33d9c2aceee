"""Tests of requests that crash each endpoint that begins to answer them.

They guard against one kind of request that ends endpoint after endpoint, and against refusing sound
requests because of it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
import json
from random import Random
import time

from tests.standins.crashing_fleet import Crashes, CrashingFleet, has_body, has_part
from tests.wagtailusher_platform.fleet import PlatformTest, entry
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerError

VM_COUNT = 3
ENDPOINT_COUNT = 8
CONTACT_S = 3.0
"""The platform's `contact_ms`: the time in which the fleet must know what crashes endpoints."""
MAX_LATER_SENDS = 3
"""Requests that may reach an endpoint later than that, in the whole fleet."""
SHARED = "5c1e07a2"
POISON = "bad0bad0"
INTERVAL_S = 0.05
SOUND_SHARE = 0.5
"""Least share of the sound requests that must be served; the platform's rule."""


class CrashingRequestsTest(PlatformTest):
    """Three VMs, eight endpoints, and requests of one key and one first part at any VM."""

    async def async_start_fleet(self, crashes: Crashes) -> None:
        """Start endpoints and VMs."""
        self.fleet = CrashingFleet(
            store=self.store, entry=entry, service="engines", crashes=crashes
        )
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start(ENDPOINT_COUNT)
        for number in range(VM_COUNT):
            await self.async_gateway(number + 1)
        for app in self.apps:
            await self.async_joined(app)
        self.random = Random(7)
        self.outcomes: Counter[str] = Counter()

    async def async_joined(self, app: GatewayApp) -> None:
        """Wait until a VM knows all others and the endpoints, and uses its share of limits."""
        await self.async_until(
            lambda: len(app.fleet.live_members(monotonic_ms())) == len(self.apps) - 1
        )
        await self.async_until(lambda: app.is_ready and bool(app.view_cache.view.endpoints))
        await self.async_settled(app)

    async def async_send(self, kind: str, app: GatewayApp, parts: str, body: bytes) -> str:
        """Send a request and count what became of it."""
        reply = await self.async_ask(
            app, "/review/", body, x_prompt_prefix=parts, x_token_count="300,10"
        )
        try:
            content = await reply.async_read()
        except AnswerError:
            outcome = "broken"
        else:
            outcome = "served" if reply.status == 200 else json.loads(content)["error"]["code"]
        self.outcomes[f"{kind} {outcome}"] += 1
        return outcome

    async def async_load(self, duration_s: float, poison: str | None, body: bytes = b"") -> None:
        """Send sound requests and those of another kind at random VMs."""
        tasks: set[asyncio.Task[str]] = set()
        ends_s = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < ends_s:
            number += 1
            sound = f"{SHARED}:200,50{number % 4}:50,0{number}:50"
            tasks.add(
                asyncio.create_task(
                    self.async_send("sound", self.random.choice(self.apps), sound, b"s")
                )
            )
            if poison is not None and number % 3 == 0:
                unlike = body or b"p%d" % number
                parts = poison.format(number)
                app = self.random.choice(self.apps)
                tasks.add(asyncio.create_task(self.async_send("poison", app, parts, unlike)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    def later_sends(self, since_s: float) -> int:
        """Return how many requests that crash endpoints reached one after a time."""
        return sum(sent_s > since_s for sent_s in self.fleet.sent_s)

    def check_bound(self, crash_count: int) -> None:
        """Check the fleet-wide bound from a number of crashes on."""
        if len(self.fleet.crashed_s) >= crash_count:
            since_s = self.fleet.crashed_s[crash_count - 1] + CONTACT_S
            self.assertLessEqual(self.later_sends(since_s), MAX_LATER_SENDS, self.outcomes)

    async def test_prompt_part_that_crashes_endpoints_is_quarantined_in_the_whole_fleet(
        self,
    ) -> None:
        """No two requests with the part are alike, and they come at any VM."""
        await self.async_start_fleet(has_part(POISON))
        await self.async_load(3 * CONTACT_S, f"{SHARED}:200,{POISON}:50,0{{}}:50")
        self.assertGreater(len(self.fleet.crashed_s), 0)
        self.check_bound(5)
        served = self.outcomes["sound served"]
        sound = sum(n for name, n in self.outcomes.items() if name.startswith("sound"))
        self.assertGreaterEqual(served, sound * SOUND_SHARE, self.outcomes)

    async def test_request_that_crashes_endpoints_is_quarantined_in_the_whole_fleet(self) -> None:
        """The same request comes again at any VM; its parts are those of sound ones."""
        await self.async_start_fleet(has_body(b"crash"))
        await self.async_load(3 * CONTACT_S, f"{SHARED}:200,501:50,99:50", b"crash")
        self.assertGreater(len(self.fleet.crashed_s), 0)
        self.check_bound(3)
        served = self.outcomes["sound served"]
        sound = sum(n for name, n in self.outcomes.items() if name.startswith("sound"))
        self.assertGreaterEqual(served, sound * SOUND_SHARE, self.outcomes)
