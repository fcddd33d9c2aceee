"""Tests of the number of calls to the store while many changes are written to it.

They guard against one call per change, which would overload the store in a large fleet.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.standins.platform_store import PlatformStore
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import ReaderContext, ViewCache
from wagtailusher_http import HttpClient
from wagtailusher_platform.const import FOLLOWER_PAUSE_MS, MS_PER_S, WATCH_PAUSE_MS
from wagtailusher_platform.coordinator import StoreCoordinator
from wagtailusher_platform.store import StoreClient

CHANGES = 60
CHANGE_PAUSE_S = 0.025
CHURN_MS = int(CHANGES * CHANGE_PAUSE_S * MS_PER_S)
FIRST_CALLS = 2
"""The complete list and the first watch."""


class CoordinatorTest(unittest.IsolatedAsyncioTestCase):
    """Calls to the store while its items change continuously."""

    async def async_calls(self, *, is_reader: bool) -> int:
        """Return the number of calls of one VM while the store changes continuously."""
        store = PlatformStore()
        address = await store.async_start()
        view_cache = ViewCache(lambda view, changed, now_ms: None)
        context = ReaderContext(
            view_cache=view_cache,
            clock_ms=monotonic_ms,
            is_due=lambda: True,
            is_reader=lambda: is_reader,
        )
        client = StoreClient(HttpClient(), address, lambda outcome: None)
        task = asyncio.create_task(StoreCoordinator(client).async_run(context))
        try:
            for number in range(CHANGES):
                store.put(f"op/evacuate/zone-{number}", {})
                await asyncio.sleep(CHANGE_PAUSE_S)
            last = store.revision
            async with asyncio.timeout(2 * FOLLOWER_PAUSE_MS / MS_PER_S):
                while view_cache.view.revision < last:  # noqa: ASYNC110 - the cache has no event
                    await asyncio.sleep(CHANGE_PAUSE_S)
        finally:
            task.cancel()
            await store.async_stop()
        return store.calls

    async def test_reader_batches_changes(self) -> None:
        calls = await self.async_calls(is_reader=True)
        self.assertLessEqual(calls, FIRST_CALLS + 2 * CHURN_MS / WATCH_PAUSE_MS)

    async def test_vm_that_follows_a_reader_makes_fewer_calls(self) -> None:
        """Each change makes every VM of a large fleet call the store, so each calls less often."""
        calls = await self.async_calls(is_reader=False)
        self.assertLessEqual(calls, FIRST_CALLS + 2 * CHURN_MS / FOLLOWER_PAUSE_MS)


if __name__ == "__main__":
    unittest.main()
