"""Stand-in for a peer whose answer never ends."""

from __future__ import annotations

from collections.abc import Callable
import socket
import threading
import time
from typing import Self

Head = Callable[[dict[str, str]], bytes]
"""Returns what is sent first, from the fields of the request."""


class EndlessPeer:
    """Sends `head` and then `block` repeatedly on each connection, until the client closes it.

    It runs in threads of its own, so that `time.thread_time` measures the client alone.
    """

    def __init__(
        self, head: bytes | Head, block: bytes, *, pause_s: float = 0.0, start_s: float = 0.0
    ) -> None:
        """Pause `start_s` before the first block, and `pause_s` after each."""
        self._head = head
        self._block = block
        self._pause_s = pause_s
        self._start_s = start_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open: set[socket.socket] = set()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.connections = 0
        self.closed = 0
        """Connections that the client closed."""

    def __enter__(self) -> Self:
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *args: object) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in tuple(self._open):
            connection.close()

    def _accept(self) -> None:
        """Serve each connection in a thread until the listener is closed."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._open.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        """Read a request and send the answer until the client closes the connection."""
        try:
            fields = _read_request(connection)
            connection.sendall(self._head(fields) if callable(self._head) else self._head)
            time.sleep(self._start_s)
            while True:
                connection.sendall(self._block)
                time.sleep(self._pause_s)
        except OSError:
            self.closed += 1
        finally:
            self._open.discard(connection)
            connection.close()


def _read_request(connection: socket.socket) -> dict[str, str]:
    """Return the header fields of a request without a body."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(65536)
        if not data:
            raise ConnectionResetError("the client closed the connection")
        received += data
    lines = received.decode("latin-1").split("\r\n")[1:]
    fields = (line.split(":", 1) for line in lines if ":" in line)
    return {name.lower(): value.strip() for name, value in fields}
