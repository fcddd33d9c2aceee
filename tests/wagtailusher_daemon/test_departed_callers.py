"""Tests of chats whose callers left before a busy VM read them."""

from __future__ import annotations

import asyncio
import json
import socket
import unittest

from tests.wagtailusher_daemon.fleet import MODEL, Fleet

CALLERS = 5
SETTLE_S = 0.3


class DepartedCallersTest(unittest.IsolatedAsyncioTestCase):
    """An engine gets no chat whose caller is already gone."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    def _send_and_leave(self) -> None:
        """Send a chat and close the connection, without letting the event loop run."""
        body = json.dumps(
            {"model": MODEL, "stream": True, "messages": [{"role": "user", "content": "x"}]}
        ).encode()
        fields = [f"{name}: {value}" for name, value in self.fleet.headers({})]
        head = ("POST /v1/chat/completions HTTP/1.1", "Host: vm", f"Content-Length: {len(body)}")
        host, _, port = self.fleet.apps[0].address.rpartition(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall("\r\n".join((*head, *fields, "", "")).encode() + body)

    async def test_chat_read_after_its_caller_left_is_not_sent(self) -> None:
        await asyncio.gather(*(self.fleet.async_chat() for _ in range(CALLERS)))
        started = sum(engine.counters.started for engine in self.fleet.engines)
        for _ in range(CALLERS):
            self._send_and_leave()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(sum(engine.counters.started for engine in self.fleet.engines), started)
