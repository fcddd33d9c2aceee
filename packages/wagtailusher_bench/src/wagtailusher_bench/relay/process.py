"""Child processes of the benchmark, and what they cost."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import json
import os
from pathlib import Path
import sys

START_TIMEOUT_S = 30
FLEET_SECRET = "a-secret-of-the-benchmark"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES_PER_KIB = 1024


class ChildProcess:
    """A Python module as a child that printed its addresses."""

    def __init__(self, process: asyncio.subprocess.Process, value: dict[str, str]) -> None:
        """Take over a running child."""
        self._process = process
        self.value = value

    @classmethod
    async def async_start(
        cls, module: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> ChildProcess:
        """Run a module and wait for the line with its addresses."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            env=os.environ | (environment or {}),
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
        return cls(process, json.loads(line))

    @property
    def address(self) -> str:
        """Return where the child listens for callers."""
        return self.value["address"]

    def cpu_s(self) -> float:
        """Return the processor time that the child has taken, the kernel's for it included."""
        return sum(self.cpu_parts_s())

    def cpu_parts_s(self) -> tuple[float, float]:
        """Return the child's own processor time and the kernel's for it."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return int(fields[11]) / _TICKS_PER_S, int(fields[12]) / _TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the memory that the child holds."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
        return int(line.split()[1]) * _BYTES_PER_KIB

    async def async_end(self) -> None:
        """End the child."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


async def async_start_entry(platform_address: str) -> ChildProcess:
    """Start an entry daemon."""
    flags = {
        "vm-id": "entry-0",
        "failure-domain": "a",
        "config-service": platform_address,
        "vm-list": platform_address,
        "log-level": "warning",
        "list-lag-ms": "500",
    }
    arguments = [part for name, value in flags.items() for part in (f"--{name}", value)]
    return await ChildProcess.async_start(
        "wagtailusher_daemon",
        *arguments,
        environment={"WAGTAILUSHER_FLEET_SECRET": FLEET_SECRET},
    )
