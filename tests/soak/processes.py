"""Entry daemons as child processes, signalled and stopped by process id."""

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
HANDLER_CHECK_S = 0.005


@dataclass(slots=True)
class EntryProcess:
    """One entry VM: its settings file and its process, which may be restarted."""

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
        """Start a process that appends to the VM's log file."""
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

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def async_reload(self) -> None:
        """Request a reload once the process handles it, as a service manager would."""
        while self.process is not None and self.process.returncode is None:
            if _handles(self.process.pid, signal.SIGHUP):
                self.process.send_signal(signal.SIGHUP)
                return
            await asyncio.sleep(HANDLER_CHECK_S)

    async def async_stop(self, signal_number: signal.Signals) -> None:
        """Send a signal and wait until the process exits."""
        self.send(signal_number)
        await self.async_wait()

    async def async_wait(self) -> None:
        """Wait until the process exits; kill it if it exceeds its grace period."""
        if self.process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S + 1.0):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


def _handles(process_id: int, signal_number: signal.Signals) -> bool:
    """Return whether a process handles or ignores a signal."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    except FileNotFoundError:
        return False
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask >> (signal_number - 1) & 1 for mask in masks)
