"""Tests of fetching a peer's view.

They guard against a peer whose view never ends.
"""

from __future__ import annotations

from typing import cast
import unittest

from tests.standins.endless_calls import EndlessCallCase
from tests.wagtailusher_gateway.builders import VM_IDS
from wagtailusher_core import WagtailusherError
from wagtailusher_gateway.const import VIEW_PULL_TIMEOUT_MS
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import ViewExchange
from wagtailusher_wire import MAX_STREAM_MESSAGE_BYTES


class ViewExchangeTest(EndlessCallCase):
    """A fetch ends in time and holds no more than the largest message."""

    async def test_view_without_end(self) -> None:
        exchange = ViewExchange(
            client=self.client,
            fleet=cast(FleetDecider, None),
            view_cache=ViewCache(lambda view, changed, now_ms: None),
            secret=b"s" * 16,
            clock_ms=lambda: 0,
        )

        async def async_fetch(address: str) -> None:
            with self.assertRaises(WagtailusherError):
                await exchange._async_fetch(VM_IDS[2], address)

        await self.async_check(async_fetch, VIEW_PULL_TIMEOUT_MS, MAX_STREAM_MESSAGE_BYTES)


if __name__ == "__main__":
    unittest.main()
