"""Tests of entry apps with an engine that names how many requests a second it takes.

They guard against more requests from all VMs together than that.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.wagtailusher_daemon.fleet import Fleet

VM_COUNT = 3
LIMIT_PER_S = 1.0
INTERVAL_S = 0.05
LEARN_S = 3.0
"""Time in which the fleet must keep to a new limit, as on the users' platform."""
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that a window may bring, as on the users' platform."""
MS_PER_S = 1000


class EngineLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Three VMs and two engines, one of which names a limit."""

    async def test_engine_gets_no_more_than_the_limit_that_it_named(self) -> None:
        fleet = Fleet(vm_count=VM_COUNT, engine_count=2)
        self.addAsyncCleanup(fleet.async_stop)
        await fleet.async_start()
        limited = fleet.engines[0]
        limited.behaviour.limit = str(LIMIT_PER_S)
        chats = []
        for number in range(int((LEARN_S + WINDOW_S + 1.0) / INTERVAL_S)):
            chats.append(asyncio.create_task(fleet.async_chat(vm=number % VM_COUNT)))
            await asyncio.sleep(INTERVAL_S)
        statuses = {status for status, _ in await asyncio.gather(*chats)}
        started_ms = limited.counters.started_at_ms
        late_ms = [at_ms for at_ms in started_ms if at_ms >= started_ms[0] + LEARN_S * MS_PER_S]
        most = max(
            sum(begin <= at_ms < begin + WINDOW_S * MS_PER_S for at_ms in late_ms)
            for begin in late_ms
        )
        self.assertEqual(statuses, {200})
        self.assertLessEqual(most, MAX_IN_WINDOW)
        self.assertGreaterEqual(most, 1)


if __name__ == "__main__":
    unittest.main()
