"""Entry daemons as processes, started, signalled and ended by their ids."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
import signal
import sys
from typing import Any

import yaml

from tests.soak.const import COLD_OVERAGE, COLD_SLACK
from tests.wagtailusher_platform.fleet import free_ports

GRACE_S = 5.0


@dataclass(slots=True)
class EntryProcess:
    """One entry VM: a settings file, and a process that may come and go."""

    name: str
    host: str
    folder: Path
    store_address: str
    peer_port: int
    front: str = ""
    incarnation: int = 0
    is_restarting: bool = False
    process: asyncio.subprocess.Process | None = None
    _path: Path = field(default_factory=Path)

    def prepare(self) -> None:
        """Write the settings file."""
        names = ("front", "ready", "control", "directory")
        ports = free_ports(self.host, len(names))
        listen = {name: f"{self.host}:{port}" for name, port in zip(names, ports, strict=True)}
        self.front = listen["front"]
        settings: dict[str, Any] = {
            "node_name": self.name,
            "ip": self.host,
            "zone": "a",
            "listen": listen,
            "internal_ports": [self.peer_port, self.peer_port],
            "seeds": [f"127.0.0.{number}:{self.peer_port}" for number in (1, 2, 3)],
            "platform": {"address": self.store_address},
            "bounds": {
                "grace_s": GRACE_S,
                "retry_budget_slack": 50,
                "cold_overage": COLD_OVERAGE,
                "cold_slack": COLD_SLACK,
            },
        }
        self._path = self.folder / f"{self.name}.yaml"
        self._path.write_text(yaml.safe_dump(settings), encoding="utf-8")

    async def async_start(self) -> None:
        """Start a process; its log is appended to the VM's."""
        self.incarnation += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "wagtailusher_platform",
                env={"WAGTAILUSHER_CONFIG": str(self._path)},
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def async_end(self, number: signal.Signals) -> None:
        """Signal the process and wait for its end."""
        self.send(number)
        await self.async_wait()

    async def async_wait(self) -> None:
        """Wait for the end of the process; kill it after its grace."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S + 1.0):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()
