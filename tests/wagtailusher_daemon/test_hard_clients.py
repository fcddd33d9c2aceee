"""Tests of daemon processes whose clients send much or read little.

They guard against a process that such clients end, as it runs out of memory.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from http import HTTPStatus
import json
import unittest

from tests.demo.fleet import DemoFleet
from tests.standins.booking import BookingStandin
from tests.standins.crowd import Crowd, ProcessPeaks
from wagtailusher_client import CallerClient
from wagtailusher_core import WagtailusherError
from wagtailusher_http import Request, Response

MEMORY_MB = 96
BYTES_PER_MB = 1_000_000
BODIES = 150
BODY_BYTES = 1_000_000
READERS = 80
LONG_ANSWER_BYTES = 8_000_000
SAMPLE_S = 0.02
HOLD_S = 3.0
ORDINARY_TRIES = 40
ORDINARY_PAUSE_S = 0.25


class StockStandin(BookingStandin):
    """Answers calls of `long` with a long body, those of `slow` late."""

    async def _async_handle(self, request: Request) -> Response:
        if request.path.endswith("long"):
            return Response(body=b"a" * LONG_ANSWER_BYTES)
        if request.path.endswith("slow"):
            await asyncio.sleep(HOLD_S)
        return await super()._async_handle(request)


class HardClientsTest(unittest.IsolatedAsyncioTestCase):
    """One daemon with little memory."""

    async def asyncSetUp(self) -> None:
        self.fleet = DemoFleet(1, {"WAGTAILUSHER_MEMORY_MB": str(MEMORY_MB)})
        self.fleet.stock = StockStandin("stock-0")
        await self.fleet.async_start()
        self.entry = self.fleet.entries[0]
        self.crowd = Crowd(self.entry.vm.address)
        self.client = CallerClient((self.entry.vm.address,), self.fleet.api_key, seed=1)
        self.peaks = ProcessPeaks()
        self._sampling = asyncio.create_task(self._async_sample())

    async def asyncTearDown(self) -> None:
        self._sampling.cancel()
        self.client.close()
        await self.crowd.async_close()
        await self.fleet.async_stop()

    async def _async_sample(self) -> None:
        while True:
            self.peaks.sample(self.entry.process)
            await asyncio.sleep(SAMPLE_S)

    def _head(self, path: str, *lines: str) -> bytes:
        fields = (
            f"POST /services/stock/{path} HTTP/1.1",
            "Host: vm",
            f"Authorization: Bearer {self.fleet.api_key}",
            *lines,
        )
        return "\r\n".join((*fields, "", "")).encode()

    async def _async_is_answered(self) -> bool:
        """Return whether an ordinary chat is answered; a refused one is sent again."""
        messages = [{"role": "user", "content": "when is my rowing machine due"}]
        chat = json.dumps({"model": self.fleet.model, "messages": messages}).encode()
        for _ in range(ORDINARY_TRIES):
            with suppress(WagtailusherError):
                if (await self.client.async_chat(chat)).status == HTTPStatus.OK:
                    return True
            await asyncio.sleep(ORDINARY_PAUSE_S)
        return False

    async def _async_check(self) -> None:
        """Hold the crowd, then check that the process lives, serves and kept to its memory."""
        await asyncio.sleep(HOLD_S)
        self.assertIsNone(self.entry.process.returncode)
        self.assertTrue(await self._async_is_answered())
        self.assertIsNone(self.entry.process.returncode)
        self.assertLessEqual(self.peaks.memory_bytes, MEMORY_MB * BYTES_PER_MB)

    async def test_large_bodies_that_stop_a_byte_short(self) -> None:
        for _ in range(BODIES):
            length = f"Content-Length: {BODY_BYTES + 1}"
            self.crowd.send(self._head("check", length), b"y" * BODY_BYTES)
        await self._async_check()

    async def test_whole_large_bodies_at_once(self) -> None:
        body = json.dumps({"booking_id": "large", "more": "y" * BODY_BYTES}).encode()
        for _ in range(BODIES):
            self.crowd.send(self._head("slow", f"Content-Length: {len(body)}"), body)
        await self._async_check()

    async def test_long_answers_that_are_read_slowly(self) -> None:
        for _ in range(READERS):
            self.crowd.send(self._head("long", "Content-Length: 0"))
            await asyncio.sleep(SAMPLE_S)
        await self._async_check()
