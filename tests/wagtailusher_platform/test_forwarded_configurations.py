"""Tests of requests handed on between VMs whose configurations differ.

They guard against a request that is decided by an older configuration than its caller has seen.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any
import unittest

from tests.standins.runner import RunnerStandin
from tests.wagtailusher_platform.cut_off_fleet import CutOffFleetTest
from tests.wagtailusher_platform.fleet import configuration
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_gateway.models import Member

ROUNDS = 20
LEARNS_AFTER_S = 0.1
"""How much later than its peer a VM learns of a configuration; more than the usual spread."""


def moved_configuration() -> dict[str, Any]:
    """Return a second version by which all routes lead to another service."""
    document = configuration(2)
    for route in document["routes"]:
        route["service"] = "moved"
    document["services"].append({"name": "moved", "max_connections": 10})
    return document


def has_version(app: GatewayApp, version: int) -> Callable[[], bool]:
    """Return a condition that a configuration is in force at a VM."""
    return lambda: app.view_cache.configuration_version == version


class ForwardedConfigurationsTest(CutOffFleetTest):
    """The first VM reaches no endpoint and has the newer configuration, the second one has not."""

    async def async_start(self, vm_count: int = 2) -> None:
        """Start VMs that know an endpoint of the service to which the routes are moved.

        The second VM is in a failure domain of its own, so the others don't follow its reads.
        """
        await self.async_start_fleet(vm_count, zones="aba")
        self.moved = await self.async_runner("moved", "m-1")
        for app in self.apps:
            await self.async_ready(app, len(self.runners))
            await self.async_link_runner(app, self.moved)
        self.cut_off, self.older = self.apps[:2]

    @contextmanager
    def holding_back(self) -> Iterator[None]:
        """Let the second VM learn of no configuration."""
        apply = self.older.view_cache.set_configuration
        self.older.view_cache.set_configuration = lambda *_: None  # type: ignore[method-assign]
        yield
        self.older.view_cache.set_configuration = apply  # type: ignore[method-assign]

    async def _async_move_routes(self) -> None:
        """Move the routes, and wait until the cut VM knows it and reaches no endpoint."""
        self.store.put("op/config", moved_configuration())
        await self.async_until(has_version(self.cut_off, 2))
        self.cut(self.cut_off, "reset")
        for runner in self.runners:
            runner.received.clear()

    def _received_by_old_service(self) -> list[RunnerStandin]:
        return [item for item in self.runners if item.received and item is not self.moved]

    def _lead_to_older(self) -> None:
        """Let the cut VM hand requests on to the older one, whatever that states of itself."""
        (member,) = (
            item
            for item in self.cut_off.fleet.live_members(monotonic_ms())
            if item.vm_id == self.older.options.vm_id
        )
        members: list[Member] = [member]
        self.cut_off._forwarder._takers = lambda service: members

    async def _async_statuses(self) -> set[int]:
        """Return the statuses of requests to the cut VM."""
        replies = [await self.async_ask(self.cut_off, "/look/1") for _ in range(ROUNDS)]
        for reply in replies:
            await reply.async_read(1_000)
        return {reply.status for reply in replies}

    async def test_vm_with_an_older_configuration_is_not_handed_a_request(self) -> None:
        await self.async_start()
        with self.holding_back():
            await self._async_move_routes()
            self.assertEqual(await self._async_statuses(), {HTTPStatus.SERVICE_UNAVAILABLE})
        self.assertEqual(self._received_by_old_service(), [])

    async def test_vm_with_an_older_configuration_does_not_send_what_it_is_handed(self) -> None:
        await self.async_start()
        self._lead_to_older()
        with self.holding_back():
            await self._async_move_routes()
            self.assertEqual(await self._async_statuses(), {HTTPStatus.SERVICE_UNAVAILABLE})
        self.assertEqual(self._received_by_old_service(), [])

    async def test_vm_with_the_newer_configuration_gets_the_request(self) -> None:
        await self.async_start(vm_count=3)
        with self.holding_back():
            await self._async_move_routes()
            await self.async_until(has_version(self.apps[2], 2))
            self.assertEqual(await self._async_statuses(), {HTTPStatus.OK})
        self.assertEqual(self._received_by_old_service(), [])

    async def test_vm_that_refuses_for_its_older_configuration_is_not_the_last_one(self) -> None:
        """It is asked first, before its heartbeats tell which configuration it has."""
        await self.async_start(vm_count=3)
        members = {item.vm_id: item for item in self.cut_off.fleet.live_members(monotonic_ms())}
        in_order = [members[app.options.vm_id] for app in (self.older, self.apps[2])]
        self.cut_off._forwarder._takers = lambda service: in_order
        with self.holding_back():
            await self._async_move_routes()
            await self.async_until(has_version(self.apps[2], 2))
            reply = await self.async_ask(self.cut_off, "/look/1")
            self.assertEqual(reply.status, HTTPStatus.OK)
        self.assertEqual(self._received_by_old_service(), [])

    async def test_vm_that_learns_of_the_configuration_in_time_takes_the_request(self) -> None:
        await self.async_start()
        self._lead_to_older()
        with self.holding_back():
            await self._async_move_routes()
        newest = self.cut_off.view_cache.view.configuration
        assert newest is not None
        asyncio.get_running_loop().call_later(
            LEARNS_AFTER_S,
            lambda: self.older.view_cache.set_configuration(newest, "test", monotonic_ms()),
        )
        reply = await self.async_ask(self.cut_off, "/look/1")
        self.assertEqual(reply.status, HTTPStatus.OK)
        self.assertEqual(self._received_by_old_service(), [])

    async def test_vm_with_a_newer_configuration_decides_on_the_request(self) -> None:
        """The roles are swapped: the cut VM is the one that is held back."""
        await self.async_start()
        self.cut_off, self.older = self.older, self.cut_off
        with self.holding_back():
            self.store.put("op/config", moved_configuration())
            await self.async_until(has_version(self.cut_off, 2))
            self.cut(self.older, "reset")
            for runner in self.runners:
                runner.received.clear()
            replies = [await self.async_ask(self.older, "/look/1") for _ in range(ROUNDS)]
        self.assertEqual({reply.status for reply in replies}, {HTTPStatus.OK})
        self.assertEqual(self._received_by_old_service(), [])


if __name__ == "__main__":
    unittest.main()
