"""Test fixture with a store, runners and gateways on loopback, connected as on the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from random import Random
import socket
from typing import Any
import unittest

import msgspec

from tests.standins.platform_store import PlatformStore
from tests.standins.runner import RunnerStandin, answer
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp, GatewayMetrics
from wagtailusher_http import ClientAnswer, ClientLimits, Headers, HttpClient
from wagtailusher_platform.coordinator import StoreCoordinator
from wagtailusher_platform.headers import new_http_mapping
from wagtailusher_platform.models import SettingsFile
from wagtailusher_platform.settings import options_from
from wagtailusher_platform.store import StoreClient

HOST = "shop.example"
KEY = "member-key"
WORKSPACE = "members"
DEADLINE_MS = 3_000
WAIT_S = 5.0
STEP_S = 0.01
PORT_RANGE = range(10_000, 30_000)
PEER_PORT_RANGE = range(30_000, 32_700)
"""Peer ports are the same on all hosts of a test, so no other listener may get one of them."""
_PORTS = Random()


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return an operator's configuration with one route of each kind."""
    routes = [
        _route("book", "unsafe", "desk", max_attempts=1),
        _route("look", "safe", "desk", max_attempts=2),
        _route("review", "streaming", "engines", max_attempts=3, stream_resume=True),
        _route("chat", "streaming", "engines", max_attempts=1, stream_resume=False),
    ]
    document: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "max_connections": 10, "cold_start_s": 0.0, "cold_per_s": 0.0},
            {
                "name": "engines",
                "max_connections": 10,
                "cold_start_s": 3.0,
                "cold_per_s": 2.0,
                "engine": {"slots": 8, "kv_capacity_tokens": 100_000, "stride": 6},
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "priority": 1}],
    }
    return document | changes


def _route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "public": False,
    } | fields


def entry(runner: RunnerStandin, service: str, **changes: Any) -> dict[str, Any]:
    """Return a runner's entry in the store."""
    return {
        "service": service,
        "address": runner.address,
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1,
    } | changes


def free_ports(host: str, count: int, among: range = PORT_RANGE) -> list[int]:
    """Return ports that are free for TCP on a host.

    They are below those that the kernel gives to sockets without one, such as links and callers,
    which could otherwise take a port before it is listened at.
    """
    ports: set[int] = set()
    while len(ports) < count:
        port = _PORTS.choice(among)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((host, port))
            ports.add(port)
    return list(ports)


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """Base class that starts the store, runners and gateways of a test and stops them."""

    environment: Mapping[str, str] = {}
    """Variables of the gateways' environment."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStore()
        self.store_address = await self.store.async_start()
        self.store.put("op/config", configuration())
        self.apps: list[GatewayApp] = []
        self.runners: list[RunnerStandin] = []
        self.client = HttpClient(ClientLimits())
        self.peer_port = free_ports("127.0.0.1", 1, PEER_PORT_RANGE)[0]
        self._requests = 0

    async def asyncTearDown(self) -> None:
        self.client.close()
        for app in tuple(self.apps):
            await self.async_kill(app)
        for runner in self.runners:
            await runner.async_stop()
        await self.store.async_stop()

    async def async_runner(
        self, service: str, instance_id: str, *behaviours: Any, **changes: Any
    ) -> RunnerStandin:
        """Start a runner and write its entry to the store."""
        runner = RunnerStandin(instance_id=instance_id, behaviours=list(behaviours) or [answer()])
        await runner.async_start()
        self.runners.append(runner)
        self.store.put(f"servers/{instance_id}", entry(runner, service, **changes))
        return runner

    async def async_gateway(
        self,
        number: int = 1,
        store_address: str | None = None,
        zone: str = "a",
        **settings: Any,
    ) -> GatewayApp:
        """Start a gateway at a loopback address of its own and wait until it is ready."""
        host = f"127.0.0.{number}"
        ports = free_ports(host, 4)
        names = ("front", "ready", "control", "directory")
        document = {
            "node_name": f"front-{number}",
            "ip": host,
            "zone": zone,
            "listen": {name: f"{host}:{port}" for name, port in zip(names, ports, strict=True)},
            "internal_ports": [self.peer_port, self.peer_port],
            "seeds": [self._live_seed()],
            "bootstrap": True,
            "platform": {"address": self.store_address},
            "bounds": {"retry_budget_slack": 50, "cold_overage": 1.5, "cold_slack": 1},
        } | settings
        options = options_from(msgspec.convert(document, SettingsFile), self.environment)
        app = GatewayApp(options, new_http_mapping(), GatewayMetrics())
        address = store_address or self.store_address
        store = StoreClient(HttpClient(), address, lambda outcome: None)
        await app.async_start(StoreCoordinator(store).async_run)
        self.apps.append(app)
        return app

    def _live_seed(self) -> str:
        """Return the seed of a new gateway: one that runs, or that of the first to start."""
        host = self.apps[0].options.peer_listen.rpartition(":")[0] if self.apps else "127.0.0.1"
        return f"{host}:1"

    async def async_endpoints_and_gateway(
        self, service: str, *behaviours: tuple[Any, ...]
    ) -> tuple[GatewayApp, list[RunnerStandin]]:
        """Start an endpoint for each tuple of behaviours and a settled gateway that knows them."""
        runners = [
            await self.async_runner(service, f"i-{number}", *items)
            for number, items in enumerate(behaviours, start=1)
        ]
        app = await self.async_gateway()
        await self.async_ready(app, len(runners))
        await self.async_settled(app)
        return app, runners

    async def async_kill(self, app: GatewayApp) -> None:
        """Stop a gateway without notice to callers and peers."""
        self.apps.remove(app)
        await app._tasks.async_stop()
        await app.servers.async_close()
        app.link.close()
        app._client.close()
        app._peer_client.close()

    async def async_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_S):
            while not condition():  # noqa: ASYNC110 - any condition can be waited for
                await asyncio.sleep(STEP_S)

    async def async_ready(self, app: GatewayApp, endpoints: int) -> None:
        """Wait until a gateway has its configuration and the given number of endpoints."""
        await self.async_until(
            lambda: app.is_ready and len(app.view_cache.view.endpoints) == endpoints
        )

    async def async_settled(self, app: GatewayApp) -> None:
        """Wait until a gateway uses its share of fleet-wide limits, such as the retry budget."""
        await self.async_until(lambda: app.fleet.is_settled(monotonic_ms()))

    async def async_ask(
        self, app: GatewayApp, path: str, body: bytes = b"", **fields: str
    ) -> ClientAnswer:
        """Send one request of a caller and return the answer's head."""
        return await self.async_ask_by(self.client, app, path, body, **fields)

    async def async_ask_by(
        self, caller: HttpClient, app: GatewayApp, path: str, body: bytes = b"", **fields: str
    ) -> ClientAnswer:
        """Send one request on a caller's connections and return the answer's head."""
        self._requests += 1
        headers = {
            "x-attempt-id": f"attempt-{self._requests}",
            "x-deadline-ms": str(DEADLINE_MS),
            "authorization": f"Bearer {KEY}",
        } | {name.replace("_", "-"): value for name, value in fields.items()}
        return await caller.async_request(
            app.options.listen,
            "POST" if body else "GET",
            path,
            Headers(headers.items()),
            body,
            host=HOST,
        )
