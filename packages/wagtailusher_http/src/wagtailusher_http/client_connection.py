"""A client connection to an endpoint or peer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable
import re
import ssl
from time import thread_time

import h11

from wagtailusher_core import callback
from wagtailusher_http.const import (
    CHUNK_FRAME_BYTES,
    CHUNK_PAUSE_MS,
    MAX_FULL_TURNS,
    MAX_INFORMATIONAL_RESPONSES,
    MAX_SKIPPED_BYTES,
    MAX_STATUS,
    MS_PER_S,
    SKIP_TIMEOUT_MS,
    ClientLimits,
)
from wagtailusher_http.exceptions import (
    AnswerError,
    AnswerProtocolError,
    AnswerTruncatedError,
    ConnectError,
    ReadTimeoutError,
)
from wagtailusher_http.foreign_bytes import EMPTY_LINES
from wagtailusher_http.socket_protocol import SocketProtocol, write_parts
from wagtailusher_http.tcp_keepalive import set_tcp_keepalive
from wagtailusher_http.turns import is_turn_used_up

_CHUNK_END = b"\r\n"
_KEEP_ALIVE = re.compile(r"timeout=(\d{1,6})")


ReturnConnection = Callable[["ClientConnection", bool], None]
Deliver = Callable[[bytes], bool]


class ClientConnection:
    """Owns a socket and carries one exchange at a time."""

    def __init__(self, address: str, socket: SocketProtocol, limits: ClientLimits) -> None:
        """Use a connected socket; `address` is the peer's `host:port`."""
        self.address = address
        self.idle_since_ms = 0
        self.requests = 0
        self.may_be_stale = False
        self.skipped_responses = 0
        self._is_reuse_prevented = False
        self.needs_whole_request = False  # A body that ends earlier has been broken off.
        self._socket = socket
        self._received_bytes = 0
        self._is_turn_full = False
        self._full_turns = 0
        self.chunk_count = 0
        """Chunks of the current response's body."""
        self.surplus = b""
        """Bytes received behind the declared end of the current response's body."""
        self._keep_alive_ms: int | None = None
        self._limits = limits
        self._http = self._new_state()

    def _new_state(self) -> h11.Connection:
        """Return the h11 state of a connection without any exchange."""
        return h11.Connection(h11.CLIENT, max_incomplete_event_size=self._limits.max_head_bytes)

    @classmethod
    async def async_open(
        cls, address: str, limits: ClientLimits, ssl_context: ssl.SSLContext | None
    ) -> ClientConnection:
        """Connect to `host:port`; raise ConnectError when that fails."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(limits.connect_timeout_ms / MS_PER_S):
                transport, socket = await asyncio.get_running_loop().create_connection(
                    SocketProtocol, host, int(port), ssl=ssl_context
                )
            set_tcp_keepalive(transport.get_extra_info("socket"), limits)
        except (OSError, OverflowError, ValueError) as err:
            raise ConnectError(f"cannot connect to {address}: {err}") from err
        return cls(address, socket, limits)

    @property
    def keep_alive_ms(self) -> int | None:
        """Return the timeout of the peer's last Keep-Alive header, or None."""
        return self._keep_alive_ms

    def update_keep_alive(self, value: str | None) -> None:
        """Store the timeout from the value of a Keep-Alive header."""
        match = _KEEP_ALIVE.search(value) if value else None
        self._keep_alive_ms = int(match[1]) * MS_PER_S if match else None

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can carry another exchange."""
        if self._is_reuse_prevented or self.skipped_responses or self.has_unsent_request:
            return False
        if self._socket.is_ended or self._socket.has_unread_input or self._http.trailing_data[0]:
            return False
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    @property
    def has_unsent_request(self) -> bool:
        """Return whether a part of the request has not been sent."""
        return self._socket.has_unsent_output

    @callback
    def prevent_reuse(self) -> None:
        """Close the connection after its current exchange."""
        self._is_reuse_prevented = True

    @callback
    def start_next_cycle(self) -> None:
        """Reset the protocol state for another exchange."""
        self._socket.on_data = None
        self._socket.on_end = None
        self._full_turns = 0
        self.chunk_count = 0
        self.surplus = b""
        self._http.start_next_cycle()

    @callback
    def start_idle(self, on_end: Callable[[], None]) -> None:
        """Abort the connection if the peer sends anything before the next exchange.

        `on_end` is called if the peer closes it before that.
        """
        self._socket.on_data = self._drop_unexpected
        self._socket.on_end = on_end

    @callback
    def _drop_unexpected(self, unread_bytes: int) -> None:
        """Free the bytes that belong to no exchange, and abort the connection."""
        self._socket.read_buffered()
        self.abort()

    @callback
    def close(self) -> None:
        """Close the socket; an unfinished exchange is aborted."""
        self._socket.on_end = None
        self._socket.close()

    @callback
    def abort(self) -> None:
        """Close the socket without sending buffered data."""
        self._socket.on_end = None
        self._socket.abort()

    async def async_send(self, head: h11.Request, body: bytes) -> None:
        """Send a complete request; raise AnswerError on failure."""
        self.requests += 1
        self.may_be_stale = self.requests > 1
        parts = [self._http.send(head)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        try:
            write_parts(self._socket, parts)
            if not self._limits.read_response_while_sending:
                await self._socket.async_drain(self._limits.send_timeout_ms / MS_PER_S)
        except (OSError, TimeoutError) as err:
            raise AnswerError(f"sending the request to {self.address} failed: {err}") from err

    async def async_receive_head(self, timeout_ms: int) -> h11.Response:
        """Return the response head, received completely within the time-out.

        Skips MAX_INFORMATIONAL_RESPONSES at most.
        """
        started_ms = loop_now_ms()
        left_ms = timeout_ms
        informational = 0
        while informational <= MAX_INFORMATIONAL_RESPONSES:
            event = self._next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise AnswerProtocolError(f"{self.address} sent status {event.status_code}")
                return event
            if event is h11.NEED_DATA:
                if left_ms <= 0:
                    raise self._read_timeout_error(timeout_ms, "no complete response head")
                await self._async_read(left_ms)
                left_ms = started_ms + timeout_ms - loop_now_ms()
            elif isinstance(event, h11.InformationalResponse):
                informational += 1
            else:
                raise AnswerTruncatedError(
                    f"{self.address} closed the connection before its response"
                )
        raise AnswerProtocolError(f"{self.address} sent only informational responses")

    async def async_skip_answer(self, method: str, timeout_ms: int) -> None:
        """Discard the body of an unmatched response and expect another response after it.

        Raises AnswerError when the body is larger than MAX_SKIPPED_BYTES, or takes longer than the
        time-out or SKIP_TIMEOUT_MS.
        """
        self.skipped_responses += 1
        timeout_ms = min(timeout_ms, SKIP_TIMEOUT_MS)
        skipped_bytes = 0
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                async for chunk in self.async_iter_body(timeout_ms, lambda *_: None):
                    skipped_bytes += len(chunk)
                    if skipped_bytes > MAX_SKIPPED_BYTES:
                        raise AnswerProtocolError(
                            f"{self.address} sent a long response to another request"
                        )
        except TimeoutError as err:
            raise self._read_timeout_error(timeout_ms, "no end of another response") from err
        unparsed, _ = self._http.trailing_data
        self._http = self._new_state()
        self._http.send(h11.Request(method=method, target="*", headers=[(b"host", b"-")]))
        self._http.send(h11.EndOfMessage())
        if unparsed:
            self._feed_parser(unparsed)

    async def async_read_surplus(self, timeout_ms: int) -> None:
        """Wait for bytes behind the declared end of the body other than line ends."""
        ends_ms = loop_now_ms() + timeout_ms
        while not self.surplus.strip(EMPTY_LINES) and (left_ms := ends_ms - loop_now_ms()) > 0:
            try:
                data = await self._socket.async_read(left_ms / MS_PER_S)
            except (TimeoutError, OSError):
                return
            if not data:
                return
            self.surplus += data
            self.prevent_reuse()

    async def async_iter_body(
        self,
        silence_timeout_ms: int,
        return_connection: ReturnConnection,
        pause_ms: int = CHUNK_PAUSE_MS,
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body, joining data received together; return the connection at the end.

        `pause_ms` follows each full turn of a peer that sends ever more chunks.
        """
        ended = False
        try:
            while not ended:
                chunks, ended = self._parse_body()
                if chunks:
                    yield chunks[0] if len(chunks) == 1 else b"".join(chunks)
                if self._is_turn_full:
                    await self._async_end_turn(pause_ms)
                elif not ended:
                    await self._async_read(silence_timeout_ms)
        finally:
            return_connection(self, ended)

    async def async_relay_body(
        self, deliver: Deliver, silence_timeout_ms: int, return_connection: ReturnConnection
    ) -> bool:
        """Pass body chunks to `deliver`; return True at the end, False when it pauses.

        After a pause, another call continues with the body and `abort` drops it.
        """
        is_paused = False
        ended = False
        try:
            result = self._relay_parsed(deliver)
            while result is None:
                if self._is_turn_full:
                    await self._async_end_turn(CHUNK_PAUSE_MS)
                    result = self._relay_parsed(deliver)
                elif self._socket.has_unread_input:
                    result = self._relay_received(deliver)
                else:
                    result = await self._async_relay_incoming(deliver, silence_timeout_ms)
            ended = result
            is_paused = not ended
        finally:
            if not is_paused:
                return_connection(self, ended)
        return ended

    async def _async_end_turn(self, pause_ms: int) -> None:
        """Let the event loop run other tasks, and pause if the peer sends ever more chunks."""
        self._is_turn_full = False
        self._full_turns += 1
        is_flood = self._full_turns > MAX_FULL_TURNS
        await asyncio.sleep(pause_ms / MS_PER_S if is_flood else 0)

    async def _async_relay_incoming(self, deliver: Deliver, silence_timeout_ms: int) -> bool | None:
        """Relay body data as the socket receives it; return None at the end of a full turn."""

        def listener() -> bool | None:
            result = self._relay_received(deliver)
            return False if result is None and self._is_turn_full else result

        try:
            result = await self._socket.async_listen(listener, silence_timeout_ms / MS_PER_S)
            return None if self._is_turn_full else result
        except TimeoutError as err:
            raise self._read_timeout_error(silence_timeout_ms) from err

    def _relay_received(self, deliver: Deliver) -> bool | None:
        """Parse the buffered input and relay its body data."""
        data = self._socket.read_buffered()
        if not data and self._socket.error is not None:
            raise self._connection_lost_error(self._socket.error)
        self._feed_parser(data)
        return self._relay_parsed(deliver)

    def _relay_parsed(self, deliver: Deliver) -> bool | None:
        """Relay parsed data; return None to continue, else whether the body is complete."""
        chunks, ended = self._parse_body()
        accepts_more = True
        if chunks:
            accepts_more = deliver(chunks[0] if len(chunks) == 1 else b"".join(chunks))
        if ended:
            return True
        if accepts_more:
            return None
        self._is_turn_full = False
        return False

    def _parse_body(self) -> tuple[list[bytes], bool]:
        """Parse the received data; return its body chunks and whether the body is complete.

        `_is_turn_full` is set when the turn was used up and more data may follow.
        """
        chunks: list[bytes] = []
        started_s = thread_time()
        while True:
            if is_turn_used_up(len(chunks), started_s):
                self._is_turn_full = True
                return chunks, False
            event = self._next_event()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                self.chunk_count += 1
                if self._is_input_exhausted(event):
                    return chunks, False
            elif isinstance(event, h11.EndOfMessage):
                if self.needs_whole_request and self.has_unsent_request:
                    raise AnswerTruncatedError(f"{self.address} ended before it had the request")
                self.surplus = bytes(self._http.trailing_data[0])
                return chunks, True
            elif event is h11.NEED_DATA:
                return chunks, False
            else:
                raise AnswerTruncatedError(
                    f"{self.address} closed the connection within its response"
                )

    def _is_input_exhausted(self, event: h11.Data) -> bool:
        """Return whether only the terminator of this chunk is left to parse."""
        if not event.chunk_end or self._received_bytes > len(event.data) + CHUNK_FRAME_BYTES:
            return False
        return self._http.trailing_data[0] == _CHUNK_END

    def _next_event(self) -> object:
        """Return the parser's next event; raise AnswerError for invalid or truncated input."""
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as err:
            if self._socket.is_eof:
                raise AnswerTruncatedError(
                    f"{self.address} closed the connection within its response"
                ) from err
            raise AnswerProtocolError(f"{self.address} sent invalid HTTP: {err}") from err

    async def _async_read(self, timeout_ms: int) -> None:
        """Read and parse available data; raise ReadTimeoutError when none arrives."""
        try:
            data = await self._socket.async_read(timeout_ms / MS_PER_S)
        except TimeoutError as err:
            raise self._read_timeout_error(timeout_ms) from err
        except OSError as err:
            raise self._connection_lost_error(err) from err
        self._feed_parser(data)

    def _feed_parser(self, data: bytes) -> None:
        """Pass data to the parser; empty data means end of stream."""
        self._received_bytes = len(data)
        self.may_be_stale &= not data
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as err:
            raise AnswerProtocolError(f"{self.address} sent invalid HTTP: {err}") from err

    def _read_timeout_error(self, timeout_ms: int, what: str = "no data") -> ReadTimeoutError:
        return ReadTimeoutError(f"{self.address} sent {what} for {timeout_ms} ms")

    def _connection_lost_error(self, err: OSError) -> AnswerTruncatedError:
        return AnswerTruncatedError(f"connection to {self.address} was lost: {err}")


def loop_now_ms() -> int:
    """Return the event loop's time in milliseconds."""
    return int(asyncio.get_running_loop().time() * MS_PER_S)
