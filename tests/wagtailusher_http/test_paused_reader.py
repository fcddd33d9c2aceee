"""Tests of reads whose own process is paused.

They guard against a peer that is taken for silent because this process did not run.
"""

from __future__ import annotations

import asyncio
import time
import unittest

from wagtailusher_http import HttpClient, ReadTimeoutError

TIMEOUT_MS = 300
ANSWER_S = 0.2
PAUSE_FROM_S = 0.05
PAUSE_S = 0.6
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class PausedReaderTest(unittest.IsolatedAsyncioTestCase):
    """A peer that shares the pause of this process, or that is silent."""

    async def async_serve(self, answer_s: float) -> str:
        """Start a peer that answers after a time and return its address."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(answer_s)
            writer.write(ANSWER)
            await writer.drain()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def test_pause_of_the_process_does_not_count_as_silence(self) -> None:
        address = await self.async_serve(ANSWER_S)
        asyncio.get_running_loop().call_later(PAUSE_FROM_S, time.sleep, PAUSE_S)
        async with HttpClient() as client:
            answer = await client.async_request(address, "GET", "/", head_timeout_ms=TIMEOUT_MS)
            self.assertEqual(await answer.async_read(TIMEOUT_MS), b"ok")

    async def test_silence_after_a_pause_still_times_out(self) -> None:
        address = await self.async_serve(10.0)
        asyncio.get_running_loop().call_later(PAUSE_FROM_S, time.sleep, PAUSE_S)
        started_s = time.monotonic()
        async with HttpClient() as client:
            with self.assertRaises(ReadTimeoutError):
                await client.async_request(address, "GET", "/", head_timeout_ms=TIMEOUT_MS)
        self.assertLess(time.monotonic() - started_s, 2 * (TIMEOUT_MS / 1000 + PAUSE_S))


if __name__ == "__main__":
    unittest.main()
