"""Entry daemons as child processes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import json
import os
import signal
import sys

from wagtailusher_core import FailureDomainId, PublishedVm, VmId

FLEET_SECRET = "a-secret-of-the-demo-fleet"
START_TIMEOUT_S = 20


@dataclass(slots=True, kw_only=True)
class EntryProcess:
    """A running daemon and the addresses that it printed at startup."""

    vm: PublishedVm
    operator_address: str
    process: asyncio.subprocess.Process

    def kill(self) -> None:
        """Kill the process without a graceful shutdown."""
        self.process.kill()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process."""
        self.process.send_signal(signal.SIGCONT)

    async def async_leave(self) -> int:
        """Shut the process down gracefully and return its exit code."""
        self.process.terminate()
        return await self.process.wait()

    async def async_stop(self) -> None:
        """Kill the process if it still runs and wait until it exits."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def async_start_entry(
    vm_id: str,
    failure_domain: str,
    config_service: str,
    vm_list: str,
    variables: dict[str, str] | None = None,
) -> EntryProcess:
    """Start a daemon, with environment variables of its own, and wait until it listens."""
    environment = os.environ | {"WAGTAILUSHER_FLEET_SECRET": FLEET_SECRET} | (variables or {})
    flags = {
        "vm-id": vm_id,
        "failure-domain": failure_domain,
        "config-service": config_service,
        "vm-list": vm_list,
        "log-level": "warning",
        "lease-lifetime-ms": "800",
        "list-lag-ms": "500",
        "pause-tolerance-ms": "700",
    }
    arguments = [part for name, value in flags.items() for part in (f"--{name}", value)]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "wagtailusher_daemon",
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
    value = json.loads(line)
    vm = PublishedVm(
        vm_id=VmId(vm_id),
        address=value["address"],
        peer_address=value["peer_address"],
        failure_domain_id=FailureDomainId(failure_domain),
    )
    return EntryProcess(vm=vm, operator_address=value["operator_address"], process=process)
