"""Test fixture with VMs whose links to all endpoints can be cut, one VM at a time."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus
import json
from unittest.mock import patch

from tests.soak.proxy import FaultProxy
from tests.standins.runner import Behaviour, RunnerStandin, answer, stream
from tests.wagtailusher_platform.fleet import PlatformTest, entry
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import ClientLimits, HttpClient, HttpError
from wagtailusher_http.client_connection import ClientConnection

PATHS = ("/look/1", "/book/1", "/review/1", "/chat/1")
EVENTS = 3
LAST_EVENT = b"data: token %d\n\n" % EVENTS


class LinkedHttpClient(HttpClient):
    """Connects to each address over a link, if it has one."""

    def __init__(self, limits: ClientLimits | None = None) -> None:
        super().__init__(limits)
        self.links: dict[str, str] = {}
        """Addresses of the links by the addresses to which they lead."""

    async def _async_get_connection(
        self, address: str, *, new_connection: bool
    ) -> ClientConnection:
        linked = self.links.get(address, address)
        return await super()._async_get_connection(linked, new_connection=new_connection)

    async def async_is_refused(self, address: str) -> bool:
        return await super().async_is_refused(self.links.get(address, address))

    async def async_is_answered(self, address: str, timeout_ms: int) -> bool:
        return await super().async_is_answered(self.links.get(address, address), timeout_ms)

    def drop_idle(self, address: str) -> None:
        super().drop_idle(self.links.get(address, address))


class CutOffFleetTest(PlatformTest):
    """Base class of tests with VMs that reach each endpoint over a link of their own."""

    async def async_start_fleet(
        self,
        vm_count: int,
        *,
        desk: Behaviour | None = None,
        engine: Behaviour | None = None,
        slots: int = 6,
        zones: str = "a",
    ) -> None:
        """Start two endpoints of each service, and VMs that know all and each other.

        The VMs are in the zones by turns, each named by a letter.
        """
        self.links: dict[GatewayApp, list[FaultProxy]] = {}
        for number in (1, 2):
            await self.async_runner("desk", f"i-{number}", desk or answer(), slots=slots)
            await self.async_runner("engines", f"e-{number}", engine or stream(EVENTS), slots=slots)
        for number in range(1, vm_count + 1):
            with patch("wagtailusher_gateway.app.HttpClient", LinkedHttpClient):
                app = await self.async_gateway(number, zone=zones[(number - 1) % len(zones)])
            await self._async_link(app)
        for app in self.apps:
            await self.async_ready(app, len(self.runners))
            await self.async_settled(app)
            await self.async_until(knows_peers(app, vm_count - 1))

    async def asyncTearDown(self) -> None:
        await super().asyncTearDown()
        for links in self.links.values():
            for link in links:
                await link.async_stop()

    async def _async_link(self, app: GatewayApp) -> None:
        """Let a VM reach each endpoint through a proxy of its own."""
        self.links[app] = []
        for runner in self.runners:
            await self.async_link_runner(app, runner)

    async def async_link_runner(self, app: GatewayApp, runner: RunnerStandin) -> None:
        """Let a VM reach an endpoint through a proxy of its own."""
        client = app._client
        assert isinstance(client, LinkedHttpClient)
        link = FaultProxy(target=_address_of(runner))
        client.links[runner.address] = await link.async_start()
        self.links[app].append(link)

    def cut(self, app: GatewayApp, how: str) -> None:
        """Cut a VM's links to all endpoints: "reset", "hang" or "refuse new" connections."""
        for link in self.links[app]:
            if how == "hang":
                link.go_dark()
            elif how == "refuse new":
                link.refuse_new()
            else:
                link.refuse()

    async def async_restore(self, app: GatewayApp) -> None:
        """End a cut that reset or refused connections."""
        for link in self.links[app]:
            await link.async_accept_again()

    async def async_change_entry(self, runner: RunnerStandin, service: str, state: str) -> None:
        """Write a changed entry of an endpoint, and wait until all VMs know it."""
        self.store.put(f"servers/{runner.instance_id}", entry(runner, service, state=state))
        revision = self.store.revision
        await self.async_until(
            lambda: all(app.view_cache.view.revision >= revision for app in self.apps)
        )

    async def async_is_served(self, app: GatewayApp, path: str) -> bool:
        """Return whether a request gets its complete answer at the first try."""
        try:
            reply = await self.async_ask(app, path)
            body = await reply.async_read(2_000)
        except HttpError:
            return False
        if reply.status != HTTPStatus.OK:
            return False
        return path in PATHS[:2] or body.endswith(LAST_EVENT)

    async def async_count_served(
        self, rounds: int, interval_s: float, *, apps: list[GatewayApp] | None = None
    ) -> Counter[GatewayApp]:
        """Send rounds of one request of each kind to each VM; return how many each serves."""
        served: Counter[GatewayApp] = Counter()

        async def async_send(app: GatewayApp, path: str) -> None:
            if await self.async_is_served(app, path):
                served[app] += 1

        async with asyncio.TaskGroup() as group:
            for _ in range(rounds):
                for app in apps or self.apps:
                    for path in PATHS:
                        group.create_task(async_send(app, path))
                await asyncio.sleep(interval_s)
        return served

    async def async_addresses(self, app: GatewayApp) -> list[str]:
        """Return the addresses that a VM names to callers."""
        listen = app.options.directory_listen
        assert listen is not None
        reply = await self.client.async_request(listen, "GET", "/resolve?name=a&region=b&zone=a")
        addresses: list[str] = json.loads(await reply.async_read(2_000))["addresses"]
        return addresses

    def executions(self, attempt_id: str) -> int:
        """Return how often a request was run."""
        return sum(runner.executed_ids.count(attempt_id) for runner in self.runners)


def knows_peers(app: GatewayApp, count: int) -> Callable[[], bool]:
    """Return a condition that a VM hears of a number of ready peers."""
    return lambda: len(app.fleet.serving_members(monotonic_ms())) >= count + 1


def _address_of(runner: RunnerStandin) -> Callable[[], str]:
    return lambda: runner.address
