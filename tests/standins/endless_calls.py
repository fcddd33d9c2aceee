"""Base class of tests of calls whose answers never end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
import time
import unittest

from tests.standins.endless import EndlessPeer
from wagtailusher_http import HttpClient

MARGIN_S = 1.0
"""Time for connecting and for delays of the machine."""

CHUNKED = b"HTTP/1.1 200 OK\r\nX-Version: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
FLOOD = b"10000\r\n" + b"x" * 65536 + b"\r\n"
TRICKLE = b"1\r\nx\r\n"


class EndlessCallCase(unittest.IsolatedAsyncioTestCase):
    """Checks the time and the memory of one call."""

    async def asyncSetUp(self) -> None:
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def async_check(
        self, call: Callable[[str], Awaitable[object]], timeout_ms: int, max_bytes: int
    ) -> None:
        """Call a peer that floods, and one that sends a byte now and then."""
        for name, block, pause_s in (("flood", FLOOD, 0.0), ("trickle", TRICKLE, 0.05)):
            with self.subTest(name), EndlessPeer(CHUNKED, block, pause_s=pause_s) as peer:
                started_s = time.monotonic()
                async with asyncio.timeout(2 * (timeout_ms / 1000 + MARGIN_S)):
                    await call(peer.address)
                self.assertLess(time.monotonic() - started_s, timeout_ms / 1000 + MARGIN_S)
                self.assertLessEqual(self.client.budget.peak_bytes, max_bytes)
                self.assertEqual(self.client.budget.held_bytes, 0)
