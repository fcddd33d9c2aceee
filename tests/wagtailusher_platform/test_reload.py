"""Tests of settings that change while the process runs.

They guard against a VM that starts with seeds that are gone and never meets its fleet, though its
settings file names VMs that live.
"""

from __future__ import annotations

import json
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import HttpClient
from wagtailusher_platform.reload import SettingsReloader
from wagtailusher_platform.store import StoreClient

STALE_SEED, LIVE_SEED = "127.0.0.9:1", "127.0.0.1:1"
OTHER_STORE = "127.0.0.1:2"


class ReloadTest(PlatformTest):
    """A VM is added while its only seed is gone."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.yaml"
        self.peer = await self.async_gateway(1)
        self.vm = await self.async_gateway(2, seeds=[STALE_SEED])
        self.write(self.vm, STALE_SEED)
        self.store_client = StoreClient(HttpClient(), self.store_address, lambda outcome: None)
        self.reloader = SettingsReloader(self.path, self.vm, self.store_client, {})

    def write(self, app: GatewayApp, seed: str, **changes: object) -> None:
        """Write a VM's settings file with another seed."""
        options = app.options
        document = {
            "node_name": options.vm_id,
            "ip": options.peer_listen.partition(":")[0],
            "zone": options.failure_domain_id,
            "listen": {"front": options.listen, "control": options.view_listen},
            "internal_ports": [self.peer_port],
            "seeds": [seed],
            "platform": {"address": self.store_address},
        }
        self.path.write_text(json.dumps(document | changes), encoding="utf-8")

    async def async_check_meets(self) -> None:
        await self.async_until(lambda: len(self.vm.fleet.all_vm_ids()) == 2)
        await self.async_until(lambda: len(self.peer.fleet.all_vm_ids()) == 2)
        await self.async_settled(self.vm)

    async def test_seeds_are_taken_over_after_a_signal(self) -> None:
        self.assertFalse(self.vm.fleet.knows_fleet)
        self.write(self.vm, LIVE_SEED)
        self.reloader.reload()
        await self.async_check_meets()

    async def test_seeds_are_taken_over_without_a_signal(self) -> None:
        self.write(self.vm, LIVE_SEED)
        self.reloader.check()
        await self.async_check_meets()

    async def test_file_that_can_not_be_read_changes_nothing(self) -> None:
        options = self.vm.options
        self.path.write_text("seeds: [", encoding="utf-8")
        self.reloader.check()
        self.path.unlink()
        self.reloader.check()
        self.reloader.reload()
        self.assertEqual(self.vm.options, options)

    async def test_options_that_need_a_restart_are_named(self) -> None:
        changes = {"zone": "b", "platform": {"address": OTHER_STORE}, "bounds": {"grace_s": 3}}
        self.write(self.vm, LIVE_SEED, **changes)
        with self.assertLogs("wagtailusher_gateway.options_reload") as logs:
            self.reloader.reload()
        (record,) = logs.records
        self.assertIn("failure_domain_id", record.__dict__["need_restart"])
        self.assertIn("seeds", record.__dict__["changed"])
        self.assertEqual(self.vm.options.grace_ms, 3_000)
        self.assertEqual(self.vm.options.failure_domain_id, "a")
        self.assertEqual(self.store_client.address, OTHER_STORE)


if __name__ == "__main__":
    import unittest

    unittest.main()
