"""A loopback proxy that delays, silences, resets or cuts one way what passes through it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import socket
import struct

CHUNK_BYTES = 65_536
_LINGER_NONE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class FaultProxy:
    """Passes connections on to a target; what it does to them may change at any time."""

    target: Callable[[], str]
    """Returns `host:port`; asked for each connection, as the target may have moved."""
    delay_s: float = 0.0
    """Added to each chunk, both ways."""
    drops_requests: bool = False
    drops_answers: bool = False
    address: str = ""
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def async_start(self, host: str = "127.0.0.1") -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._async_accept, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def async_stop(self) -> None:
        """Close every socket."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        await asyncio.sleep(0)

    def reset_all(self) -> None:
        """Reset every connection."""
        for writer in tuple(self._writers):
            raw = writer.get_extra_info("socket")
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            writer.transport.abort()

    def heal(self) -> None:
        """Pass everything on again."""
        self.delay_s = 0.0
        self.drops_requests = False
        self.drops_answers = False

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        host, _, port = self.target().rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        ways = (
            self._async_pass(reader, far_writer, lambda: self.drops_requests),
            self._async_pass(far_reader, writer, lambda: self.drops_answers),
        )
        try:
            await _async_first(*ways)
        finally:
            self._writers -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _async_pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_dropping: Callable[[], bool],
    ) -> None:
        """Pass one way's bytes on until it ends."""
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not is_dropping():
                writer.write(chunk)
                await writer.drain()


async def _async_first(*ways: Awaitable[None]) -> None:
    """Wait until one way ends, and end the other."""
    tasks = [asyncio.ensure_future(way) for way in ways]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
