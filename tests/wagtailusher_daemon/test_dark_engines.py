"""Tests of entry apps that share an engine which goes dark.

They guard against requests that are sent to an engine which another VM found silent.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.wagtailusher_daemon.fleet import Fleet

WARM_UP_CHATS = 6
LATER_CHATS = 6
CHAT_TOKENS = 40
NOTICE_S = 1.0
"""Time for the fleet to notice, where a silence of 0.4 s counts as one (`silence_timeout_ms`)."""

ANSWER_S = 3.0
"""Time for all answers, several times what one engine needs for them."""


class DarkEngineTest(unittest.IsolatedAsyncioTestCase):
    """Three VMs and two engines of which one goes dark."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(vm_count=3, engine_count=2, has_proxies=True)
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()

    def start_chats(self, vm: int, count: int) -> list[asyncio.Task[tuple[int, bytes]]]:
        """Send chats to a VM in the background."""
        return [
            asyncio.create_task(self.fleet.async_chat(vm=vm, max_tokens=CHAT_TOKENS))
            for _ in range(count)
        ]

    async def test_vms_without_streams_learn_that_an_engine_is_dark(self) -> None:
        for _ in range(2):
            chats = [chat for vm in range(3) for chat in self.start_chats(vm, WARM_UP_CHATS)]
            await asyncio.gather(*chats)
        running = self.start_chats(0, LATER_CHATS)
        await asyncio.sleep(0.1)
        self.fleet.proxies[0].go_dark()
        await asyncio.sleep(NOTICE_S)
        later = [chat for vm in (1, 2) for chat in self.start_chats(vm, LATER_CHATS)]
        _, waiting = await asyncio.wait(later, timeout=ANSWER_S)
        for task in (*running, *waiting):
            task.cancel()
        await asyncio.gather(*running, *waiting, return_exceptions=True)
        self.assertEqual(len(waiting), 0)
