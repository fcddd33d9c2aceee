"""Tests of requests whose callers left before a VM under load read or started them."""

from __future__ import annotations

import asyncio
import socket

from tests.standins.runner import RunnerStandin, stream
from tests.wagtailusher_platform.fleet import HOST, KEY, PlatformTest
from wagtailusher_gateway import GatewayApp

CALLERS = 5
SETTLE_S = 0.3


def send_and_leave(app: GatewayApp, attempt_id: str) -> None:
    """Send a request and close the connection, without letting the event loop run."""
    host, _, port = app.options.listen.rpartition(":")
    fields = (
        "POST /chat/ HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {attempt_id}",
        "X-Deadline-Ms: 3000",
        f"Authorization: Bearer {KEY}",
        "Content-Length: 6",
    )
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall("\r\n".join((*fields, "", "prompt")).encode())


class DepartedCallersTest(PlatformTest):
    """An endpoint gets no request whose caller is already gone."""

    async def _async_start(self) -> tuple[GatewayApp, RunnerStandin]:
        """Start an engine and a gateway that keeps an idle connection to it for each caller."""
        runner = await self.async_runner("engines", "i-1", stream(3, gap_s=0.01))
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        await asyncio.gather(*(self._async_complete(app) for _ in range(CALLERS)))
        runner.received.clear()
        return app, runner

    async def _async_complete(self, app: GatewayApp) -> None:
        reply = await self.async_ask(app, "/chat/", b"prompt")
        await reply.async_read()

    async def test_request_read_after_its_caller_left_is_not_sent(self) -> None:
        app, runner = await self._async_start()
        for number in range(CALLERS):
            send_and_leave(app, f"left-{number}")
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([request.headers["x-attempt-id"] for request in runner.received], [])
        self.assertEqual(app.dispatcher.in_flight, 0)
