"""Tests of calls whose JSON answer is cut, with other bytes where its rest is due.

They guard against a part of a load report, a list of VMs or the store's items that looks whole.
"""

from __future__ import annotations

import asyncio
from itertools import product
import json
import unittest

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, WagtailusherError
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service import LongPollLimits
from wagtailusher_integrations.engine import EngineCoordinator
from wagtailusher_integrations.vm_list import VmListCoordinator
from wagtailusher_placement import EndpointInfo
from wagtailusher_platform.store import StoreClient

LIMITS = LongPollLimits(read_timeout_ms=300)
LOAD = json.dumps({"running": 12, "waiting": 345, "incarnation": 6789}).encode()
ENTRY_VM = {
    "vm_id": "entry-0",
    "address": "127.0.0.1:8001",
    "peer_address": "127.0.0.1:8002",
    "failure_domain_id": "domain-0",
}
VM_LIST = json.dumps({"version": 123, "entry_vms": [ENTRY_VM]}).encode()
ITEMS = json.dumps({"items": [], "truncated": False, "current_rev": 12345}).encode()
FIELDS = b"HTTP/1.1 200 OK\r\nx-version: 123\r\nconnection: close\r\n"
FRAMINGS = ("length", "chunks", "close")


def framed(body: bytes, framing: str) -> tuple[bytes, bytes]:
    """Return the head of an answer and its framed body."""
    if framing == "chunks":
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return FIELDS + b"transfer-encoding: chunked\r\n\r\n", chunk
    length = b"content-length: %d\r\n" % len(body) if framing == "length" else b""
    return FIELDS + length + b"\r\n", body


class CutJsonTest(unittest.IsolatedAsyncioTestCase):
    """An answer is used whole or not at all, cut at any byte."""

    async def asyncSetUp(self) -> None:
        self.answer = b""
        self.server = await asyncio.start_server(self._async_reply, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.client = HttpClient()

    async def asyncTearDown(self) -> None:
        self.client.close()
        self.server.close()
        await self.server.wait_closed()

    async def _async_reply(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        writer.close()

    async def _async_is_used(self, kind: str) -> bool:
        """Make a call and return whether its answer is used."""
        try:
            if kind == "load":
                endpoint = EndpointInfo(
                    endpoint_id=EndpointId("engine-0"),
                    pool_ids=frozenset({PoolId("model")}),
                    failure_domain_id=FailureDomainId("domain-0"),
                    address=self.address,
                )
                engines = EngineCoordinator(self.client)
                return bool(await engines.async_poll_load([endpoint], lambda: 1))
            if kind == "vm_list":
                lists = VmListCoordinator(self.client, self.address, seed=1, limits=LIMITS)
                return await lists.async_read() is not None
            store = StoreClient(self.client, self.address, lambda outcome: None)
            await store.async_range("")
        except WagtailusherError:
            return False
        return True

    async def test_cut_answer_is_not_used_whatever_follows(self) -> None:
        bodies = (("load", LOAD), ("vm_list", VM_LIST), ("store", ITEMS))
        for (kind, body), framing in product(bodies, FRAMINGS):
            head, content = framed(body, framing)
            end = content.index(body) + len(body)
            for cut_bytes, rest in product(range(end - 1), (b"", head + content, b"12345")):
                with self.subTest(kind=kind, framing=framing, cut_bytes=cut_bytes, rest=rest[:5]):
                    self.answer = head + content[:cut_bytes] + rest
                    self.assertFalse(await self._async_is_used(kind))

    async def test_whole_answer_is_used(self) -> None:
        bodies = (("load", LOAD), ("vm_list", VM_LIST), ("store", ITEMS))
        for (kind, body), framing in product(bodies, FRAMINGS):
            with self.subTest(kind=kind, framing=framing):
                self.answer = b"".join(framed(body, framing))
                self.assertTrue(await self._async_is_used(kind))
