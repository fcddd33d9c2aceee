"""One connection to an endpoint or peer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
import re
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)
import ssl
from typing import Any

import h11

from wagtailusher_core import callback
from wagtailusher_http.const import CHUNK_FRAME_BYTES, MS_PER_S, ClientLimits
from wagtailusher_http.exceptions import (
    AnswerError,
    AnswerProtocolError,
    AnswerTruncatedError,
    ConnectError,
    ReadTimeoutError,
)
from wagtailusher_http.socket_protocol import SocketProtocol

_CHUNK_END = b"\r\n"
_KEEP_ALIVE = re.compile(r"timeout=(\d{1,6})")


Release = Callable[["ClientConnection", bool], None]
Deliver = Callable[[bytes], bool]


class ClientConnection:
    """Owns a socket and carries one exchange at a time."""

    def __init__(self, address: str, socket: SocketProtocol, limits: ClientLimits) -> None:
        """Take over a connected socket."""
        self.address = address
        self.idle_since_ms = 0
        self._socket = socket
        self._received_bytes = 0
        self._keep_alive_ms: int | None = None
        self._limits = limits
        self._http = self._new_state()

    def _new_state(self) -> h11.Connection:
        """Return fresh protocol state."""
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
            _watch_path(transport.get_extra_info("socket"), limits)
        except (OSError, ValueError) as err:
            raise ConnectError(f"no connection to {address}: {err}") from err
        return cls(address, socket, limits)

    @property
    def keep_alive_ms(self) -> int | None:
        """Return how long the other side keeps an idle connection, if it said so."""
        return self._keep_alive_ms

    def note_keep_alive(self, value: str | None) -> None:
        """Take the field in which the other side states how long it keeps the connection."""
        found = _KEEP_ALIVE.search(value) if value else None
        self._keep_alive_ms = int(found[1]) * MS_PER_S if found else None

    @property
    def is_reusable(self) -> bool:
        """Tell whether another exchange may follow on this connection."""
        if self._socket.is_ended or self._socket.has_news or self._http.trailing_data[0]:
            return False
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    @callback
    def start_next_cycle(self) -> None:
        """Prepare for another exchange."""
        self._http.start_next_cycle()

    @callback
    def close(self) -> None:
        """Close the socket; an unfinished exchange is broken off."""
        self._socket.close()

    @callback
    def abort(self) -> None:
        """Drop the socket at once."""
        self._socket.abort()

    async def async_send(self, head: h11.Request, body: bytes) -> None:
        """Send a whole request."""
        parts = [self._http.send(head)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        try:
            self._socket.write(b"".join(part for part in parts if part))
            if not self._limits.read_response_while_sending:
                await self._socket.async_drain(self._limits.send_timeout_ms / MS_PER_S)
        except (OSError, TimeoutError) as err:
            raise AnswerError(f"sending to {self.address} failed: {err}") from err

    async def async_receive_head(self, timeout_ms: int) -> h11.Response:
        """Read the answer's head."""
        while True:
            event = self._next_event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                await self._async_read(timeout_ms)
            elif not isinstance(event, h11.InformationalResponse):
                raise AnswerTruncatedError(f"{self.address} closed before its answer")

    async def async_skip_answer(self, method: str, timeout_ms: int) -> None:
        """Read the rest of an answer to another request, and expect the own one after it."""
        async for _ in self.async_iter_body(timeout_ms, lambda *_: None):
            pass
        arrived, _ = self._http.trailing_data
        self._http = self._new_state()
        self._http.send(h11.Request(method=method, target="*", headers=[(b"host", b"-")]))
        self._http.send(h11.EndOfMessage())
        if arrived:
            self._receive(arrived)

    async def async_iter_body(
        self, silence_timeout_ms: int, release: Release
    ) -> AsyncIterator[bytes]:
        """Yield the body, data that arrived together joined; release the connection at its end."""
        ended = False
        try:
            while not ended:
                pieces, ended = self._take_pieces()
                if pieces:
                    yield pieces[0] if len(pieces) == 1 else b"".join(pieces)
                if not ended:
                    await self._async_read(silence_timeout_ms)
        finally:
            release(self, ended)

    async def async_relay_body(
        self, deliver: Deliver, silence_timeout_ms: int, release: Release
    ) -> bool:
        """Hand the body on as it arrives; return True at its end, False when told to pause.

        After a pause the body goes on with the next call, or is given up with `abort`.
        """
        going_on = False
        ended = False
        try:
            found = self._pump_at_hand(deliver)
            while found is None and self._socket.has_news:
                found = self._pump_arrived(deliver)
            if found is None:
                found = await self._async_listen(deliver, silence_timeout_ms)
            ended = found
            going_on = not ended
        finally:
            if not going_on:
                release(self, ended)
        return ended

    async def _async_listen(self, deliver: Deliver, silence_timeout_ms: int) -> bool:
        """Hand on what arrives."""
        try:
            return await self._socket.async_listen(
                lambda: self._pump_arrived(deliver), silence_timeout_ms / MS_PER_S
            )
        except TimeoutError as err:
            raise self._silent(silence_timeout_ms) from err

    def _pump_arrived(self, deliver: Deliver) -> bool | None:
        """Parse what arrived and hand it on."""
        data = self._socket.take()
        if not data and self._socket.error is not None:
            raise self._broken(self._socket.error)
        self._receive(data)
        return self._pump_at_hand(deliver)

    def _pump_at_hand(self, deliver: Deliver) -> bool | None:
        """Hand on what is parsed; return None to go on, else whether the body is whole."""
        pieces, ended = self._take_pieces()
        may_go_on = True
        if pieces:
            may_go_on = deliver(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        if ended:
            return True
        return None if may_go_on else False

    def _take_pieces(self) -> tuple[list[bytes], bool]:
        """Return the parsed body data at hand and whether the answer is whole."""
        pieces: list[bytes] = []
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                if self._is_alone(event):
                    return pieces, False
            elif isinstance(event, h11.EndOfMessage):
                return pieces, True
            elif event is h11.NEED_DATA:
                return pieces, False
            else:
                raise AnswerTruncatedError(f"{self.address} closed within its answer")

    def _is_alone(self, event: h11.Data) -> bool:
        """Tell whether nothing but the end of this chunk is left to parse."""
        if not event.chunk_end or self._received_bytes > len(event.data) + CHUNK_FRAME_BYTES:
            return False
        return self._http.trailing_data[0] == _CHUNK_END

    def _next_event(self) -> object:
        """Return the parser's next event."""
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as err:
            if self._socket.is_eof:
                raise AnswerTruncatedError(f"{self.address} closed within its answer") from err
            raise AnswerProtocolError(f"{self.address} broke the protocol: {err}") from err

    async def _async_read(self, timeout_ms: int) -> None:
        """Read what there is; raise ReadTimeoutError when nothing comes."""
        try:
            data = await self._socket.async_read(timeout_ms / MS_PER_S)
        except TimeoutError as err:
            raise self._silent(timeout_ms) from err
        except OSError as err:
            raise self._broken(err) from err
        self._receive(data)

    def _receive(self, data: bytes) -> None:
        """Give data to the parser; none is the end."""
        self._received_bytes = len(data)
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as err:
            raise AnswerProtocolError(f"{self.address} broke the protocol: {err}") from err

    def _silent(self, timeout_ms: int) -> ReadTimeoutError:
        """Return the error of a silent connection."""
        return ReadTimeoutError(f"{self.address} was silent for {timeout_ms} ms")

    def _broken(self, err: OSError) -> AnswerTruncatedError:
        """Return the error of a broken connection."""
        return AnswerTruncatedError(f"connection to {self.address} broke: {err}")


def _watch_path(socket: Any, limits: ClientLimits) -> None:
    """Let the kernel find out that the other side became unreachable."""
    if socket is None or limits.keepalive_idle_s is None:
        return
    socket.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, limits.keepalive_idle_s)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, limits.keepalive_idle_s)
    socket.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, limits.keepalive_probes)
    socket.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, limits.tcp_user_timeout_ms)
