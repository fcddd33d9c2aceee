"""Tests of requests that crash each endpoint that begins to answer them.

They guard against one kind of request that ends endpoint after endpoint, and against refusing sound
requests because of it.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
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
POISONOUS = f"{SHARED}:200,{POISON}:50,0{{}}:50"
"""Prompt parts of a request that crashes endpoints; the last one is its own."""
INTERVAL_S = 0.05
DRAIN_S = 0.05
"""The platform's `drain_ms`: the least time from an endpoint's announcement to its end."""
AT_ONCE_S = 0.2
"""Longest time for a refusal; a part of the shortest target of a route."""
SOUND_SHARE = 0.5
"""Least share of the sound requests that must be served; the platform's rule."""


class CrashingFleetTest(PlatformTest):
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

    def check_sound(self) -> None:
        """Check that sound requests were served, and none of them refused as a crashing one."""
        sound = sum(n for name, n in self.outcomes.items() if name.startswith("sound"))
        self.assertGreaterEqual(self.outcomes["sound served"], sound * SOUND_SHARE, self.outcomes)
        self.assertEqual(self.outcomes["sound quarantined"], 0, self.outcomes)


class CrashingRequestsTest(CrashingFleetTest):
    """What crashes endpoints is refused by all VMs, and nothing else is."""

    async def async_quarantine(self) -> None:
        """Send requests with the part until all VMs refuse them."""
        await self.async_start_fleet(has_part(POISON))
        await self.async_load(1.0, POISONOUS)
        self.assertGreater(self.outcomes["poison quarantined"], 0, self.outcomes)
        await asyncio.sleep(INTERVAL_S)

    async def test_prompt_part_that_crashes_endpoints_is_quarantined_in_the_whole_fleet(
        self,
    ) -> None:
        """No two requests with the part are alike, and they come at any VM."""
        await self.async_start_fleet(has_part(POISON))
        await self.async_load(3 * CONTACT_S, POISONOUS)
        self.assertGreater(len(self.fleet.crashed_s), 0)
        self.check_bound(5)
        self.check_sound()

    async def test_part_that_crashes_endpoints_behind_the_first_event_is_quarantined(self) -> None:
        await self.async_start_fleet(has_part(POISON))
        self.fleet.writes_event = True
        await self.async_load(2 * CONTACT_S, POISONOUS)
        self.assertGreater(self.outcomes["poison quarantined"], 0, self.outcomes)
        self.check_bound(5)
        self.check_sound()

    async def test_request_that_crashes_endpoints_is_quarantined_in_the_whole_fleet(self) -> None:
        """The same request comes again at any VM; its parts are those of sound ones."""
        await self.async_start_fleet(has_body(b"crash"))
        await self.async_load(3 * CONTACT_S, f"{SHARED}:200,501:50,99:50", b"crash")
        self.assertGreater(len(self.fleet.crashed_s), 0)
        self.check_bound(3)
        self.check_sound()

    async def test_refusal_of_a_crashing_request_is_true_and_given_at_once_at_any_vm(self) -> None:
        await self.async_quarantine()
        sent = len(self.fleet.sent_s)
        for app in self.apps:
            started_s = time.monotonic()
            reply = await self.async_ask(
                app, "/review/", b"new", x_prompt_prefix=POISONOUS.format(9), x_token_count="300,9"
            )
            error = json.loads(await reply.async_read())["error"]
            self.assertEqual((reply.status, error["code"]), (503, "quarantined"))
            self.assertEqual(error["outcome"], "not_run")
            self.assertIn("retry-after", reply.headers)
            self.assertLess(time.monotonic() - started_s, AT_ONCE_S)
        self.assertEqual(len(self.fleet.sent_s), sent)

    async def test_vm_started_anew_learns_what_crashes_endpoints_before_it_sends(self) -> None:
        await self.async_quarantine()
        sent = len(self.fleet.sent_s)
        await self.async_kill(self.apps[0])
        app = await self.async_gateway(VM_COUNT + 1)
        await self.async_joined(app)
        for number in range(5):
            parts = POISONOUS.format(number)
            self.assertEqual(await self.async_send("poison", app, parts, b"n"), "quarantined")
        self.assertEqual(len(self.fleet.sent_s), sent)


class OtherCausesTest(CrashingFleetTest):
    """Endpoints end for other reasons while all requests share a part."""

    async def async_load_beside(
        self, disruption: Callable[[], Awaitable[object]], duration_s: float = 2.5
    ) -> None:
        """Send sound requests while endpoints are disrupted again and again."""
        await self.async_start_fleet(lambda request: False)

        async def async_disrupt() -> None:
            while True:
                await asyncio.sleep(0.3)
                await disruption()

        task = asyncio.create_task(async_disrupt())
        await self.async_load(duration_s, None)
        task.cancel()

    async def test_nothing_is_refused_because_endpoints_crash_on_their_own(self) -> None:
        """Two at a time, as in an outage of a failure domain."""

        async def async_crash_two() -> None:
            for runner in self.random.sample(self.fleet.runners, 2):
                await self.fleet.async_crash(runner)

        await self.async_load_beside(async_crash_two)
        self.check_sound()

    async def test_nothing_is_refused_because_connections_are_reset(self) -> None:
        async def async_reset() -> None:
            for runner in self.fleet.runners:
                runner.reset_connections()

        await self.async_load_beside(async_reset)
        self.check_sound()
        self.assertEqual([app.quarantine.crash_count for app in self.apps], [0] * VM_COUNT)

    async def test_nothing_is_refused_because_endpoints_leave_by_plan(self) -> None:
        """They say that they leave, and end some of their requests all the same."""

        async def async_leave() -> None:
            runner = self.random.choice(self.fleet.runners)
            self.fleet.announce_leaving(runner)
            await asyncio.sleep(DRAIN_S)
            await self.fleet.async_crash(runner)

        await self.async_load_beside(async_leave, 3 * DRAIN_S)
        self.check_sound()
        self.assertEqual([app.quarantine.crash_count for app in self.apps], [0] * VM_COUNT)
