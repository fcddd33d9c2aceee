"""Tests of the HTTP client against a raw TCP peer.

The peer splits a response at arbitrary bytes, pauses or closes within it, which must never lose,
change or silently truncate a body.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
import unittest

from wagtailusher_http import (
    AnswerError,
    AnswerTruncatedError,
    ClientAnswer,
    HttpClient,
    ReadTimeoutError,
    match_identifier,
)

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
SEEDS = 60
MAX_PIECE_BYTES = 40


class RawPeer:
    """Writes the given pieces as the response on each connection and then waits."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.closes = False
        self.may_finish = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def async_start(self) -> str:
        self._server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def async_close(self) -> None:
        for writer in self._writers:
            writer.close()
        if self._server is not None:
            self._server.close()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        for piece in self.pieces:
            writer.write(piece)
            await asyncio.sleep(0)
        await self.may_finish.wait()
        if self.closes:
            writer.close()


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """A body is complete and unchanged, or reading it raises an error."""

    async def asyncSetUp(self) -> None:
        self.peer = RawPeer()
        self.address = await self.peer.async_start()
        self.client = HttpClient()

    async def asyncTearDown(self) -> None:
        self.peer.may_finish.set()
        self.client.close()
        await self.peer.async_close()

    async def _async_request(self) -> ClientAnswer:
        return await self.client.async_request(self.address, "GET", "/", new_connection=True)

    async def _async_random_body(self, generator: Random) -> tuple[bytes, ClientAnswer]:
        chunks = [generator.randbytes(generator.choice((1, 5, 17, 300))) for _ in range(9)]
        data = HEAD + b"".join(_encode_chunk(chunk) for chunk in chunks) + END
        self.peer.pieces = _split(data, generator)
        return b"".join(chunks), await self._async_request()

    async def test_body_is_the_same_however_the_input_is_split(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                generator = Random(seed)
                body, answer = await self._async_random_body(generator)
                self.assertEqual(await answer.async_read(), body)

    async def test_relayed_body_is_the_same_with_pauses_after_any_chunk(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                generator = Random(seed)
                body, answer = await self._async_random_body(generator)
                seen: list[bytes] = []

                def deliver(
                    part: bytes, seen: list[bytes] = seen, generator: Random = generator
                ) -> bool:
                    seen.append(part)
                    return generator.random() < 0.5

                while not await answer.async_relay_body(deliver, 5_000):
                    for _ in range(generator.randrange(4)):
                        await asyncio.sleep(0)
                self.assertEqual(b"".join(seen), body)

    async def test_relay_raises_timeouts_truncation_and_errors_of_deliver(self) -> None:
        def refuse(part: bytes) -> bool:
            raise ZeroDivisionError(part)

        self.peer.pieces = [HEAD, _encode_chunk(b"one")]
        seen: list[bytes] = []
        with self.assertRaises(ReadTimeoutError):
            await (await self._async_request()).async_relay_body(_collect_into(seen), 60)
        self.assertEqual(seen, [b"one"])
        with self.assertRaises(ZeroDivisionError):
            await (await self._async_request()).async_relay_body(refuse, 5_000)
        self.peer.closes = True
        self.peer.may_finish.set()
        with self.assertRaises(AnswerTruncatedError):
            await (await self._async_request()).async_relay_body(_collect_into(seen), 5_000)

    async def test_chunks_received_one_by_one_are_not_delayed(self) -> None:
        for number in range(4):
            self.peer.pieces = [HEAD] + [_encode_chunk(b"part")] * number + [_encode_chunk(b"last")]
            answer = await self._async_request()
            seen = b""
            async for chunk in answer.iter_chunks():
                seen += chunk
                if len(seen) == 4 * (number + 1):
                    break
            self.assertEqual(seen, b"part" * number + b"last")
            answer.abort()

    async def test_read_timeout_is_raised_after_part_of_a_body(self) -> None:
        self.peer.pieces = [HEAD, _encode_chunk(b"one")]
        answer = await self._async_request()
        seen: list[bytes] = []
        with self.assertRaises(ReadTimeoutError):
            async for chunk in answer.iter_chunks(silence_timeout_ms=60):
                seen.append(chunk)
        self.assertEqual(seen, [b"one"])

    async def test_shorter_read_timeout_replaces_a_longer_one(self) -> None:
        self.peer.pieces = [HEAD]
        answer = await self.client.async_request(
            self.address, "GET", "/", head_timeout_ms=60_000, new_connection=True
        )
        with self.assertRaises(ReadTimeoutError):
            await asyncio.wait_for(answer.async_read(silence_timeout_ms=30), 10)

    async def test_incomplete_response_is_reported_as_truncated(self) -> None:
        for ending in (b"", b"5\r\nab", b"5\r\nabcde", b"0\r\n"):
            with self.subTest(ending=ending):
                self.peer.closes = True
                self.peer.may_finish.set()
                self.peer.pieces = [HEAD, _encode_chunk(b"one"), ending]
                answer = await self._async_request()
                with self.assertRaises(AnswerTruncatedError):
                    await answer.async_read()

    async def test_part_of_a_late_answer_is_never_merged_with_the_next_answer(self) -> None:
        own = b"HTTP/1.1 404 Not Found\r\nx-id: own\r\ncontent-length: 3\r\n\r\nown"
        chunked = b"transfer-encoding: chunked\r\n\r\n5\r\nother\r\n" + END
        for rest in (b"content-length: 5\r\n\r\nother", b"\r\nother", chunked):
            late = b"HTTP/1.1 200 OK\r\nx-late: a b\r\nx-id: other\r\n" + rest
            for cut in range(len(late) + 1):
                with self.subTest(late=late[:cut]):
                    self.peer.pieces = [late[:cut] + own]
                    self.peer.closes = True
                    self.peer.may_finish.set()
                    await self._async_expect_own_or_error(404, b"own")

    async def _async_expect_own_or_error(self, status: int, body: bytes) -> None:
        """Expect the answer with the identifier `own` or an error."""
        try:
            answer = await self.client.async_request(
                self.address,
                "GET",
                "/",
                new_connection=True,
                matches_request=match_identifier("x-id", "own", required=True),
            )
            received = answer.status, await answer.async_read()
        except AnswerError:
            return
        self.assertEqual(received, (status, body))


def _collect_into(seen: list[bytes]) -> Callable[[bytes], bool]:
    """Return a `deliver` function that appends each chunk to a list."""

    def deliver(part: bytes) -> bool:
        seen.append(part)
        return True

    return deliver


def _encode_chunk(chunk: bytes) -> bytes:
    """Return data in chunked transfer encoding."""
    return b"%x\r\n%s\r\n" % (len(chunk), chunk)


def _split(data: bytes, generator: Random) -> list[bytes]:
    """Return data split into pieces of random sizes."""
    pieces: list[bytes] = []
    while data:
        size = generator.randint(1, MAX_PIECE_BYTES)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


if __name__ == "__main__":
    unittest.main()
