"""Tests of the gateway in front of endpoints whose bytes never end.

They guard against one sick service that takes the memory or the processor time of a VM, and so ends
the requests of other services.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
import unittest

from tests.standins.endless import EndlessPeer, Head
from tests.wagtailusher_platform.fleet import PlatformTest, entry
from wagtailusher_gateway import GatewayApp

PEERS = 12
BLOCK = b"x" * 65536


def signed_head(*lines: str) -> Head:
    """Return a function for the head of a signed answer to a request."""

    def head(fields: dict[str, str]) -> bytes:
        own = (f"X-Attempt-Id: {fields.get('x-attempt-id', '')}", "X-Server-Stamp: 3e1b.07.5a2")
        return "\r\n".join(("HTTP/1.1 200 OK", *own, *lines, "", "")).encode()

    return head


class EndlessAnswerTest(PlatformTest):
    """A caller of the sick service gets 502 early, and the others their answers."""

    async def _async_start(self, peer: EndlessPeer) -> GatewayApp:
        """Start a gateway with the peer as the service `engines` and a runner as `desk`."""
        runner = await self.async_runner("desk", "i-1")
        self.store.put("servers/i-2", entry(runner, "engines", address=peer.address, slots=PEERS))
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        return app

    async def test_endless_bodies_leave_other_services_undisturbed(self) -> None:
        with EndlessPeer(signed_head("Connection: close"), BLOCK) as peer:
            app = await self._async_start(peer)
            sick = [
                asyncio.ensure_future(self.async_ask(app, "/chat/", b"{}")) for _ in range(PEERS)
            ]
            while not all(task.done() for task in sick):
                reply = await self.async_ask(app, "/look/")
                self.assertEqual((reply.status, await reply.async_read()), (200, b"done"))
                await asyncio.sleep(0)
            for task in sick:
                self.assertEqual(task.result().status, HTTPStatus.BAD_GATEWAY)
        self.assertLessEqual(app._client.budget.peak_bytes, app.options.max_buffered_bytes)
        app.update_gauges()
        metrics = str(app.metrics.render("text/plain").body)
        self.assertRegex(metrics, r"answers_evicted_total [1-9]")


if __name__ == "__main__":
    unittest.main()
