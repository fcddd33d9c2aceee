"""Tests of the HTTP client against peers whose bytes never end.

They guard against a peer that takes the memory or the processor time of a process, and so ends
requests that have nothing to do with it.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
import time
import tracemalloc
import unittest
from unittest.mock import patch

import h11

from tests.standins.endless import EndlessPeer
from tests.standins.runner import RunnerStandin, answer
from wagtailusher_core import WagtailusherError
from wagtailusher_http import ClientLimits, HttpClient, ReadTimeoutError

MIB = 1024 * 1024
PEERS = 12
BUDGET_BYTES = 8 * MIB
OVERHEAD = 1.25
"""Allocated for a byte held: the buffers grow by an eighth, and each socket has its own."""
SOCKET_BYTES = 768 * 1024
"""Most bytes of a connection that are read from its socket and not parsed."""
WAIT_MS = 2_000
EARLY_SHARE = 0.5
"""Largest part of its time-out after which a wait for endless bytes ends."""
BUSY_SHARE = 0.1
"""Largest share of the time-out that a wait costs in processor time."""

LOOP_DELAY_S = 0.1
"""Longest time for which the event loop may not run other tasks."""
SLOW_STEP_S = 0.0001
"""Processor time that a parser step takes longer on a slow machine; about ten times its own."""

STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"
UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
BLOCK = b"x" * 65536
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000


@asynccontextmanager
async def async_short_and_cheap(share: float = EARLY_SHARE) -> AsyncIterator[None]:
    """Fail unless the content raises an error of its own within the part of the time-out."""
    started_s, busy_s = time.monotonic(), time.thread_time()
    try:
        async with asyncio.timeout(WAIT_MS / 1000):
            yield
    except WagtailusherError:
        waited_s, busy_s = time.monotonic() - started_s, time.thread_time() - busy_s
        assert waited_s < WAIT_MS / 1000 * share, f"waited {waited_s:.2f} s"
        assert busy_s < WAIT_MS / 1000 * BUSY_SHARE, f"spent {busy_s:.2f} s of processor time"
    else:
        raise AssertionError("the answer was taken for complete")


class EndlessBodyTest(unittest.IsolatedAsyncioTestCase):
    """Bodies that are read whole share a budget, and the largest one gives way."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # its checks cost more than what is measured
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

    async def test_body_in_tiny_chunks_ends_early_at_little_cost(self) -> None:
        with EndlessPeer(CHUNKED, TINY_CHUNKS) as peer:
            async with async_short_and_cheap():
                await self._async_read(peer.address)


