"""Test fixture with VMs that know changes which their store then loses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.soak.proxy import FaultProxy
from tests.standins.platform_store import StoreCopy
from tests.wagtailusher_platform.fleet import KEY, PlatformTest, configuration, entry
from wagtailusher_gateway import GatewayApp

VM_COUNT = 3
APPLY_S = 2.0
"""The platform's bound for configurations and drains."""
AWAY_S = 0.8
REQUESTS = 8


def with_route(version: int, *names: str, **changes: Any) -> dict[str, Any]:
    """Return a configuration with further routes to the desk."""
    document = configuration(version, **changes)
    template = document["routes"][1]
    for name in names:
        document["routes"].append(template | {"name": name, "prefix": f"/{name}/"})
    return document


class StoreDrillFleetTest(PlatformTest):
    """Base class of tests with three VMs, each with a link of its own to the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.store.era = 1
        self.kept = await self.async_runner("desk", "i-1")
        self.leaving = await self.async_runner("desk", "i-2")
        self.proxies: list[FaultProxy] = []
        for number in range(1, VM_COUNT + 1):
            proxy = FaultProxy(target=lambda: self.store_address)
            self.proxies.append(proxy)
            await self.async_gateway(number, await proxy.async_start())
        for app in self.apps:
            await self.async_ready(app, 2)

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        for proxy in self.proxies:
            await proxy.async_stop()

    async def async_known(self, holds: Callable[[GatewayApp], bool]) -> None:
        """Wait until a condition holds at all VMs."""
        await self.async_until(lambda: all(holds(app) for app in self.apps))

    async def async_lose_changes(self) -> StoreCopy:
        """Make changes that all VMs know, and return the copy of the store without them.

        A route is added, a key is withdrawn, one endpoint drains, and one is added.
        """
        copy = self.store.copy()
        self.store.put("op/config", with_route(2, "early"))
        tenants = [{"name": "members", "api_keys": ["new-key"], "priority": 1}]
        self.store.put("op/config", with_route(3, "early", tenants=tenants))
        self.store.put("servers/i-2", entry(self.leaving, "desk", state="draining"))
        self.lost = await self.async_runner("desk", "i-3")
        for sequence in range(2, 10):
            self.store.put("servers/i-1", entry(self.kept, "desk", sequence=sequence))
        revision = self.store.revision
        await self.async_known(lambda app: app.view_cache.view.revision >= revision)
        return copy

    async def async_statuses(self, path: str, key: str = KEY) -> list[int]:
        """Return the statuses of one request to each VM."""
        answers = [
            await self.async_ask(app, path, authorization=f"Bearer {key}") for app in self.apps
        ]
        for item in answers:
            await item.async_read(1_000)
        return [item.status for item in answers]

    async def async_requests_to(self, *runners: Any) -> int:
        """Return how many requests reach the runners when all VMs get some."""
        before = sum(len(item.received) for item in runners)
        for _ in range(REQUESTS):
            await self.async_statuses("/look/1", "new-key")
        return sum(len(item.received) for item in runners) - before
