"""Tests of VMs that start while the store shows an older copy of its content.

They guard against a VM that believes the store alone, although its peers know better.
"""

from __future__ import annotations

import asyncio
import time
import unittest

from tests.wagtailusher_platform.drill_fleet import APPLY_S, AWAY_S, StoreDrillFleetTest, with_route
from tests.wagtailusher_platform.fleet import KEY
from wagtailusher_gateway import GatewayApp
from wagtailusher_gateway.peers import STARTED_TOGETHER_MS

STARTED = 4
"""Number of the VM that starts after the drill."""
MAX_ALONE_S = 2.0
"""Most time without service at VMs that start with nobody to ask."""


class StartingVmTest(StoreDrillFleetTest):
    """Three VMs know changes that the store has lost when a fourth one starts."""

    async def _async_start_after_drill(self) -> GatewayApp:
        copy = await self.async_lose_changes()
        self.store.put("op/evacuate/b", {})
        self.store.remove("servers/i-2")
        revision = self.store.revision
        await self.async_known(lambda app: app.view_cache.view.revision >= revision)
        await self.store.async_drill(copy, AWAY_S)
        await self.async_known(lambda app: app.view_cache.view.epoch == self.store.era)
        return await self._async_start_later()

    async def _async_start_later(self) -> GatewayApp:
        """Start a VM that does not count as started together with the others."""
        await asyncio.sleep(STARTED_TOGETHER_MS / 1000)
        return await self.async_gateway(STARTED)

    async def _async_observe(self, app: GatewayApp, path: str, key: str) -> set[int]:
        """Return the statuses of a VM's answers while the older copy is shown."""
        statuses = set()
        ends_s = time.monotonic() + APPLY_S
        while time.monotonic() < ends_s:
            reply = await self.async_ask(app, path, authorization=f"Bearer {key}")
            await reply.async_read(1_000)
            statuses.add(reply.status)
            await asyncio.sleep(0.05)
        return statuses

    async def _async_requests_to_leaving(self, app: GatewayApp) -> int:
        """Return how many requests reach an endpoint by a VM, with keys of both versions."""
        before = len(self.leaving.received)
        async with asyncio.TaskGroup() as group:
            for key in (KEY, "new-key"):
                group.create_task(self._async_observe(app, "/look/1", key))
        return len(self.leaving.received) - before

    async def test_route_that_the_older_copy_lacks_is_served_by_a_vm_that_starts(self) -> None:
        app = await self._async_start_after_drill()
        statuses = await self._async_observe(app, "/early/1", "new-key")
        self.assertLessEqual(statuses, {200, 503})
        self.assertIn(200, statuses)

    async def test_key_withdrawn_in_the_lost_changes_is_refused_by_a_vm_that_starts(self) -> None:
        app = await self._async_start_after_drill()
        statuses = await self._async_observe(app, "/look/1", KEY)
        self.assertLessEqual(statuses, {401, 503})
        self.assertIn(401, statuses)

    async def test_endpoint_gone_in_the_lost_changes_gets_nothing_from_a_vm_that_starts(
        self,
    ) -> None:
        app = await self._async_start_after_drill()
        self.assertEqual(await self._async_requests_to_leaving(app), 0)

    async def test_endpoint_that_drains_gets_nothing_from_a_vm_that_starts(self) -> None:
        copy = await self.async_lose_changes()
        await self.store.async_drill(copy, AWAY_S)
        await self.async_known(lambda app: app.view_cache.view.epoch == self.store.era)
        app = await self._async_start_later()
        self.assertEqual(await self._async_requests_to_leaving(app), 0)

    async def test_lost_evacuation_holds_at_a_vm_that_starts(self) -> None:
        app = await self._async_start_after_drill()
        await self.async_ready(app, 2)
        self.assertEqual(app.view_cache.view.evacuated, {"b"})

    async def test_vm_that_starts_follows_what_is_written_after_the_drill(self) -> None:
        app = await self._async_start_after_drill()
        self.store.put("op/config", with_route(4, "early", "late"))
        await asyncio.sleep(APPLY_S)
        reply = await self.async_ask(app, "/late/1")
        self.assertEqual(reply.status, 200)

    async def test_vm_that_knows_the_older_copy_only_learns_of_newer_versions_from_peers(
        self,
    ) -> None:
        """Datagrams between it and its peers were lost when it started."""
        copy = await self.async_lose_changes()
        await self.store.async_drill(copy, AWAY_S)
        await self.async_known(lambda app: app.view_cache.view.epoch == self.store.era)
        others = {app.options.peer_listen for app in self.apps}
        app = await self.async_gateway(STARTED, seeds=[])
        await self.async_until(lambda: app.is_ready)
        for address in others:
            app.link.send(address, app.heartbeats._new_heartbeat(0, with_peers=False))
        await asyncio.sleep(APPLY_S)
        reply = await self.async_ask(app, "/early/1", authorization="Bearer new-key")
        self.assertEqual(reply.status, 200)

    async def test_fleet_that_starts_together_does_not_wait(self) -> None:
        for app in tuple(self.apps):
            await self.async_kill(app)
        started_s = time.monotonic()
        for number in (1, 2, 3):
            await self.async_gateway(number)
        await self.async_until(lambda: all(app.is_ready for app in self.apps))
        self.assertLess(time.monotonic() - started_s, MAX_ALONE_S)

    async def test_vm_whose_peers_are_gone_is_ready_soon(self) -> None:
        for app in tuple(self.apps):
            await self.async_kill(app)
        started_s = time.monotonic()
        app = await self.async_gateway(STARTED)
        await self.async_until(lambda: app.is_ready)
        self.assertLess(time.monotonic() - started_s, MAX_ALONE_S)


if __name__ == "__main__":
    unittest.main()
