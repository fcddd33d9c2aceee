"""Tests of how often the VMs of a failure domain call the store.

They guard against a call of every VM for every change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
import time
import unittest

from tests.wagtailusher_platform.fleet import PlatformTest, configuration, entry

VM_COUNT = 5
CHANGES = 14
CHANGE_INTERVAL_S = 0.4
KNOWN_WITHIN_S = 1.5
"""Within the platform's bound of 2 s for drains."""
WATCH_S = 1.0


class StoreCallsTest(PlatformTest):
    """One VM watches the store, and the others get the changes of entries from it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runner = await self.async_runner("desk", "i-1")
        for number in range(1, VM_COUNT + 1):
            await self.async_gateway(number)
        for app in self.apps:
            await self.async_ready(app, 1)
            await self.async_settled(app)

    async def test_changes_of_entries_cost_the_calls_of_one_vm(self) -> None:
        await self._async_check(self._change_entry, self._all_show_entry)

    async def test_new_configurations_cost_the_calls_of_one_vm(self) -> None:
        await self._async_check(self._change_configuration, self._all_show_configuration)

    async def _async_check(
        self, change: Callable[[int], None], all_show: Callable[[int], bool]
    ) -> None:
        """Make changes, and check when all VMs know them and what that costs."""
        calls, started_s = self.store.calls, time.monotonic()
        for number in range(CHANGES):
            change(number)
            changed_s = time.monotonic()
            await self.async_until(partial(all_show, number))
            self.assertLessEqual(time.monotonic() - changed_s, KNOWN_WITHIN_S)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        watches = (time.monotonic() - started_s) / WATCH_S
        self.assertLessEqual(self.store.calls - calls, CHANGES + watches + VM_COUNT)

    def _change_entry(self, number: int) -> None:
        state = "ready" if number % 2 else "draining"
        self.store.put("servers/i-1", entry(self.runner, "desk", state=state))

    def _all_show_entry(self, number: int) -> bool:
        views = (app.view_cache.view for app in self.apps)
        shown = {item.is_draining for view in views for item in view.endpoints.values()}
        return shown == {number % 2 == 0}

    def _change_configuration(self, number: int) -> None:
        changed = configuration(version=2 + number)
        changed["routes"][0]["timeout_ms"] = 2_000 + number
        self.store.put("op/config", changed)

    def _all_show_configuration(self, number: int) -> bool:
        current = [app.view_cache.view.configuration for app in self.apps]
        return {item.version for item in current if item is not None} == {2 + number}


if __name__ == "__main__":
    unittest.main()
