"""Callers that send requests over raw sockets and only count events and answers."""

from __future__ import annotations

import asyncio
import json

from wagtailusher_bench.relay.chunk_source import COMPLETE_ANSWER, END_EVENT
from wagtailusher_bench.relay.platform_standin import API_KEY, MODEL

READ_SIZE_BYTES = 65536
EVENT_MARK = b"data: "
START_TIMEOUT_S = 60


class Callers:
    """Opens connections to one address and counts their chunks, answers and failures."""

    def __init__(self, address: str) -> None:
        self._host, _, self._port = address.rpartition(":")
        self.started_streams = 0
        self.chunks = 0
        self.answers = 0
        self.broken = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._changed = asyncio.Condition()

    async def async_open_streams(self, count: int) -> None:
        """Open streams and wait until each has received its first chunk or failed."""
        self._tasks = [asyncio.create_task(self._async_stream()) for _ in range(count)]
        async with asyncio.timeout(START_TIMEOUT_S), self._changed:
            await self._changed.wait_for(lambda: self.started_streams + self.broken >= count)

    async def async_join(self) -> None:
        """Wait until all streams have ended."""
        await asyncio.gather(*self._tasks)

    async def _async_stream(self) -> None:
        """Read one stream to its end; one without the end marker counts as broken."""
        reader, writer = await asyncio.open_connection(self._host, int(self._port))
        writer.write(request_bytes(streams=True))
        event_count = 0
        tail = b""
        while data := await reader.read(READ_SIZE_BYTES):
            count = data.count(EVENT_MARK)
            if count and not event_count:
                self.started_streams += 1
                await self._async_notify()
            event_count += count
            self.chunks += count
            tail = (tail + data)[-256:]
            if END_EVENT in tail:
                break
        self.broken += END_EVENT not in tail
        await self._async_notify()
        writer.close()

    async def _async_notify(self) -> None:
        """Notify the task that waits for streams to start."""
        async with self._changed:
            self._changed.notify_all()

    async def async_send_requests(self, count: int, connections: int) -> None:
        """Send unstreamed requests, one after the other on each connection."""
        each = count // connections
        await asyncio.gather(*(self._async_send(each) for _ in range(connections)))

    async def _async_send(self, count: int) -> None:
        """Send unstreamed requests on one connection; stop at the first failure."""
        reader, writer = await asyncio.open_connection(self._host, int(self._port))
        for _ in range(count):
            writer.write(request_bytes(streams=False))
            try:
                async with asyncio.timeout(START_TIMEOUT_S):
                    await reader.readuntil(COMPLETE_ANSWER)
            except (OSError, asyncio.IncompleteReadError):
                self.broken += 1
                break
            self.answers += 1
        writer.close()


def request_bytes(*, streams: bool) -> bytes:
    """Return a chat completion request as it goes over the socket."""
    value = {
        "model": MODEL,
        "stream": streams,
        "messages": [{"role": "user", "content": "how long is the row machine out?"}],
    }
    body = json.dumps(value).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n"
        f"authorization: Bearer {API_KEY}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
