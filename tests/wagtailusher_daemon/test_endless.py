"""Tests of the daemon's calls to peers whose answers never end.

They guard against a call that holds memory or its task for as long as a byte arrives now and then.
"""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from tests.standins.endless_calls import EndlessCallCase
from tests.wagtailusher_daemon.fleet import Fleet, settings_document
from wagtailusher_core import Incarnation, Revision, VmId, WagtailusherError
from wagtailusher_daemon.configuration_stream import ConfigurationStream
from wagtailusher_daemon.const import FULL_FETCH_TIMEOUT_MS, MAX_TICKET_BYTES, TICKET_TIMEOUT_MS
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_wire import ContentRequest

TARGET = b'"first_token_target_ms": 300, "answer_target_ms": 300'
WAIT_S = 4.0
"""More than the target, the silence time-out of 0.4 s and delays of the machine."""
SECRETS = (b"s" * 16,)
CONTENT_BYTES = 3 * 1024 * 1024
"""More than the largest message between peers."""


class EndlessPeerTest(EndlessCallCase):
    """Each call to a peer fails within its time and holds no more than its own limit."""

    async def test_configuration_of_a_peer_without_end(self) -> None:
        stream = ConfigurationStream(
            self.client, vm_id=VmId("vm-1"), incarnation=Incarnation(1), secrets=SECRETS
        )
        request = ContentRequest(have=Revision(), have_digest=0, sequence=1)

        async def async_fetch(address: str) -> None:
            with self.assertRaises(WagtailusherError):
                await stream.async_fetch(address, request)

        await self.async_check(async_fetch, FULL_FETCH_TIMEOUT_MS, CONTENT_BYTES)

    async def test_ticket_without_end(self) -> None:
        addresses: list[str] = []
        forwarder = Forwarder(
            self.client,
            vm_id=VmId("vm-1"),
            secrets=SECRETS,
            address_of=lambda vm_id: addresses[-1],
            silence_timeout_ms=lambda: TICKET_TIMEOUT_MS,
        )

        async def async_request(address: str) -> None:
            addresses.append(address)
            self.assertIsNone(await forwarder.async_request_ticket(VmId("vm-2")))

        await self.async_check(async_request, TICKET_TIMEOUT_MS, MAX_TICKET_BYTES)


class EndlessServiceTest(unittest.IsolatedAsyncioTestCase):
    """A request that may not be repeated ends, and its outcome is unknown."""

    async def asyncSetUp(self) -> None:
        settings = settings_document().replace(b'"answer_target_ms": 10000', TARGET)
        self.fleet = Fleet(vm_count=1)
        with patch("tests.wagtailusher_daemon.fleet.settings_document", lambda: settings):
            await self.fleet.async_start()
        self.addAsyncCleanup(self.fleet.async_stop)

    async def test_answer_of_a_service_without_end_is_an_unknown_outcome(self) -> None:
        self.fleet.booking.behaviour.answers_without_end = True
        ticket = await self.fleet.async_ticket()
        async with asyncio.timeout(WAIT_S):
            status, value = await self.fleet.async_book("b1", ticket)
        self.assertGreaterEqual(status, 500)
        self.assertEqual(value["error"]["outcome"], "unknown")
        self.assertEqual(self.fleet.booking.executions["b1"], 1)


if __name__ == "__main__":
    unittest.main()
