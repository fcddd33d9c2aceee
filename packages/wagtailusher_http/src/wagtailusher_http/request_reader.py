"""Reads the requests of one caller's connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from time import thread_time

import h11

from wagtailusher_core import Outcome, callback
from wagtailusher_http.body_buffer import BodyBuffer
from wagtailusher_http.const import HELD_CHUNK_PAUSE_MS, MAX_FULL_TURNS, MS_PER_S, HttpLimits
from wagtailusher_http.exceptions import BodyTooLargeError, RequestTimeoutError
from wagtailusher_http.headers import Headers
from wagtailusher_http.messages import Request
from wagtailusher_http.socket_protocol import SocketProtocol
from wagtailusher_http.turns import is_turn_used_up

GetRefusalOutcome = Callable[[Headers], Outcome]
"""Returns the outcome reported for a request refused before its handler is called."""


class RequestReader:
    """Reads requests in sequence; `on_growth` is called when more is held than before."""

    def __init__(
        self,
        socket: SocketProtocol,
        http: h11.Connection,
        limits: HttpLimits,
        get_refusal_outcome: GetRefusalOutcome,
        on_growth: Callable[[], None],
        flood_lane: asyncio.Lock,
    ) -> None:
        """`flood_lane` is held while a body of very many chunks is parsed."""
        self._socket = socket
        self._http = http
        self.limits = limits
        self._get_refusal_outcome = get_refusal_outcome
        self._on_growth = on_growth
        self._flood_lane = flood_lane
        self._body = BodyBuffer()
        self._parser_bytes = 0
        """Bytes that the parser holds at most."""
        self._is_dropped = False
        self.refused_outcome = Outcome.NOT_RUN
        self.is_receiving = False
        """Whether a part of a request has arrived."""

    @property
    def input_bytes(self) -> int:
        """Return how many received bytes are not yet part of a request."""
        return self._parser_bytes + self._socket.unread_bytes

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for a request that is not complete, and what follows it."""
        return self.input_bytes + self._body.size_bytes

    @callback
    def drop(self) -> None:
        """Free the received part of the request; its task is about to be cancelled."""
        self._is_dropped = True
        self._body.drop()
        self._socket.read_buffered()

    async def async_receive(self, peer: str) -> Request | None:
        """Return the next complete request, or None when the caller closed the connection."""
        try:
            return await self._async_receive(peer)
        finally:
            self.is_receiving = False
            self._body.drop()

    async def _async_receive(self, peer: str) -> Request | None:
        self.refused_outcome = Outcome.NOT_RUN
        head = await self._async_receive_head()
        if head is None:
            return None
        headers = Headers.from_raw(head.headers)
        self.refused_outcome = self._get_refusal_outcome(headers)
        if "transfer-encoding" in headers and "content-length" in headers:
            raise h11.RemoteProtocolError("request has both Transfer-Encoding and Content-Length")
        try:
            async with asyncio.timeout(self.limits.receive_timeout_ms / MS_PER_S):
                body = await self._async_receive_body()
        except TimeoutError as err:
            raise RequestTimeoutError("request body was not received in time") from err
        if body is None:
            return None
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=headers,
            body=body,
            peer=peer,
        )

    async def _async_receive_head(self) -> h11.Request | None:
        """Return a request's head, or None when the connection closed or idled too long."""
        try:
            async with asyncio.timeout(self.limits.idle_timeout_ms / MS_PER_S):
                while (event := self._next_event()) is h11.NEED_DATA:
                    await self._async_feed()
        except TimeoutError:
            return None
        return event if isinstance(event, h11.Request) else None

    async def _async_receive_body(self) -> bytes | None:
        """Return a body up to the limit, or None when the caller disconnects before its end.

        Many small chunks are parsed in turns, with a pause between the turns of all such bodies.
        """
        if self._http.they_are_waiting_for_100_continue:
            going_on = h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
            self._socket.write(self._http.send(going_on) or b"")
        full_turns = 0
        while True:
            result = self._parse_body()
            if isinstance(result, bytes):
                return result
            if result is h11.NEED_DATA:
                self._parser_bytes = 0
                await self._async_feed()
            elif result is h11.PAUSED:
                full_turns += 1
                await self._async_end_turn(is_flood=full_turns > MAX_FULL_TURNS)
            else:
                return None

    def _parse_body(self) -> bytes | type[h11.NEED_DATA] | type[h11.PAUSED] | None:
        """Parse what has arrived; return the complete body, or None without one.

        Returns NEED_DATA if more must arrive, and PAUSED if other tasks are to run first.
        """
        chunk_count = 0
        started_s = thread_time()
        while not is_turn_used_up(chunk_count, started_s):
            event = self._next_event()
            if event is h11.NEED_DATA:
                return h11.NEED_DATA
            if isinstance(event, h11.EndOfMessage):
                self._parser_bytes = len(self._http.trailing_data[0])
                return self._body.content()
            if not isinstance(event, h11.Data):
                return None
            chunk_count += 1
            self._add(event.data)
        return h11.PAUSED

    def _add(self, data: bytes | bytearray) -> None:
        """Add a part of the body; raise BodyTooLargeError above the limit."""
        if self._body.size_bytes + len(data) > self.limits.max_body_bytes:
            raise BodyTooLargeError(f"request body exceeds {self.limits.max_body_bytes} bytes")
        if not self._is_dropped:
            self._body.append(data)

    async def _async_end_turn(self, *, is_flood: bool) -> None:
        """Let other tasks run; bodies of very many chunks wait for each other, too."""
        self._on_growth()
        if not is_flood:
            await asyncio.sleep(0)
            return
        async with self._flood_lane:
            await asyncio.sleep(HELD_CHUNK_PAUSE_MS / MS_PER_S)

    def _next_event(self) -> object:
        """Return the parser's next event."""
        event = self._http.next_event()
        if event is not h11.NEED_DATA:
            self.is_receiving = isinstance(event, h11.Request | h11.Data)
        return event

    async def _async_feed(self) -> None:
        """Pass available data to the parser, waiting for some."""
        data = await self._socket.async_read()
        self.is_receiving = bool(data)
        self._parser_bytes += len(data)
        self._http.receive_data(data)
        self._on_growth()
        if self._is_dropped:
            await asyncio.sleep(0)  # The cancellation arrives here, before the rest is parsed.
