"""Tests of entry apps that share an engine which crashes while idle and restarts cold."""

from __future__ import annotations

import asyncio
import unittest

from tests.wagtailusher_daemon.fleet import Fleet

VM_COUNT = 3
COLD_LIMIT = 2
CHAT_COUNT = 6
WARM_UP_ROUNDS = 3
LEASE_SPREAD_S = 0.3
ANSWERS_TIMEOUT_S = 5.0
COLLAPSE_CHECK_S = 0.02
IDLE_TIMEOUT_MS = 200


class ColdRestartTest(unittest.IsolatedAsyncioTestCase):
    """Guards against more requests than a cold engine bears, sent before its restart is seen."""

    async def test_cold_limit_holds_after_an_idle_engine_restarts(self) -> None:
        await self._async_check_restart(down_ms=200, load_poll_interval_ms=50)

    async def test_cold_limit_holds_after_a_restart_between_two_polls(self) -> None:
        await self._async_check_restart(down_ms=20, load_poll_interval_ms=1_000)

    async def test_engine_that_closes_idle_connections_stays_warm(self) -> None:
        await self._async_start_warm(load_poll_interval_ms=1_000, idle_timeout_ms=IDLE_TIMEOUT_MS)
        await asyncio.sleep(2 * IDLE_TIMEOUT_MS / 1000)
        self.engine.behaviour.first_token_ms = 100
        statuses = await self._async_chat_until_collapse()
        self.assertEqual(statuses, [200] * CHAT_COUNT)
        self.assertEqual(self.engine.counters.most_in_flight, CHAT_COUNT)

    async def _async_start_warm(
        self, *, load_poll_interval_ms: int, idle_timeout_ms: int = 75_000
    ) -> None:
        """Start the VMs and one engine, and serve chats until the engine is warm."""
        options = {"load_poll_interval_ms": load_poll_interval_ms}
        self.fleet = Fleet(vm_count=VM_COUNT, engine_count=1, options=options)
        self.engine = self.fleet.engines[0]
        self.engine.behaviour.cold_limit = COLD_LIMIT
        self.engine.behaviour.idle_timeout_ms = idle_timeout_ms
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()
        for _ in range(WARM_UP_ROUNDS):
            await asyncio.gather(*(self.fleet.async_chat(vm=vm) for vm in range(VM_COUNT)))
        await asyncio.sleep(LEASE_SPREAD_S)

    async def _async_check_restart(self, *, down_ms: int, load_poll_interval_ms: int) -> None:
        """Restart an idle engine, send chats to all VMs at once and check the cold limit."""
        await self._async_start_warm(load_poll_interval_ms=load_poll_interval_ms)
        self.engine.behaviour.first_token_ms = 100
        await self.engine.async_crash(down_ms=down_ms)
        statuses = await self._async_chat_until_collapse()
        counters = self.engine.counters
        self.assertEqual((counters.collapsed, counters.crashes), (0, 1))
        self.assertLessEqual(counters.most_in_flight_cold, COLD_LIMIT)
        self.assertEqual(statuses, [200] * CHAT_COUNT)

    async def _async_chat_until_collapse(self) -> list[int]:
        """Send chats to all VMs at once; return the statuses of those that ended in time."""
        tasks = [
            asyncio.create_task(self.fleet.async_chat(vm=number % VM_COUNT))
            for number in range(CHAT_COUNT)
        ]
        ends_at_s = asyncio.get_running_loop().time() + ANSWERS_TIMEOUT_S
        while not self.engine.counters.collapsed and not all(task.done() for task in tasks):
            if asyncio.get_running_loop().time() > ends_at_s:
                break
            await asyncio.sleep(COLLAPSE_CHECK_S)
        for task in tasks:
            task.cancel()
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        return [answer[0] for answer in answers if not isinstance(answer, BaseException)]
