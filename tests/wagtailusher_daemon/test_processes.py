"""Tests of daemon processes that are killed, frozen, replaced or drained."""

from __future__ import annotations

import asyncio
import json
import unittest

from tests.demo.fleet import DemoFleet
from tests.demo.guarantees import count_violations
from tests.demo.load import END_MARKER, Load, LoadClass
from wagtailusher_client import CallerClient
from wagtailusher_http import ConnectError, HttpClient

CLASSES = (
    LoadClass(name="booking", target_ms=1_000, interval_ms=80),
    LoadClass(name="advice", target_ms=1_100, interval_ms=60),
    LoadClass(name="review", target_ms=4_000, interval_ms=300, tokens=40),
)


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against broken guarantees and lost requests when processes fail or stop."""

    async def asyncSetUp(self) -> None:
        self.fleet = DemoFleet(entry_count=3)
        await self.fleet.async_start()
        seeds = tuple(entry.vm.address for entry in self.fleet.entries)
        self.client = CallerClient(seeds, self.fleet.api_key, seed=3)

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.fleet.async_stop()

    async def test_guarantees_hold_while_processes_fail(self) -> None:
        load = Load(self.client, CLASSES, self.fleet.model, seed=3)
        await asyncio.gather(load.async_run(9_000), self._async_inject_faults())
        for name, count in count_violations(load.ledger, self.fleet).items():
            with self.subTest(promise=name):
                self.assertEqual(count, 0)
        for name, tally in load.ledger.tallies.items():
            with self.subTest(served=name):
                self.assertGreater(tally.on_target + tally.late, 0)

    async def _async_inject_faults(self) -> None:
        """Kill, freeze, drain, replace and crash processes."""
        entries = self.fleet.entries
        await asyncio.sleep(1)
        entries[1].kill()
        await self.fleet.engines[0].async_crash()
        await self.fleet.async_replace(1)
        self.fleet.drain("b")
        entries[2].freeze()
        await asyncio.sleep(1.5)
        entries[2].thaw()
        await asyncio.sleep(2.5)
        self.fleet.drain()
        entries[0].kill()

    async def test_stopping_daemon_completes_requests_in_progress(self) -> None:
        value = {
            "model": self.fleet.model,
            "stream": True,
            "max_tokens": 200,
            "messages": [{"role": "user", "content": "a long review"}],
        }
        parts = []
        leaving: asyncio.Task[int] | None = None
        async for chunk in self.client.async_stream_chat(json.dumps(value).encode()):
            parts.append(chunk)
            if leaving is None:
                tasks = [asyncio.create_task(entry.async_leave()) for entry in self.fleet.entries]
                leaving = asyncio.create_task(_async_worst(tasks))
        self.assertTrue(b"".join(parts).endswith(END_MARKER))
        assert leaving is not None
        self.assertEqual(await leaving, 0)
        with self.assertRaises(ConnectError):
            async with HttpClient() as client:
                await client.async_request(self.fleet.entries[0].vm.address, "GET", "/healthz")


async def _async_worst(tasks: list[asyncio.Task[int]]) -> int:
    """Return the highest exit code."""
    return max(await asyncio.gather(*tasks))


if __name__ == "__main__":
    unittest.main()
