"""Tests of how fast changes are in force while a reader of the store or the store is in trouble.

They guard against VMs that rest on a reader which no longer reads.
"""

from __future__ import annotations

import asyncio
import time
import unittest

from tests.soak.proxy import FaultProxy
from tests.wagtailusher_platform.fleet import PlatformTest, configuration, entry
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp

VM_COUNT = 3
APPLY_S = 2.0
"""The platform's bound for configurations and drains."""
TRIES = 3


class LateChangesTest(PlatformTest):
    """Three VMs of one failure domain, each with its own way to the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runner = await self.async_runner("desk", "i-1")
        self.proxies: dict[GatewayApp, FaultProxy] = {}
        for number in range(1, VM_COUNT + 1):
            proxy = FaultProxy(target=lambda: self.store_address)
            app = await self.async_gateway(number, await proxy.async_start())
            self.proxies[app] = proxy
        for app in self.apps:
            await self.async_ready(app, 1)
            await self.async_settled(app)
        self._version = 1
        self._is_draining = False

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        for proxy in self.proxies.values():
            await proxy.async_stop()

    def _reader(self) -> GatewayApp:
        return next(app for app in self.apps if app.fleet.is_reader(monotonic_ms()))

    def _change(self) -> None:
        """Write a new configuration, and let the endpoint drain or take that back."""
        self._version += 1
        self._is_draining = not self._is_draining
        self.store.put("op/config", configuration(self._version))
        state = "draining" if self._is_draining else "ready"
        self.store.put("servers/i-1", entry(self.runner, "desk", state=state))

    def _knows(self, app: GatewayApp) -> bool:
        view = app.view_cache.view
        assert view.configuration is not None
        states = {item.is_draining for item in view.endpoints.values()}
        return view.configuration.version == self._version and states == {self._is_draining}

    async def _async_check_known(self, since_s: float) -> None:
        """Check that all VMs know the changes in time."""
        await asyncio.sleep(max(0.0, since_s + APPLY_S - time.monotonic()))
        self.assertEqual([self._knows(app) for app in self.apps], [True] * len(self.apps))

    async def test_changes_while_watches_hear_nothing_and_the_history_goes(self) -> None:
        for _ in range(TRIES):
            self.store.hushes_watches = True
            self._change()
            changed_s = time.monotonic()
            await asyncio.sleep(1.0)
            self.store.hushes_watches = False
            self.store.compact_history()
            for proxy in self.proxies.values():
                proxy.reset_all()
            await self._async_check_known(changed_s)

    async def test_changes_after_the_reader_lost_the_store(self) -> None:
        for number in range(TRIES):
            proxy = self.proxies[self._reader()]
            await asyncio.sleep(0.1 * number)
            proxy.drops_requests = proxy.drops_answers = True
            self._change()
            await self._async_check_known(time.monotonic())
            proxy.reset_all()
            proxy.heal()
            await asyncio.sleep(1.0)

    async def test_changes_after_the_reader_stopped_without_notice(self) -> None:
        await self.async_kill(self._reader())
        self._change()
        await self._async_check_known(time.monotonic())

    async def test_version_behind_an_unreadable_one(self) -> None:
        for unreadable in (b"\xff\xfe", b"[]", b'{"version": 3}', b""):
            with self.subTest(unreadable=unreadable):
                self._change()
                self.store.put("op/config", unreadable)
                await self._async_check_known(time.monotonic())
                self._change()
                self.store.put("op/config", unreadable)
                await asyncio.sleep(0.1)
                self._change()
                await self._async_check_known(time.monotonic())

    async def test_versions_in_quick_succession_while_readers_stop_and_start(self) -> None:
        """A new VM starts in the place of each reader that is killed."""
        for number in range(VM_COUNT + 1, VM_COUNT + 1 + TRIES):
            for _ in range(8):
                self._change()
                await asyncio.sleep(0.03)
            await self.async_kill(self._reader())
            for _ in range(8):
                self._change()
                await asyncio.sleep(0.03)
            changed_s = time.monotonic()
            await self.async_gateway(number)
            await self._async_check_known(changed_s)

    async def test_change_of_which_only_a_later_event_is_heard(self) -> None:
        """The store names the last change of a key only."""
        for _ in range(TRIES):
            self.store.hushes_watches = True
            self._change()
            self._change()
            self._change()
            latest = {change["key"]: change for change in self.store.changes}
            self.store.changes = sorted(latest.values(), key=lambda item: item["revision"])
            self.store.hushes_watches = False
            self.store._changed.set()
            await self._async_check_known(time.monotonic())

    async def test_change_at_vms_that_the_store_refuses_with_their_peers(self) -> None:
        """Only one VM is served, and it is not always the reader."""
        for app in self.apps:
            for other in self.apps:
                if other is not app:
                    self.proxies[other].refuse()
            self._change()
            await self._async_check_known(time.monotonic())
            for other in self.apps:
                if other is not app:
                    await self.proxies[other].async_accept_again()
            await asyncio.sleep(0.5)

    async def test_route_that_is_removed_and_added_again_leads_to_its_new_service(self) -> None:
        moved = await self.async_runner("moved", "m-1")
        document = configuration(2)
        route = document["routes"].pop(1)
        self.store.put("op/config", document)
        again = configuration(3)
        again["routes"][1] = route | {"service": "moved"}
        again["services"].append({"name": "moved", "max_connections": 10})
        self.store.put("op/config", again)
        await asyncio.sleep(APPLY_S)
        before = len(self.runner.received)
        for app in self.apps:
            reply = await self.async_ask(app, "/look/1")
            self.assertEqual(reply.status, 200)
            await reply.async_read()
        self.assertEqual((len(self.runner.received), len(moved.received)), (before, VM_COUNT))


if __name__ == "__main__":
    unittest.main()
