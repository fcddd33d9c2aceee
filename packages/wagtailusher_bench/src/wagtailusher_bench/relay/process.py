"""Child processes of the benchmark, with their processor time and memory."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import json
import os
from pathlib import Path
import sys

START_TIMEOUT_S = 30
FLEET_SECRET = "a-secret-of-the-benchmark"
_CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES_PER_KIB = 1024


class ChildProcess:
    """A Python module run as a child process; `startup_info` is the JSON object it printed."""

    def __init__(self, process: asyncio.subprocess.Process, startup_info: dict[str, str]) -> None:
        self._process = process
        self.startup_info = startup_info

    @classmethod
    async def async_start(
        cls, module: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> ChildProcess:
        """Run a module and wait for the first line of its output, a JSON object."""
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
        """Return the address that the child listens on for callers."""
        return self.startup_info["address"]

    def cpu_s(self) -> float:
        """Return the child's user and kernel time in seconds."""
        return sum(self.cpu_user_and_kernel_s())

    def cpu_user_and_kernel_s(self) -> tuple[float, float]:
        """Return the child's user time and kernel time in seconds."""
        stat = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return int(fields[11]) / _CPU_TICKS_PER_S, int(fields[12]) / _CPU_TICKS_PER_S

    def resident_bytes(self) -> int:
        """Return the child's resident memory."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
        return int(line.split()[1]) * _BYTES_PER_KIB

    async def async_stop(self) -> None:
        """Kill the child and wait for its exit."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


async def async_start_entry(platform_address: str) -> ChildProcess:
    """Start an entry daemon that reads settings and lists from the platform address."""
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
