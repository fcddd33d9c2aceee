"""Tests of engines that go dark while chats are sent at any VM.

They guard against urgent requests that get nothing because they go to silent engines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import time

from tests.soak.proxy import FaultProxy
from tests.standins.runner import RunnerStandin, stream
from tests.wagtailusher_platform.fleet import PlatformTest, entry
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import AnswerError

VM_COUNT = 3
SHARED_PARTS = 40
EVENT_GAP_S = 0.14
CHAT_INTERVAL_S = 0.028
WARM_UP_S = 3.0
LAPSE_S = 3.0
"""Time from the last word of an endpoint until its entry is gone from the store."""
WINDOW_S = 5.0
CALLER_PATIENCE_S = 2.0
"""The platform's callers leave a stream after two seconds without an event."""
MAX_LOST = 9
MAX_LOST_SHARE = 1 / 12
"""Requests that may get nothing in the window, by number or by share; the platform's rule."""
NOTICE_S = 0.5
"""Time for the fleet to notice; with 18 chats a second to dark engines the rule allows no more."""


@dataclass(slots=True, kw_only=True)
class Chat:
    """One caller's chat: when it was sent, and whether it brought an event."""

    sent_s: float
    has_event: bool = False


class DarkEndpointsTest(PlatformTest):
    """Three VMs share engines of which some go dark."""

    async def async_start_fleet(self, engine_count: int, event_count: int) -> None:
        """Start engines and VMs that know each other."""
        self.proxies: list[FaultProxy] = []
        for number in range(engine_count):
            await self._async_start_engine(f"i-{number}", event_count)
        for number in range(VM_COUNT):
            await self.async_gateway(number + 1)
        for app in self.apps:
            await self.async_ready(app, engine_count)
            await self.async_settled(app)
            await self.async_until(_knows_all(app))
        self.chats: list[Chat] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def _async_start_engine(self, name: str, event_count: int) -> None:
        runner = RunnerStandin(
            instance_id=name, behaviours=[stream(event_count, gap_s=EVENT_GAP_S)]
        )
        await runner.async_start()
        self.runners.append(runner)
        proxy = FaultProxy(target=lambda: runner.address)
        await proxy.async_start()
        self.addAsyncCleanup(proxy.async_stop)
        self.proxies.append(proxy)
        self.store.put(f"servers/{name}", entry(runner, "engines", address=proxy.address, slots=48))

    async def async_chat(self, app: GatewayApp) -> None:
        """Send a chat and leave as the platform's callers do."""
        chat = Chat(sent_s=time.monotonic())
        self.chats.append(chat)
        number = len(self.chats)
        parts = f"a{number % SHARED_PARTS}:100,b{number}:80,c{number}:120"
        try:
            async with asyncio.timeout(CALLER_PATIENCE_S):
                answer = await self.async_ask(
                    app, "/chat/", b"{}", x_token_count="300,72", x_prompt_prefix=parts
                )
                chat.has_event = answer.status == 200
                await answer.async_read()
        except (AnswerError, TimeoutError):
            return

    def start_chat(self, app: GatewayApp) -> None:
        """Send a chat in the background."""
        task = asyncio.create_task(self.async_chat(app))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def async_load(self, duration_s: float) -> None:
        """Send chats to all VMs in turn."""
        ends_s = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < ends_s:
            self.start_chat(self.apps[number % VM_COUNT])
            number += 1
            await asyncio.sleep(CHAT_INTERVAL_S)

    async def test_chats_are_not_sent_to_engines_that_went_dark(self) -> None:
        await self.async_start_fleet(engine_count=6, event_count=9)
        await self.async_load(WARM_UP_S)
        busiest = sorted(range(6), key=lambda number: -len(self.runners[number].received))
        dark = [self.proxies[number] for number in busiest[:2]]
        for proxy in dark:
            proxy.go_dark()
        dark_s = time.monotonic()
        await self.async_load(LAPSE_S)
        for number in busiest[:2]:
            self.store.remove(f"servers/i-{number}")
        await self.async_load(WINDOW_S - LAPSE_S)
        await asyncio.gather(*self._tasks)
        sent = [chat for chat in self.chats if chat.sent_s >= dark_s]
        lost = sum(not chat.has_event for chat in sent)
        self.assertLessEqual(lost, max(MAX_LOST, len(sent) * MAX_LOST_SHARE))
        late_s = [at_s - dark_s for proxy in dark for at_s in proxy.dropped_requests_s]
        self.assertEqual([at_s for at_s in late_s if at_s > NOTICE_S], [])

    async def test_vms_without_streams_learn_that_an_engine_is_dark(self) -> None:
        await self.async_start_fleet(engine_count=2, event_count=9)
        for app in self.apps:
            for _ in range(8):
                self.start_chat(app)
        await asyncio.gather(*self._tasks)
        before = [len(runner.received) for runner in self.runners]
        for _ in range(8):
            self.start_chat(self.apps[0])
        await asyncio.sleep(2 * EVENT_GAP_S)
        busier = max((0, 1), key=lambda number: len(self.runners[number].received) - before[number])
        dark = self.proxies[busier]
        dark.go_dark()
        dark_s = time.monotonic()
        await asyncio.sleep(NOTICE_S)
        self.chats.clear()
        for app in self.apps[1:]:
            for _ in range(6):
                self.start_chat(app)
        await asyncio.gather(*self._tasks)
        late_s = [at_s - dark_s for at_s in dark.dropped_requests_s]
        self.assertEqual([at_s for at_s in late_s if at_s > NOTICE_S], [])
        self.assertEqual([chat for chat in self.chats if not chat.has_event], [])


def _knows_all(app: GatewayApp) -> Callable[[], bool]:
    """Return a function that tells whether a VM knows all others."""
    return lambda: len(app.fleet.live_members(monotonic_ms())) == VM_COUNT - 1
