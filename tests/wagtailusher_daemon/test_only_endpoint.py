"""Tests of entry apps whose only engine crashes and comes back.

They guard against requests that wait in vain until their deadline, as the only engine was tried.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.standins.config_service import async_wait_until
from tests.wagtailusher_daemon.fleet import Fleet

DOWN_MS = 100
WAIT_S = 5.0


class OnlyEndpointTest(unittest.IsolatedAsyncioTestCase):
    """One VM and one engine."""

    async def test_chat_is_sent_to_the_only_engine_again_after_it_crashed(self) -> None:
        fleet = Fleet(vm_count=1, engine_count=1)
        self.addAsyncCleanup(fleet.async_stop)
        await fleet.async_start()
        await fleet.async_chat()
        engine = fleet.engines[0]
        engine.behaviour.first_token_ms = 300
        chat = asyncio.create_task(fleet.async_chat())
        await async_wait_until(lambda: engine.counters.started == 2)
        await engine.async_crash(DOWN_MS)
        async with asyncio.timeout(WAIT_S):
            status, body = await chat
        self.assertEqual(status, 200)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))


if __name__ == "__main__":
    unittest.main()
