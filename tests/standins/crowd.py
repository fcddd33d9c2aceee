"""Raw connections of clients that send much and read little, and what a process takes of them."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
import socket

SMALL_BUFFER_BYTES = 4096


@dataclass(slots=True)
class ProcessPeaks:
    """The most memory, without pages of files, and the most descriptors that a process had."""

    memory_bytes: int = 0
    descriptors: int = 0

    def sample(self, process: asyncio.subprocess.Process) -> None:
        """Update the peaks, unless the process has ended."""
        if process.returncode is not None:
            return
        folder = Path(f"/proc/{process.pid}")
        with suppress(OSError):
            text = (folder / "status").read_text(encoding="ascii")
            sizes = dict(line.split(":", 1) for line in text.splitlines())
            kilobytes = sum(int(sizes[name].split()[0]) for name in ("RssAnon", "RssShmem"))
            self.memory_bytes = max(self.memory_bytes, kilobytes * 1024)
            self.descriptors = max(self.descriptors, len(list((folder / "fd").iterdir())))


@dataclass(slots=True)
class Crowd:
    """Raw connections of clients; what is sent on them does not wait for each other."""

    front: str
    sockets: list[socket.socket] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_open(self) -> socket.socket | None:
        """Return a connection with a small receive buffer, or None if it is refused."""
        host, _, port = self.front.rpartition(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        connection.setblocking(False)
        self.sockets.append(connection)
        try:
            await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        except OSError:
            return None
        return connection

    def send(self, *parts: bytes, pause_s: float = 0.0, repeat_last: bool = False) -> None:
        """Send the parts on a new connection, which stays open and is not read."""
        task = asyncio.create_task(self._async_send(parts, pause_s, repeat_last))
        self.tasks.add(task)

    async def _async_send(
        self, parts: tuple[bytes, ...], pause_s: float, repeat_last: bool
    ) -> None:
        connection = await self.async_open()
        if connection is None:
            return
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            for part in parts:
                await loop.sock_sendall(connection, part)
                await asyncio.sleep(pause_s)
            while repeat_last:
                await loop.sock_sendall(connection, parts[-1])
                await asyncio.sleep(pause_s)

    async def async_close(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in self.sockets:
            connection.close()
