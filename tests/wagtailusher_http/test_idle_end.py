"""Tests of what the HTTP client tells its owner when a peer closes idle connections."""

from __future__ import annotations

import asyncio
import unittest

from wagtailusher_http import AnswerError, HttpClient

PLAIN = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
ANNOUNCED = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: timeout=1\r\n\r\nok"
ANNOUNCED_S = 1.0


class IdleEndTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a crash that nobody hears of, and ordinary time-outs taken for crashes."""

    async def asyncSetUp(self) -> None:
        self.ended: list[str] = []
        self.client = HttpClient(on_idle_end=self.ended.append)
        self.addCleanup(self.client.close)
        self.answer = PLAIN
        self.writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.addAsyncCleanup(self._async_end, aborts=True)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer each request on one connection."""
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _async_get(self, *, new_connection: bool = False) -> None:
        answer = await self.client.async_request(
            self.address, "GET", "/", new_connection=new_connection
        )
        self.assertEqual(await answer.async_read(), b"ok")

    async def _async_end(self, *, aborts: bool) -> None:
        """Close the peer's connections, and wait until the client saw it."""
        for writer in self.writers:
            if aborts:
                writer.transport.abort()
            else:
                writer.close()
        await asyncio.sleep(0.05)

    async def test_end_of_each_idle_connection_is_told_once(self) -> None:
        for aborts in (False, True):
            with self.subTest(aborts=aborts):
                self.ended.clear()
                await self._async_get()
                await self._async_get(new_connection=True)
                await self._async_end(aborts=aborts)
                self.assertEqual(self.ended, [self.address] * 2)

    async def test_request_after_the_end_opens_a_connection(self) -> None:
        await self._async_get()
        await self._async_end(aborts=False)
        await self._async_get()
        self.assertEqual(len(self.writers), 2)

    async def test_end_that_the_peer_announced_is_not_told(self) -> None:
        self.answer = ANNOUNCED
        await self._async_get()
        await asyncio.sleep(ANNOUNCED_S)
        await self._async_end(aborts=False)
        self.assertEqual(self.ended, [])

    async def test_end_before_the_announced_time_is_told(self) -> None:
        self.answer = ANNOUNCED
        await self._async_get()
        await self._async_end(aborts=False)
        self.assertEqual(self.ended, [self.address])

    async def test_end_by_the_client_is_not_told(self) -> None:
        await self._async_get()
        self.client.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.ended, [])

    async def test_unexpected_bytes_are_no_end_by_the_peer(self) -> None:
        await self._async_get()
        self.writers[0].write(b"?")
        await asyncio.sleep(0.05)
        self.assertEqual(self.ended, [])

    async def test_end_within_an_answer_is_not_told(self) -> None:
        await self._async_get()
        self.answer = PLAIN[:-1]
        answer = await self.client.async_request(self.address, "GET", "/")
        await self._async_end(aborts=False)
        with self.assertRaises(AnswerError):
            await answer.async_read()
        self.assertEqual(self.ended, [])


if __name__ == "__main__":
    unittest.main()
