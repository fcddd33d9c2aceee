"""An asyncio protocol with an input buffer and one timer for read time-outs."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from typing import cast

from wagtailusher_core import callback
from wagtailusher_http.const import (
    MAX_READ_BYTES,
    MAX_TIMER_DELAY_S,
    MAX_UNREAD_BYTES,
    WRITE_SLICE_BYTES,
)

Listener = Callable[[], bool | None]


class SocketProtocol(asyncio.Protocol):
    """Buffers received bytes for a single reading task.

    A read with a time-out only moves a deadline, which the connection's one timer checks when it
    expires. This avoids creating a timer for each read.
    """

    __slots__ = (
        "_deadline_s",
        "_write_waiter",
        "_closing",
        "_ending",
        "_eof",
        "_error",
        "_loop",
        "_listener",
        "_lost",
        "_on_connected",
        "_paused_reading",
        "_paused_writing",
        "_received",
        "_read_timeout_s",
        "_timer",
        "_read_waiter",
        "_unsent",
        "_unsent_bytes",
        "_written_bytes",
        "on_data",
        "on_end",
        "received_bytes",
        "transport",
        "unread_bytes",
    )

    def __init__(self, on_connected: Callable[[SocketProtocol], None] | None = None) -> None:
        """Call `on_connected` once the socket is connected."""
        self._loop = asyncio.get_running_loop()
        self._on_connected = on_connected
        self._received: list[bytes] = []
        self.unread_bytes = 0
        self.received_bytes = 0
        self._unsent: deque[memoryview] = deque()
        """Data behind what the transport buffers; it copies what it buffers."""
        self._unsent_bytes = 0
        self._written_bytes = 0
        self._closing = False
        self._ending = False
        self._eof = False
        self._lost = False
        self._error: Exception | None = None
        self._paused_reading = False
        self._paused_writing = False
        self._read_waiter: asyncio.Future[bool | None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline_s = 0.0
        self._read_timeout_s = 0.0
        self._listener: Listener | None = None
        self.on_end: Callable[[], None] | None = None
        self.on_data: Callable[[int], None] | None = None
        self.transport: asyncio.Transport

    @property
    def is_ended(self) -> bool:
        """Return whether the peer closed or the socket is closing."""
        return self._eof or self._lost or self._closing or self.transport.is_closing()

    @property
    def is_eof(self) -> bool:
        """Return whether the input ended and was read completely."""
        return (self._eof or self._lost) and not self._received

    @property
    def has_unread_input(self) -> bool:
        """Return whether a read would return without waiting."""
        return bool(self._received) or self._eof or self._lost

    @property
    def error(self) -> OSError | None:
        """Return the error by which the connection was lost, or None."""
        return self._error if isinstance(self._error, OSError) else None

    @callback
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and call `on_connected`."""
        self.transport = cast(asyncio.Transport, transport)
        if hasattr(transport, "max_size"):
            transport.max_size = MAX_READ_BYTES
        if self._on_connected is not None:
            self._on_connected(self)

    @callback
    def data_received(self, data: bytes) -> None:
        """Buffer received data; pause reading when too much is unread."""
        self._received.append(data)
        self.unread_bytes += len(data)
        self.received_bytes += len(data)
        if self._listener is not None:
            self._deadline_s = self._loop.time() + self._read_timeout_s
            self._notify_listener(self._listener)
        else:
            self._wake_reader()
        if self.unread_bytes > MAX_UNREAD_BYTES and not self._paused_reading:
            self._paused_reading = True
            self.transport.pause_reading()
        if self.on_data is not None:
            self.on_data(self.unread_bytes)

    @callback
    def eof_received(self) -> bool:
        """Record the end of input; a plain connection stays open for writing."""
        self._eof = True
        self._handle_end()
        return self.transport.get_extra_info("sslcontext") is None

    @callback
    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss and wake the reader and the writer."""
        self._lost = True
        self._error = exc
        self._unsent.clear()
        self._unsent_bytes = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._wake_writer()
        self._handle_end()

    @callback
    def _handle_end(self) -> None:
        """Wake the reader or call the listener, then call `on_end`."""
        if self._listener is not None:
            self._notify_listener(self._listener)
        else:
            self._wake_reader()
        if self.on_end is not None:
            self.on_end()

    @callback
    def pause_writing(self) -> None:
        """Make writers wait, as the write buffer is full."""
        self._paused_writing = True

    @callback
    def resume_writing(self) -> None:
        """Let the writer continue, once the rest of a large write is on its way."""
        self._paused_writing = False
        self._send_rest()
        if not self.needs_drain:
            self._wake_writer()

    @callback
    def _wake_writer(self) -> None:
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    @callback
    def _wake_reader(self) -> None:
        waiter = self._read_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    @callback
    def read_buffered(self) -> bytes:
        """Return and clear the buffered input, which may be empty."""
        received = self._received
        if not received:
            return b""
        data = received[0] if len(received) == 1 else b"".join(received)
        received.clear()
        self.unread_bytes = 0
        if self._paused_reading:
            self._paused_reading = False
            if not self._lost:
                self.transport.resume_reading()
        return data

    async def async_read(self, timeout_s: float | None = None) -> bytes:
        """Return available data, waiting for some; empty at the end of input.

        Raises TimeoutError when no data arrives and OSError when the connection is lost.
        """
        if not self.has_unread_input:
            self._read_waiter = self._loop.create_future()
            if timeout_s is not None:
                self._set_deadline(timeout_s)
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if not self._received and self.error is not None:
            raise self.error
        return self.read_buffered()

    async def async_listen(self, listener: Listener, read_timeout_s: float) -> bool:
        """Call a listener on each input until it returns a result, and return that.

        The listener runs in the event loop's read callback, which avoids a task switch for each
        chunk. Raises what the listener raises, and TimeoutError when no data arrives.
        """
        self._read_waiter = self._loop.create_future()
        self._listener = listener
        self._read_timeout_s = read_timeout_s
        self._set_deadline(read_timeout_s)
        try:
            return bool(await self._read_waiter)
        finally:
            self._listener = None
            self._read_waiter = None

    @callback
    def _notify_listener(self, listener: Listener) -> None:
        """Call the listener; end the wait with its result or error."""
        waiter = self._read_waiter
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
    def _set_deadline(self, timeout_s: float) -> None:
        """Set the deadline; reschedule the timer only when it would expire too late."""
        self._deadline_s = self._loop.time() + timeout_s
        timer = self._timer
        if timer is not None and timer.when() <= self._deadline_s:
            return
        if timer is not None:
            timer.cancel()
        self._timer = self._loop.call_at(self._deadline_s, self._check_deadline)

    @callback
    def _check_deadline(self) -> None:
        """End the wait when its deadline has passed, else reschedule the timer.

        A timer that fires late shows that this process was paused, which is not the peer's silence.
        """
        timer, self._timer = self._timer, None
        if self._read_waiter is None or self._read_waiter.done():
            return
        now_s = self._loop.time()
        late_s = now_s - timer.when() if timer is not None else 0.0
        if late_s > MAX_TIMER_DELAY_S:
            self._deadline_s = max(self._deadline_s, now_s) + late_s
        if now_s < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._check_deadline)
            return
        self._read_waiter.set_exception(TimeoutError())

    @callback
    def write(self, data: bytes) -> None:
        """Write data; raise ConnectionResetError when the connection is lost.

        A large one is passed on in slices, so that it is not held a second time.
        """
        if self._lost:
            raise ConnectionResetError("the connection is closed")
        self._written_bytes += len(data)
        if not self._unsent and len(data) <= WRITE_SLICE_BYTES:
            self.transport.write(data)
            return
        self._unsent.append(memoryview(data))
        self._unsent_bytes += len(data)
        self._send_rest()

    @callback
    def _send_rest(self) -> None:
        """Pass slices to the transport until it has enough, then do what waits for the last."""
        while self._unsent and not self._paused_writing and not self.transport.is_closing():
            data = self._unsent.popleft()
            if len(data) > WRITE_SLICE_BYTES:
                self._unsent.appendleft(data[WRITE_SLICE_BYTES:])
            self._unsent_bytes -= min(len(data), WRITE_SLICE_BYTES)
            self.transport.write(data[:WRITE_SLICE_BYTES])
        if self._unsent:
            return
        if self._ending:
            self.end_writing()
        if self._closing and not self.transport.is_closing():
            self.transport.close()

    @property
    def unsent_bytes(self) -> int:
        """Return how many written bytes the socket has not taken."""
        if self._lost:
            return 0
        return self._unsent_bytes + self.transport.get_write_buffer_size()

    @property
    def sent_bytes(self) -> int:
        """Return how many written bytes the socket has taken."""
        return self._written_bytes - self.unsent_bytes

    @property
    def needs_drain(self) -> bool:
        """Return whether to await `async_drain` before writing more."""
        return self._paused_writing or bool(self._unsent)

    async def async_drain(self, timeout_s: float) -> None:
        """Wait until the write buffer has room; raise TimeoutError when it stays full.

        Raises ConnectionResetError when the connection is lost.
        """
        if self.needs_drain and not self._lost:
            self._write_waiter = self._loop.create_future()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._write_waiter
            finally:
                self._write_waiter = None
        if self._lost:
            raise ConnectionResetError("the connection is closed")

    @property
    def has_unsent_output(self) -> bool:
        """Return whether the write buffer holds data."""
        return self.unsent_bytes > 0

    async def async_flush(self, timeout_s: float) -> None:
        """Wait until a closing socket has sent its data; drop that after a time-out."""
        try:
            async with asyncio.timeout(timeout_s):
                while not self._lost:
                    self._write_waiter = self._loop.create_future()
                    await self._write_waiter
        except TimeoutError:
            self.abort()
        finally:
            self._write_waiter = None

    @callback
    def end_writing(self) -> None:
        """Close the sending direction after buffered data, and continue reading."""
        self._ending = bool(self._unsent)
        if not self._unsent and not self._lost and self.transport.can_write_eof():
            self.transport.write_eof()

    @callback
    def close(self) -> None:
        """Close the socket after sending buffered data."""
        if self._closing:
            return
        self._closing = True
        if not self._unsent:
            self.transport.close()

    @callback
    def abort(self) -> None:
        """Close the socket without sending buffered data."""
        self._unsent.clear()
        self._unsent_bytes = 0
        self.transport.abort()


def write_parts(socket: SocketProtocol, parts: Iterable[bytes | None]) -> None:
    """Write the parts of a message, joined unless they are large."""
    kept = [part for part in parts if part]
    if sum(map(len, kept)) <= WRITE_SLICE_BYTES:
        kept = [b"".join(kept)]
    for part in kept:
        socket.write(part)
