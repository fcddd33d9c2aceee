"""Tests of fetching a peer's view.

They guard against a peer whose view never ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import unittest

from tests.standins.endless_calls import EndlessCallCase
from tests.wagtailusher_gateway.builders import VM_IDS, at, beat_of, configuration, member
from wagtailusher_core import WagtailusherError
from wagtailusher_gateway.const import VIEW_BODY_TIMEOUT_MS, VIEW_PULL_TIMEOUT_MS
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import FleetView
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import ViewExchange
from wagtailusher_http import Request, Response, async_serve
from wagtailusher_wire import MAX_STREAM_MESSAGE_BYTES


class ViewExchangeTest(EndlessCallCase):
    """A fetch ends in time and holds no more than the largest message."""

    def new_exchange(self) -> ViewExchange:
        """Return the exchange of a VM without a view."""
        return ViewExchange(
            client=self.client,
            fleet=FleetDecider(member(2), (), 0, 1),
            view_cache=ViewCache(lambda view, changed, now_ms: None),
            secret=b"s" * 16,
            clock_ms=lambda: 10,
        )

    async def test_view_without_end(self) -> None:
        exchange = self.new_exchange()

        async def async_fetch(address: str) -> None:
            with self.assertRaises(WagtailusherError):
                await exchange._async_fetch(VM_IDS[2], address)

        await self.async_check(async_fetch, VIEW_BODY_TIMEOUT_MS, MAX_STREAM_MESSAGE_BYTES)

    async def test_view_that_arrives_slowly_is_merged(self) -> None:
        """A VM with little processor time or bandwidth sends its view in pieces."""
        confirmed = FleetView(
            revision=7, confirmed_ms=5, configuration=None, endpoints={}, evacuated=frozenset()
        )
        own, peer = self.new_exchange(), self.new_exchange()
        peer._view_cache.view = confirmed

        async def async_pieces(body: bytes) -> AsyncIterator[bytes]:
            for start in range(4):
                await asyncio.sleep(VIEW_PULL_TIMEOUT_MS / 1000 / 2)
                yield body[start * len(body) // 4 : (start + 1) * len(body) // 4]

        async def async_handle(request: Request) -> Response:
            body = peer.answer(request).body
            assert isinstance(body, bytes)
            return Response(body=async_pieces(body))

        server = await async_serve(async_handle)
        try:
            await own._async_fetch(VM_IDS[2], f"127.0.0.1:{server.port}")
        finally:
            await server.async_close()
        self.assertEqual(own._view_cache.view.revision, 7)

    async def test_newer_configuration_of_a_peer_is_logged_once(self) -> None:
        exchange = self.new_exchange()
        exchange._view_cache.set_configuration(configuration(2), "store", 5)
        exchange._view_cache.confirm_revision(at(4), 5)
        beat = beat_of(member(3), configuration_version=3)
        exchange._fleet.receive(VM_IDS[3], 1, beat, "10.1.0.3:7200", 5)
        with self.assertLogs("wagtailusher_gateway.view_exchange") as logs:
            await exchange.async_pull()
            await exchange.async_pull()
        (line,) = [
            item for item in logs.records if item.__dict__["event"] == "configuration_behind"
        ]
        self.assertEqual((line.__dict__["peer"], line.__dict__["version"]), (VM_IDS[3], 3))


if __name__ == "__main__":
    unittest.main()
