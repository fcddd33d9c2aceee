"""Reading of a service that cuts its answers and sends other bytes where their rest is due.

Guards against a part of a document, or a mixed one, that is taken for newer settings.
"""

from __future__ import annotations

import asyncio
from itertools import product
import unittest

from tests.standins.raw_endpoint import RawRequest, RawServer
from wagtailusher_core import WagtailusherError
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service import ConfigServiceCoordinator, LongPollLimits
from wagtailusher_settings import canonical_bytes

LIMITS = LongPollLimits(wait_ms=100, wait_margin_ms=100, read_timeout_ms=300)
YAML = b"""revision: 7
fleet:
  note: a fleet of tests
  queue_limit: 100
workspaces:
  members:
    note: first
  guests:
    note: second
"""
JSON = canonical_bytes(YAML)
HEAD = b"HTTP/1.1 200 OK\r\nx-version: 7\r\nconnection: close\r\n"


class CutDocumentTest(unittest.IsolatedAsyncioTestCase):
    """A document is read whole or not at all, cut at any byte."""

    async def asyncSetUp(self) -> None:
        self.parts: tuple[bytes, ...] = ()
        self.pause_s = 0.0
        self.server = RawServer(self._async_reply)
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def _async_reply(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        for part in self.parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.close()

    async def _async_read(self, *parts: bytes) -> bytes | None:
        """Return the document that is read from an answer, or None if it is refused."""
        self.parts = parts
        address = f"127.0.0.1:{self.server.port}"
        coordinator = ConfigServiceCoordinator(self.client, address, seed=1, limits=LIMITS)
        try:
            content = await coordinator.async_read()
        except WagtailusherError:
            return None
        return None if content is None else content.content

    async def test_cut_document_is_not_read(self) -> None:
        for body, has_length in product((YAML, JSON), (True, False)):
            head = HEAD + (b"content-length: %d\r\n\r\n" % len(body) if has_length else b"\r\n")
            for cut_bytes in range(len(body) - 1):
                with self.subTest(body=body[:4], has_length=has_length, cut_bytes=cut_bytes):
                    self.assertIsNone(await self._async_read(head + body[:cut_bytes]))

    async def test_second_answer_does_not_fill_the_rest_of_a_cut_document(self) -> None:
        for body in (YAML, JSON):
            framed = HEAD + b"content-length: %d\r\n\r\n" % len(body)
            for cut_bytes in range(len(body) - 1):
                with self.subTest(body=body[:4], cut_bytes=cut_bytes):
                    cut = framed + body[:cut_bytes]
                    self.assertIsNone(await self._async_read(cut, framed + body))

    async def test_second_answer_in_parts_does_not_fill_the_rest_of_a_cut_document(self) -> None:
        """Its first part ends with the declared length, so nothing follows the body at first."""
        self.pause_s = 0.005
        framed = HEAD + b"content-length: %d\r\n\r\n" % len(YAML)
        for cut_bytes in range(len(YAML) - 1):
            with self.subTest(cut_bytes=cut_bytes):
                rest_bytes = len(YAML) - cut_bytes
                second = framed + YAML
                parts = (framed + YAML[:cut_bytes], second[:rest_bytes], second[rest_bytes:])
                self.assertIsNone(await self._async_read(*parts))

    async def test_whole_document_is_read(self) -> None:
        for body in (YAML, JSON):
            framed = HEAD + b"content-length: %d\r\n\r\n" % len(body)
            self.assertEqual(await self._async_read(framed + body), JSON)
        self.assertEqual(await self._async_read(HEAD + b"\r\n" + JSON), JSON)
