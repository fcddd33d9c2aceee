"""A plain asyncio copy of bytes between two sockets, run as a separate process."""

from __future__ import annotations

import asyncio
from contextlib import suppress
import json
import sys

READ_SIZE_BYTES = 65536


async def async_copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy until the reader's end of file or a connection error, then close the writer."""
    with suppress(OSError):
        while data := await reader.read(READ_SIZE_BYTES):
            writer.write(data)
            await writer.drain()
    writer.close()


async def async_run(target: str) -> None:
    """Print the listening address and proxy each connection to `target` until killed."""
    host, _, port = target.rpartition(":")

    async def async_accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(async_copy(reader, target_writer), async_copy(target_reader, writer))

    server = await asyncio.start_server(async_accept, "127.0.0.1", 0, backlog=1024)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    sys.stdout.write(json.dumps({"address": address}) + "\n")
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(async_run(sys.argv[1]))
