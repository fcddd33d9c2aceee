"""Tests of how often the VMs of a failure domain call the store.

They guard against a call of every VM for every change.
"""

from __future__ import annotations

import asyncio
from functools import partial
import time
import unittest

from tests.wagtailusher_platform.fleet import PlatformTest, entry

VM_COUNT = 5
CHANGES = 14
CHANGE_INTERVAL_S = 0.4
KNOWN_WITHIN_S = 1.5
"""Within the platform's bound of 2 s for drains."""
WATCH_S = 1.0


class StoreCallsTest(PlatformTest):
    """One VM watches the store, and the others get the changes of entries from it."""

    async def test_changes_of_entries_cost_the_calls_of_one_vm(self) -> None:
        runner = await self.async_runner("desk", "i-1")
        apps = [await self.async_gateway(number) for number in range(1, VM_COUNT + 1)]
        for app in apps:
            await self.async_ready(app, 1)
            await self.async_settled(app)
        calls, started_s = self.store.calls, time.monotonic()
        for number in range(CHANGES):
            is_draining = number % 2 == 0
            state = "draining" if is_draining else "ready"
            self.store.put("servers/i-1", entry(runner, "desk", state=state))
            changed_s = time.monotonic()
            await self.async_until(partial(self._all_show, is_draining))
            self.assertLessEqual(time.monotonic() - changed_s, KNOWN_WITHIN_S)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        watches = (time.monotonic() - started_s) / WATCH_S
        self.assertLessEqual(self.store.calls - calls, CHANGES + watches + VM_COUNT)

    def _all_show(self, is_draining: bool) -> bool:
        """Return whether all VMs know the endpoint's state."""
        views = (app.view_cache.view for app in self.apps)
        return all(
            item.is_draining is is_draining for view in views for item in view.endpoints.values()
        )


if __name__ == "__main__":
    unittest.main()
