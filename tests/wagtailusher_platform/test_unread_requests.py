"""Tests of requests whose bodies are on their way while a VM stops.

They guard against connections that a stop closes under a request.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
import json

from tests.standins.runner import answer
from tests.wagtailusher_platform.fleet import HOST, KEY, PlatformTest

GRACE_S = 8.0
BODY = b"5\r\nhello\r\n"
END = b"0\r\n\r\n"


def head(number: int, *lines: str) -> bytes:
    """Return the head of a request whose body is sent in chunks."""
    fields = (
        f"POST /book/{number} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: slow-{number}",
        f"Authorization: Bearer {KEY}",
        *lines,
    )
    return "\r\n".join((*fields, "", "")).encode()


CHUNKED = "Transfer-Encoding: chunked"


class Caller:
    """A caller's connection, read byte by byte as the test wants it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def async_status(self) -> int:
        """Return the status of the next final answer, 0 if the connection ends before it."""
        status = 100
        while 0 < status < 200:
            with suppress(ConnectionError):
                line = await self.reader.readline()
                status = int(line.split()[1]) if line else 0
                while line.strip():
                    line = await self.reader.readline()
                continue
            return 0
        return status

    async def async_rest(self) -> bytes:
        """Return all bytes until the connection's end."""
        with suppress(ConnectionError):
            return await self.reader.read()
        return b""


class UnreadRequestTest(PlatformTest):
    """One VM, without other requests, gets its signal."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.callers: list[Caller] = []

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.writer.close()
        await super().asyncTearDown()

    async def _async_start(self) -> None:
        self.runner = await self.async_runner("desk", "i-1", answer())
        self.app = await self.async_gateway(bounds={"grace_s": GRACE_S})
        await self.async_ready(self.app, 1)

    async def _async_caller(self) -> Caller:
        host, _, port = self.app.options.listen.rpartition(":")
        caller = Caller(*await asyncio.open_connection(host, int(port)))
        self.callers.append(caller)
        return caller

    def _stop(self) -> asyncio.Task[None]:
        self.apps.remove(self.app)
        return asyncio.create_task(self.app.async_stop())

    async def _async_send_slowly(self, number: int, begin_s: float, last_s: float) -> int:
        """Send a body from `begin_s` to `last_s` after now, and return the answer's status."""
        started_s = asyncio.get_running_loop().time()
        await asyncio.sleep(begin_s)
        caller = await self._async_caller()
        caller.writer.write(head(number, CHUNKED) + BODY)
        await asyncio.sleep(started_s + last_s - asyncio.get_running_loop().time())
        caller.writer.write(END)
        return await caller.async_status()

    async def test_body_that_ends_within_the_grace_is_not_cut_off(self) -> None:
        await self._async_start()
        stop = self._stop()
        statuses = await asyncio.gather(
            self._async_send_slowly(1, 2.0, 4.5),
            self._async_send_slowly(2, 2.5, 4.7),
            self._async_send_slowly(3, 0.0, 3.5),
        )
        self.assertEqual(statuses, [200, 200, 200])
        await stop

    async def test_last_byte_around_the_end_of_a_stop_gets_an_answer(self) -> None:
        await self._async_start()
        stop = self._stop()
        sends = [self._async_send_slowly(number, 3.0, 7.3 + number * 0.02) for number in range(20)]
        statuses = await asyncio.gather(*sends)
        self.assertEqual(set(statuses) - {200, 503}, set())
        executed = len(self.runner.executed_ids)
        self.assertEqual(executed, statuses.count(200))
        await stop

    async def test_body_on_its_way_at_the_end_is_answered_as_not_run(self) -> None:
        await self._async_start()
        kept = await self._async_caller()
        kept.writer.write(head(1, "Content-Length: 1") + b"x")
        self.assertEqual(await kept.async_status(), 200)
        await kept.reader.readexactly(4)
        expecting = await self._async_caller()
        await asyncio.sleep(0)
        kept.writer.write(head(2, CHUNKED) + BODY)
        expecting.writer.write(head(3, "Content-Length: 9", "Expect: 100-continue"))
        stop = self._stop()
        for caller in (kept, expecting):
            self.assertEqual(await caller.async_status(), 503)
            error = json.loads(await caller.async_rest())["error"]
            self.assertEqual((error["code"], error["outcome"]), ("draining", "not_run"))
        await stop
        self.assertEqual(self.runner.executed_ids, ["slow-1"])
