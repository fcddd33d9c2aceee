"""A connected socket: what was received and not yet read, and one watchdog over silence."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from wagtailusher_core import callback
from wagtailusher_http.const import MAX_UNREAD_BYTES

Listener = Callable[[], bool | None]


class SocketProtocol(asyncio.Protocol):
    """Keeps received bytes for the one task that reads them.

    A wait that is bounded in time moves a deadline; the one timer of the connection looks at it
    when it runs out, so that a read costs no timer of its own.
    """

    __slots__ = (
        "_deadline_s",
        "_drained",
        "_eof",
        "_error",
        "_loop",
        "_listener",
        "_lost",
        "_on_connected",
        "_paused_reading",
        "_paused_writing",
        "_received",
        "_silence_s",
        "_timer",
        "_unread_bytes",
        "_waiter",
        "on_data",
        "on_end",
        "transport",
    )

    def __init__(self, on_connected: Callable[[SocketProtocol], None] | None = None) -> None:
        """Start without a socket."""
        self._loop = asyncio.get_running_loop()
        self._on_connected = on_connected
        self._received: list[bytes] = []
        self._unread_bytes = 0
        self._eof = False
        self._lost = False
        self._error: Exception | None = None
        self._paused_reading = False
        self._paused_writing = False
        self._waiter: asyncio.Future[bool | None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_s = 0.0
        self._silence_s = 0.0
        self._listener: Listener | None = None
        self.on_end: Callable[[], None] | None = None
        self.on_data: Callable[[int], None] | None = None
        self.transport: asyncio.Transport

    @property
    def is_ended(self) -> bool:
        """Tell whether the other side closed or the socket is being closed."""
        return self._eof or self._lost or self.transport.is_closing()

    @property
    def is_eof(self) -> bool:
        """Tell whether everything that will ever come was read."""
        return (self._eof or self._lost) and not self._received

    @property
    def has_news(self) -> bool:
        """Tell whether a read would not wait."""
        return bool(self._received) or self._eof or self._lost

    @property
    def error(self) -> OSError | None:
        """Return what broke the connection."""
        return self._error if isinstance(self._error, OSError) else None

    @callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self.transport = cast(asyncio.Transport, transport)
        if self._on_connected is not None:
            self._on_connected(self)

    @callback
    def data_received(self, data: bytes) -> None:
        """Keep data; stop reading the socket when nobody takes them."""
        self._received.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._paused_reading:
            self._paused_reading = True
            self.transport.pause_reading()
        if self._listener is not None:
            self._deadline_s = self._loop.time() + self._silence_s
            self._tell(self._listener)
        else:
            self._wake()
        if self.on_data is not None:
            self.on_data(self._unread_bytes)

    @callback
    def eof_received(self) -> bool:
        """Note that the other side sends no more; it may still read."""
        self._eof = True
        self._end()
        return self.transport.get_extra_info("sslcontext") is None

    @callback
    def connection_lost(self, exc: Exception | None) -> None:
        """Wake all who wait."""
        self._lost = True
        self._error = exc
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._release_writer()
        self._end()

    @callback
    def _end(self) -> None:
        """Wake the reader and tell the owner."""
        if self._listener is not None:
            self._tell(self._listener)
        else:
            self._wake()
        if self.on_end is not None:
            self.on_end()

    @callback
    def pause_writing(self) -> None:
        """Note that the other side does not keep up."""
        self._paused_writing = True

    @callback
    def resume_writing(self) -> None:
        """Let the writer go on."""
        self._paused_writing = False
        self._release_writer()

    @callback
    def _release_writer(self) -> None:
        """Wake the writer."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)

    @callback
    def _wake(self) -> None:
        """Wake the reader."""
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    @callback
    def take(self) -> bytes:
        """Return what was received and not yet read, possibly nothing."""
        received = self._received
        if not received:
            return b""
        data = received[0] if len(received) == 1 else b"".join(received)
        received.clear()
        self._unread_bytes = 0
        if self._paused_reading:
            self._paused_reading = False
            if not self._lost:
                self.transport.resume_reading()
        return data

    async def async_read(self, timeout_s: float | None = None) -> bytes:
        """Return what there is, waiting for something; empty at the end.

        Raises TimeoutError after silence and OSError when the connection broke.
        """
        if not self.has_news:
            self._waiter = self._loop.create_future()
            if timeout_s is not None:
                self._watch(timeout_s)
            try:
                await self._waiter
            finally:
                self._waiter = None
        if not self._received and self.error is not None:
            raise self.error
        return self.take()

    async def async_listen(self, listener: Listener, silence_s: float) -> bool:
        """Call a listener whenever something arrived, until it returns whether that was all.

        It is called within the event loop's own reading, so that a part costs no task switch.
        Raises what the listener raises, and TimeoutError after silence.
        """
        self._waiter = self._loop.create_future()
        self._listener = listener
        self._silence_s = silence_s
        self._watch(silence_s)
        try:
            return bool(await self._waiter)
        finally:
            self._listener = None
            self._waiter = None

    @callback
    def _tell(self, listener: Listener) -> None:
        """Call the listener and end the wait with what it returns or raises."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        try:
            result = listener()
        except Exception as err:
            waiter.set_exception(err)
            return
        if result is not None:
            waiter.set_result(result)

    @callback
    def _watch(self, timeout_s: float) -> None:
        """Move the deadline; the timer is moved only when it would run out too late."""
        self._deadline_s = self._loop.time() + timeout_s
        timer = self._timer
        if timer is not None and timer.when() <= self._deadline_s:
            return
        if timer is not None:
            timer.cancel()
        self._timer = self._loop.call_at(self._deadline_s, self._look)

    @callback
    def _look(self) -> None:
        """End a wait whose deadline is over."""
        self._timer = None
        if self._waiter is None or self._waiter.done():
            return
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._look)
            return
        self._waiter.set_exception(TimeoutError())

    @callback
    def write(self, data: bytes) -> None:
        """Send data; raise ConnectionResetError when the socket is gone."""
        if self._lost:
            raise ConnectionResetError("the connection is closed")
        self.transport.write(data)

    @property
    def needs_drain(self) -> bool:
        """Tell whether a writer should wait before it writes more."""
        return self._paused_writing

    async def async_drain(self, timeout_s: float) -> None:
        """Wait until the other side has taken enough; raise TimeoutError when it does not."""
        if self._paused_writing and not self._lost:
            self._drained = self._loop.create_future()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._drained
            finally:
                self._drained = None
        if self._lost:
            raise ConnectionResetError("the connection is closed")

    @callback
    def end_writing(self) -> None:
        """Send the end of what is written, and go on reading."""
        if not self._lost and self.transport.can_write_eof():
            self.transport.write_eof()

    @callback
    def close(self) -> None:
        """Close the socket after what was written."""
        self.transport.close()

    @callback
    def abort(self) -> None:
        """Drop the socket at once."""
        self.transport.abort()
