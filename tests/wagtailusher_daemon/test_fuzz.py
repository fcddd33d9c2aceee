"""Fuzz test: sends corrupted requests to an app, which answers or closes the connection."""

from __future__ import annotations

import asyncio
import json
from random import Random
import unittest

from tests.standins.config_service import async_wait_until
from tests.wagtailusher_daemon.fleet import API_KEY, MODEL, Fleet

SEED = 11
REQUESTS = 400
ANSWER_TIMEOUT_S = 20
BODY = json.dumps({"model": MODEL, "messages": [{"role": "user", "content": "x"}]}).encode()
HEAD = (
    f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {API_KEY}\r\n"
    f"x-wagtailusher-ticket: abc.def\r\nx-wagtailusher-revision: 0.1\r\n"
    f"idempotency-key: 12\r\nx-wagtailusher-first-sent-ms: 5\r\n"
    f"traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n"
    f"content-length: {len(BODY)}\r\nconnection: close\r\n\r\n"
).encode()


def corrupt(generator: Random, content: bytes) -> bytes:
    """Return a request with bytes changed, removed, duplicated or inserted at random."""
    data = bytearray(content)
    for _ in range(generator.randrange(1, 4)):
        position = generator.randrange(len(data))
        kind = generator.randrange(4)
        if kind == 0:
            data[position] = generator.randrange(256)
        elif kind == 1:
            del data[position : position + generator.randrange(1, 20)]
        elif kind == 2:
            data[position:position] = data[position : position + generator.randrange(1, 40)]
        else:
            data[position:position] = generator.randbytes(generator.randrange(1, 10))
    return bytes(data)


class FuzzTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that stay in flight or break the app after malformed input."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(vm_count=1, engine_count=1)
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def _async_send(self, data: bytes) -> bytes:
        """Send bytes, read the response for a short time and close the connection."""
        host, _, port = self.fleet.apps[0].address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        try:
            async with asyncio.timeout(0.1):
                return await reader.read()
        except (TimeoutError, ConnectionError):
            return b""
        finally:
            writer.close()

    async def test_corrupted_requests(self) -> None:
        generator = Random(SEED)
        app = self.fleet.apps[0]
        for _ in range(REQUESTS):
            answer = await self._async_send(corrupt(generator, HEAD + BODY))
            self.assertTrue(not answer or answer.startswith(b"HTTP/1.1 "), answer[:80])
            self.assertFalse(answer.startswith(b"HTTP/1.1 500"), answer[:300])
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await async_wait_until(lambda: app.node.held_count == 0)
        self.assertEqual(app.node.decider.in_flight_count, 0)
        status, body = await self.fleet.async_chat()
        self.assertEqual(status, 200)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))


if __name__ == "__main__":
    unittest.main()
