"""Tests of the HTTP client against peers whose bytes never end.

They guard against a peer that takes the memory or the processor time of a process, and so ends
requests that have nothing to do with it.
"""

from __future__ import annotations

import asyncio
import tracemalloc
import unittest

from tests.standins.endless import EndlessPeer
from tests.standins.runner import RunnerStandin, answer
from wagtailusher_core import WagtailusherError
from wagtailusher_http import ClientLimits, HttpClient

MIB = 1024 * 1024
PEERS = 12
BUDGET_BYTES = 8 * MIB
OVERHEAD = 1.25
"""Allocated for a byte held: the buffers grow by an eighth, and each socket has its own."""
SOCKET_BYTES = 768 * 1024
"""Most bytes of a connection that are read from its socket and not parsed."""
WAIT_MS = 2_000
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
BLOCK = b"x" * 65536


class EndlessBodyTest(unittest.IsolatedAsyncioTestCase):
    """Bodies that are read whole share a budget, and the largest one gives way."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient(
            ClientLimits(max_answer_bytes=64 * MIB, max_buffered_bytes=BUDGET_BYTES)
        )
        self.addCleanup(self.client.close)

    async def _async_read(self, address: str) -> bytes:
        reply = await self.client.async_request(address, "GET", "/")
        return await reply.async_read(WAIT_MS)

    async def test_endless_bodies_at_once_stay_within_the_budget(self) -> None:
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with EndlessPeer(UNTIL_CLOSE, BLOCK) as peer:
            ends = await asyncio.gather(
                *(self._async_read(peer.address) for _ in range(PEERS)), return_exceptions=True
            )
        peak_bytes = tracemalloc.get_traced_memory()[1]
        self.assertEqual({str(getattr(end, "code", end)) for end in ends}, {"body_too_large"})
        self.assertLessEqual(peak_bytes, BUDGET_BYTES * OVERHEAD + PEERS * SOCKET_BYTES)
        self.assertLessEqual(self.client.budget.peak_bytes, BUDGET_BYTES)
        self.assertEqual(self.client.budget.held_bytes, 0)

    async def test_another_peers_answers_are_complete_meanwhile(self) -> None:
        runner = RunnerStandin(behaviours=[answer(b"y" * 40_000)])
        address = await runner.async_start()
        with EndlessPeer(UNTIL_CLOSE, BLOCK) as peer:
            tasks = [asyncio.ensure_future(self._async_read(peer.address)) for _ in range(PEERS)]
            while not all(task.done() for task in tasks):
                self.assertEqual(await self._async_read(address), b"y" * 40_000)
                await asyncio.sleep(0)
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.async_stop()

    async def test_answer_that_gave_way_closes_its_connection(self) -> None:
        with EndlessPeer(UNTIL_CLOSE, BLOCK) as peer:
            with self.assertRaises(WagtailusherError):
                await self._async_read(peer.address)
            async with asyncio.timeout(WAIT_MS / 1000):
                while not peer.closed:  # noqa: ASYNC110 - the stand-in is in another thread
                    await asyncio.sleep(0.01)
        self.assertEqual(self.client.budget.evicted_count, 1)


if __name__ == "__main__":
    unittest.main()
