"""Tests of reading a store whose changes or values exceed what is read at once.

They guard against a watch that is asked for again without end, as its answer can only grow.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import unittest

from tests.standins.platform_store import PlatformStore
from tests.wagtailusher_platform.fleet import WAIT_S, configuration
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import FleetView, ReaderContext, ViewCache
from wagtailusher_http import HttpClient
from wagtailusher_platform.const import MAX_CALL_BYTES
from wagtailusher_platform.coordinator import StoreCoordinator
from wagtailusher_platform.store import StoreClient

STEP_S = 0.01
LARGE_BYTES = 900_000
"""Size of a large configuration, which the store still takes."""
CHANGES = MAX_CALL_BYTES // LARGE_BYTES + 1
ENTRY = {"service": "desk", "address": "127.0.0.1:9", "zone": "a", "state": "ready", "born": 1}


class LargeChangesTest(unittest.IsolatedAsyncioTestCase):
    """A store whose answers exceed the client's limit."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStore()
        self.store.put("op/config", configuration(1))
        self.view_cache = ViewCache(lambda view, changed, now_ms: None)
        address = await self.store.async_start()
        self.client = HttpClient()
        context = ReaderContext(
            view_cache=self.view_cache,
            clock_ms=monotonic_ms,
            is_due=lambda: True,
            is_reader=lambda: True,
        )
        store_client = StoreClient(self.client, address, lambda outcome: None)
        self.task = asyncio.create_task(StoreCoordinator(store_client).async_run(context))
        await self.async_until(lambda view: view.configuration is not None)

    async def asyncTearDown(self) -> None:
        self.task.cancel()
        self.client.close()
        await self.store.async_stop()

    async def async_until(self, condition: Callable[[FleetView], bool]) -> None:
        """Wait until the view meets a condition."""
        async with asyncio.timeout(WAIT_S):
            while not condition(self.view_cache.view):  # noqa: ASYNC110 - the cache has no event
                await asyncio.sleep(STEP_S)

    async def test_changes_beyond_one_answer_do_not_end_the_reading(self) -> None:
        for version in range(2, 2 + CHANGES):
            self.store.put("op/config", configuration(version, comment="x" * LARGE_BYTES))
        self.store.put("servers/i-1", ENTRY)
        await self.async_until(lambda view: "i-1" in view.endpoints)
        self.assertEqual(self.view_cache.configuration_version, 1 + CHANGES)
        self.store.put("op/evacuate/b", {})
        await self.async_until(lambda view: "b" in view.evacuated)

    async def test_configuration_beyond_one_answer_does_not_hide_other_changes(self) -> None:
        self.store.put("op/config", configuration(2, comment="x" * MAX_CALL_BYTES))
        self.store.put("servers/i-1", ENTRY)
        self.store.put("op/evacuate/b", {})
        await self.async_until(lambda view: "i-1" in view.endpoints and "b" in view.evacuated)
        self.assertEqual(self.view_cache.configuration_version, 1)
        self.store.put("op/config", configuration(3))
        self.store.remove("servers/i-1")
        await self.async_until(lambda view: not view.endpoints)
        self.assertEqual(self.view_cache.configuration_version, 3)


if __name__ == "__main__":
    unittest.main()