class EndlessRelayTest(unittest.IsolatedAsyncioTestCase):
    """A body that is relayed may go on, and the event loop stays fair."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # its checks cost more than what is measured
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    @asynccontextmanager
    async def _async_flood(self) -> AsyncIterator[None]:
        """Relay a flood of tiny chunks meanwhile, and check that its bytes come in order."""
        seen = bytearray()

        def deliver(chunk: bytes) -> bool:
            seen.extend(chunk)
            return True

        block = b"".join(b"1\r\n%c\r\n" % value for value in range(256)) * 40
        with EndlessPeer(CHUNKED, block) as peer:
            reply = await self.client.async_request(peer.address, "GET", "/")
            relay = asyncio.ensure_future(reply.async_relay_body(deliver, WAIT_MS))
            yield
            relay.cancel()
            reply.abort()
        self.assertFalse(relay.done() and not relay.cancelled())
        self.assertGreater(len(seen), 0)
        self.assertEqual(bytes(seen), (bytes(range(256)) * (len(seen) // 256 + 1))[: len(seen)])

    async def _async_flood_busy_s(self) -> float:
        """Return the processor time of WAIT_MS of the flood, with no other task."""
        async with self._async_flood():
            busy_s = time.thread_time()
            await asyncio.sleep(WAIT_MS / 1000)
            return time.thread_time() - busy_s

    async def test_flood_of_tiny_chunks_delays_no_other_task(self) -> None:
        """Bytes are passed on in order, and other tasks run in time."""
        async with self._async_flood():
            started_s, longest_s = time.monotonic(), 0.0
            while (now_s := time.monotonic()) < started_s + WAIT_MS / 1000:
                await asyncio.sleep(0)
                longest_s = max(longest_s, time.monotonic() - now_s)
                await asyncio.sleep(0.005)
        self.assertLess(longest_s, LOOP_DELAY_S)

    async def test_flood_of_tiny_chunks_costs_little(self) -> None:
        self.assertLess(await self._async_flood_busy_s(), WAIT_MS / 1000 * BUSY_SHARE)

    async def test_flood_of_tiny_chunks_costs_little_on_a_slow_machine(self) -> None:
        next_event = h11.Connection.next_event

        def next_event_slowly(connection: h11.Connection) -> object:
            ends_s = time.thread_time() + SLOW_STEP_S
            while time.thread_time() < ends_s:
                pass
            return next_event(connection)

        with patch.object(h11.Connection, "next_event", next_event_slowly):
            self.assertLess(await self._async_flood_busy_s(), WAIT_MS / 1000 * BUSY_SHARE)

    async def test_body_of_many_chunks_is_the_same_with_pauses(self) -> None:
        """Turns of the parser and pauses of the reader lose and repeat nothing."""
        random = Random(7)
        body = random.randbytes(2_000)
        whole = CHUNKED + b"".join(b"1\r\n%c\r\n" % value for value in body) + b"0\r\n\r\n"
        with EndlessPeer(whole, b"", pause_s=0.01) as peer:
            for _ in range(3):
                seen = bytearray()

                def deliver(chunk: bytes, seen: bytearray = seen) -> bool:
                    seen.extend(chunk)
                    return random.random() < 0.5

                reply = await self.client.async_request(
                    peer.address, "GET", "/", new_connection=True
                )
                while not await reply.async_relay_body(deliver, WAIT_MS):
                    pass
                self.assertEqual(bytes(seen), body)


class EndlessIdleTest(unittest.IsolatedAsyncioTestCase):
    """Bytes after an answer, on a connection that waits for reuse."""

    async def test_endless_bytes_on_idle_connections_take_no_memory(self) -> None:
        client = HttpClient()
        self.addCleanup(client.close)
        whole = STATUS + b"Content-Length: 2\r\n\r\nok"

        async def async_get(address: str) -> bytes:
            return await (await client.async_request(address, "GET", "/")).async_read()

        with EndlessPeer(whole, BLOCK, start_s=0.2) as peer:
            await asyncio.gather(*(async_get(peer.address) for _ in range(PEERS)))
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            async with asyncio.timeout(WAIT_MS / 1000):
                while peer.closed < PEERS:  # noqa: ASYNC110 - the peer is in another thread
                    await asyncio.sleep(0.01)
            self.assertLess(tracemalloc.get_traced_memory()[0], MIB)
            self.assertEqual(await async_get(peer.address), b"ok")
            self.assertEqual(peer.connections, PEERS + 1)


class EndlessHeadTest(unittest.IsolatedAsyncioTestCase):
    """The wait for a head ends early and costs next to nothing."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)  # its checks cost more than what is measured
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def _async_get(self, address: str, *, matches: bool = True) -> None:
        await self.client.async_request(
            address, "GET", "/", head_timeout_ms=WAIT_MS, matches_request=lambda fields: matches
        )

    async def test_endless_informational_responses_end_the_wait(self) -> None:
        for pause_s in (0.0, 0.01):
            peer = EndlessPeer(b"", INFORMATIONAL * 8, pause_s=pause_s)
            with self.subTest(pause_s=pause_s), peer:
                async with async_short_and_cheap():
                    await self._async_get(peer.address)

    async def test_head_that_does_not_end_is_refused(self) -> None:
        for name, block in (("fields", b"x-a: b\r\n" * 1000), ("one field", b"x" * 8000)):
            with self.subTest(name), EndlessPeer(STATUS, block) as peer:
                async with async_short_and_cheap():
                    await self._async_get(peer.address)

    async def test_head_timeout_bounds_a_head_that_arrives_byte_by_byte(self) -> None:
        peer = EndlessPeer(STATUS + b"x-a: ", b"b", pause_s=0.05)
        with peer, self.assertRaises(ReadTimeoutError):
            async with asyncio.timeout(WAIT_MS / 1000):
                await self.client.async_request(peer.address, "GET", "/", head_timeout_ms=200)

    async def test_endless_answer_to_another_request_ends_the_wait(self) -> None:
        chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        cases = {
            "until close": (UNTIL_CLOSE, BLOCK, 0.0),
            "chunked": (CHUNKED, chunk, 0.0),
            "tiny chunks": (CHUNKED, TINY_CHUNKS, 0.0),
            "slow": (CHUNKED, b"1\r\nx\r\n", 0.05),
        }
        for name, (head, block, pause_s) in cases.items():
            with self.subTest(name), EndlessPeer(head, block, pause_s=pause_s) as peer:
                async with async_short_and_cheap():
                    await self._async_get(peer.address, matches=False)


if __name__ == "__main__":
    unittest.main()
