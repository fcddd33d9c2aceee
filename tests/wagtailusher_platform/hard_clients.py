"""Fixture with gateway processes, and clients that send much and read little."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
import sys
import tempfile
from typing import Any
import unittest

import yaml

from tests.standins.crowd import Crowd, ProcessPeaks
from tests.standins.platform_store import PlatformStore
from tests.standins.runner import Behaviour, RunnerStandin
from tests.wagtailusher_platform.fleet import (
    HOST,
    KEY,
    PEER_PORT_RANGE,
    configuration,
    entry,
    free_ports,
)
from wagtailusher_http import ClientLimits, Headers, HttpClient, HttpError

MEMORY_MB = 96
"""`memory_mb` of the processes; the bound on their memory."""
MAX_FDS = 600
"""`max_fds` of the processes; the bound on their open descriptors."""
BYTES_PER_MB = 1_000_000
MAX_BODY_BYTES = 4_194_304
ROUTE_TIMEOUT_MS = 60_000
SAMPLE_S = 0.02
HOLD_S = 3.0
"""Time for which a crowd stays as it is before an ordinary request comes."""
ORDINARY_TRIES = 40
ORDINARY_PAUSE_S = 0.25


def head(number: int, path: str = "/look/1", *lines: str, method: str = "POST") -> bytes:
    """Return the head of a client's request."""
    fields = (
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: hard-{number}",
        f"X-Deadline-Ms: {ROUTE_TIMEOUT_MS}",
        f"Authorization: Bearer {KEY}",
        *lines,
    )
    return "\r\n".join((*fields, "", "")).encode()


@dataclass(slots=True)
class GatewayProcess:
    """One VM's process and its peaks."""

    name: str
    front: str
    path: Path
    process: asyncio.subprocess.Process | None = None
    peaks: ProcessPeaks = field(default_factory=ProcessPeaks)

    async def async_start(self) -> None:
        """Start the process."""
        with self.path.with_suffix(".log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "wagtailusher_platform",
                env={"WAGTAILUSHER_CONFIG": str(self.path)},
                stdout=log,
                stderr=log,
            )

    async def async_stop(self) -> None:
        """End the process for good."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class HardClientsTest(unittest.IsolatedAsyncioTestCase):
    """Base class that starts the store, endpoints and gateway processes of a test."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = PlatformStore()
        self.store_address = await self.store.async_start()
        self.store.put("op/config", _configuration())
        self.peer_port = free_ports("127.0.0.1", 1, PEER_PORT_RANGE)[0]
        self.vms: list[GatewayProcess] = []
        self.runners: list[RunnerStandin] = []
        self.crowds: list[Crowd] = []
        self._sampling: asyncio.Task[None] | None = None
        self._client = HttpClient(ClientLimits())

    async def asyncTearDown(self) -> None:
        self._client.close()
        if self._sampling is not None:
            self._sampling.cancel()
        for crowd in self.crowds:
            await crowd.async_close()
        for vm in self.vms:
            await vm.async_stop()
        for runner in self.runners:
            await runner.async_stop()
        await self.store.async_stop()

    async def async_start(self, *behaviours: Behaviour, vm_count: int = 1, slots: int = 96) -> None:
        """Start an endpoint of each service with the behaviours, and the processes."""
        for service in ("desk", "engines"):
            runner = RunnerStandin(instance_id=f"i-{service}", behaviours=list(behaviours))
            await runner.async_start()
            self.runners.append(runner)
            self.store.put(f"servers/{runner.instance_id}", entry(runner, service, slots=slots))
        for number in range(1, vm_count + 1):
            vm = self._new_vm(number)
            await vm.async_start()
            self.vms.append(vm)
        for vm in self.vms:
            await self.async_ordinary(vm)
        self._sampling = asyncio.create_task(self._async_sample())

    def _new_vm(self, number: int) -> GatewayProcess:
        """Write the settings file of a VM."""
        host = f"127.0.0.{number}"
        names = ("front", "ready", "control", "directory")
        ports = free_ports(host, len(names))
        listen = {name: f"{host}:{port}" for name, port in zip(names, ports, strict=True)}
        settings: dict[str, Any] = {
            "node_name": f"front-{number}",
            "ip": host,
            "zone": "a",
            "listen": listen,
            "internal_ports": [self.peer_port, self.peer_port],
            "seeds": [f"127.0.0.{other}:{self.peer_port}" for other in (1, 2)],
            "bootstrap": True,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
            "platform": {"address": self.store_address},
            "bounds": {"grace_s": 8.0, "retry_budget_slack": 50},
        }
        path = self.folder / f"front-{number}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        return GatewayProcess(f"front-{number}", listen["front"], path)

    async def _async_sample(self) -> None:
        """Sample all processes until cancelled."""
        while True:
            for vm in self.vms:
                if vm.process is not None:
                    vm.peaks.sample(vm.process)
            await asyncio.sleep(SAMPLE_S)

    def crowd(self, vm: int = 0) -> Crowd:
        """Return a new crowd of clients of a VM."""
        crowd = Crowd(self.vms[vm].front)
        self.crowds.append(crowd)
        return crowd

    async def async_ordinary(self, vm: GatewayProcess) -> None:
        """Send one small request until it is answered; a refused one is sent again."""
        headers = Headers({"x-deadline-ms": "5000", "authorization": f"Bearer {KEY}"}.items())
        for number in range(ORDINARY_TRIES):
            with suppress(HttpError):
                answer = await self._client.async_request(
                    vm.front,
                    "POST",
                    "/book/1",
                    headers.with_header("x-attempt-id", f"ordinary-{id(self)}-{number}"),
                    b"small",
                    host=HOST,
                    new_connection=True,
                )
                await answer.async_read()
                if answer.status == HTTPStatus.OK:
                    return
            await asyncio.sleep(ORDINARY_PAUSE_S)
        self.fail(f"{vm.name} answered none of {ORDINARY_TRIES} ordinary requests")

    async def async_check(self) -> None:
        """Hold the crowd, then check that each process lives within its limits and serves."""
        await asyncio.sleep(HOLD_S)
        for vm in self.vms:
            with self.subTest(vm=vm.name, peaks=vm.peaks):
                self.check_alive(vm)
                await self.async_ordinary(vm)
                self.check_alive(vm)
                self.check_peaks(vm)

    def check_alive(self, vm: GatewayProcess) -> None:
        """Check that a VM's process has not ended."""
        assert vm.process is not None
        self.assertIsNone(vm.process.returncode)

    def check_peaks(self, vm: GatewayProcess) -> None:
        """Check that a VM's process stayed within its memory and descriptors."""
        self.assertLessEqual(vm.peaks.memory_bytes, MEMORY_MB * BYTES_PER_MB)
        self.assertLessEqual(vm.peaks.descriptors, MAX_FDS)


def _configuration() -> dict[str, Any]:
    """Return a configuration with bodies as large as in most deployments, and long time-outs."""
    document = configuration()
    for route in document["routes"]:
        route["timeout_ms"] = ROUTE_TIMEOUT_MS
    for service in document["services"]:
        service["max_connections"] = 400
    document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    return document
