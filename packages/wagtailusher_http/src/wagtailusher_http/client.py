"""HTTP client with a connection pool per address."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Callable
from contextlib import aclosing
from dataclasses import replace
from http import HTTPStatus
import ssl
from typing import Self

import h11

from wagtailusher_core import callback
from wagtailusher_http.buffer_budget import AnswerBuffer, BufferBudget
from wagtailusher_http.client_connection import ClientConnection, Deliver, loop_now_ms
from wagtailusher_http.const import (
    DEFAULT_HEAD_TIMEOUT_MS,
    DEFAULT_SILENCE_TIMEOUT_MS,
    HELD_CHUNK_PAUSE_MS,
    KEEP_ALIVE_REUSE_SHARE,
    MAX_TINY_CHUNKS,
    MIN_CHUNK_BYTES,
    MS_PER_S,
    SURPLUS_WAIT_MS,
    ClientLimits,
)
from wagtailusher_http.exceptions import (
    AnswerMixedError,
    AnswerProtocolError,
    AnswerTooLargeError,
    AnswerTruncatedError,
    ConnectError,
    ReadTimeoutError,
    SendCancelledError,
    StaleConnectionError,
)
from wagtailusher_http.foreign_bytes import (
    StatesRequest,
    begins_response,
    contains_foreign_head,
    contains_response_head,
    may_end_within_head,
)
from wagtailusher_http.headers import Headers
from wagtailusher_http.matching import ResponseMatcher
from wagtailusher_http.response_heads import async_receive_response_head

_HOP_HEADERS = frozenset({"host", "content-length", "transfer-encoding", "connection"})

MaySend = Callable[[], bool]
OnIdleEnd = Callable[[str], None]
"""Takes the peer's `host:port`."""


class ClientAnswer:
    """A response whose head was received; the caller reads the body."""

    def __init__(
        self,
        client: HttpClient,
        connection: ClientConnection,
        head: h11.Response,
        states_request: StatesRequest,
    ) -> None:
        self._client = client
        self._states_request = states_request
        self._surplus = b""
        self._connection = connection
        self.status: int = head.status_code
        self.headers = Headers.from_raw(head.headers)
        connection.update_keep_alive(self.headers.get("keep-alive"))
        is_success = self.status < HTTPStatus.MULTIPLE_CHOICES
        connection.needs_whole_request = is_success and self.is_delimited_by_close
        self.connection_requests = connection.requests
        self.skipped_responses = connection.skipped_responses

    @property
    def is_delimited_by_close(self) -> bool:
        """Return whether the end of the connection is the only end of the body."""
        return "content-length" not in self.headers and "transfer-encoding" not in self.headers

    @property
    def _has_length(self) -> bool:
        return "content-length" in self.headers and "transfer-encoding" not in self.headers

    @property
    def surplus_bytes(self) -> int:
        """Return how many bytes arrived together with the end of the body, but behind it."""
        return len(self._surplus)

    def iter_chunks(
        self, silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS
    ) -> AsyncGenerator[bytes, None]:
        """Yield the body; raise AnswerError when it is incomplete or the read times out."""
        return self._connection.async_iter_body(silence_timeout_ms, self._return_connection)

    async def async_relay_body(
        self, deliver: Deliver, silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS
    ) -> bool:
        """Pass body chunks to `deliver` as they arrive; return True at the end of the body.

        `deliver` returns whether it accepts more data. When it returns False, so does this method;
        the caller then continues with another call or drops the body with `abort`. `deliver` runs
        in the event loop's read callback, so it must not block. Raises AnswerError when the body is
        incomplete or the read times out.
        """
        return await self._connection.async_relay_body(
            deliver, silence_timeout_ms, self._return_connection
        )

    @callback
    def _return_connection(self, connection: ClientConnection, is_complete: bool) -> None:
        """Keep what followed the body, and return the connection."""
        self._surplus = connection.surplus
        self._client.return_connection(connection, is_complete)

    async def async_read(
        self,
        silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS,
        *,
        max_bytes: int | None = None,
        timeout_ms: int | None = None,
    ) -> bytes:
        """Return the complete body, read within `timeout_ms` where given.

        Raises ReadTimeoutError after a time-out, AnswerMixedError if other bytes may be part of it,
        AnswerTooLargeError above `max_bytes` or the client's `max_answer_bytes`, or if it is the
        largest answer when all buffered ones exceed `max_buffered_bytes`. The connection is closed.
        """
        budget = self._client.budget
        max_answer_bytes = self._client.limits.max_answer_bytes
        max_bytes = max_answer_bytes if max_bytes is None else min(max_bytes, max_answer_bytes)
        buffer = budget.open_buffer(self._connection)
        is_whole = False
        try:
            async with (
                asyncio.timeout(None if timeout_ms is None else timeout_ms / MS_PER_S),
                aclosing(self._iter_held(silence_timeout_ms)) as chunks,
            ):
                await self._async_fill(buffer, chunks, max_bytes)
            # Without a length, the end of the connection is the end of the body.
            budget.check(buffer)
            body = buffer.content()
            await self._async_check_body(body, min(SURPLUS_WAIT_MS, silence_timeout_ms // 2))
            is_whole = True
            return body
        except AnswerTruncatedError:
            budget.check(buffer)
            raise
        except TimeoutError as err:
            raise ReadTimeoutError(
                f"{self._connection.address} sent no complete body for {timeout_ms} ms"
            ) from err
        finally:
            budget.release(buffer)
            self._return_connection(self._connection, is_whole)

    def _iter_held(self, silence_timeout_ms: int) -> AsyncGenerator[bytes, None]:
        """Yield the body and keep the connection."""
        return self._connection.async_iter_body(
            silence_timeout_ms, lambda *_: None, HELD_CHUNK_PAUSE_MS
        )

    async def _async_check_body(self, body: bytes, wait_ms: int) -> None:
        """Raise AnswerMixedError if bytes of another response may be part of a complete body.

        What follows a declared length and begins no response may be the end of other bytes that
        took the place of the body's rest. The end of a chunked body is not declared before it is
        reached, so what follows it tells nothing.
        """
        if self.is_delimited_by_close:
            is_mixed = contains_response_head(body)
        else:
            is_mixed = contains_foreign_head(body, self._states_request)
        if self._has_length and not is_mixed:
            if may_end_within_head(body):
                await self._connection.async_read_surplus(wait_ms)
            is_mixed = not begins_response(self._connection.surplus)
        if is_mixed:
            raise AnswerMixedError(f"{self._connection.address} sent other bytes within its answer")

    async def _async_fill(
        self, buffer: AnswerBuffer, chunks: AsyncIterator[bytes], max_bytes: int
    ) -> None:
        """Add the chunks of the body to a buffer."""
        async for chunk in chunks:
            size_bytes = buffer.size_bytes + len(chunk)
            if self._connection.chunk_count > MAX_TINY_CHUNKS + size_bytes // MIN_CHUNK_BYTES:
                raise AnswerProtocolError(f"{self._connection.address} sent too many tiny chunks")
            if size_bytes > max_bytes:
                raise AnswerTooLargeError(
                    f"the answer of {self._connection.address} exceeds the allowed size"
                )
            self._client.budget.append(buffer, chunk)

    @callback
    def prevent_reuse(self) -> None:
        """Close the connection after this exchange, as it may bring bytes of another one."""
        self._connection.prevent_reuse()

    @callback
    def abort(self) -> None:
        """Abort the exchange and close its connection."""
        self._connection.abort()


class HttpClient:
    """Sends requests; keeps idle connections for a limited time, reused last-in first-out."""

    def __init__(
        self,
        limits: ClientLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
        on_idle_end: OnIdleEnd | None = None,
    ) -> None:
        """Call `on_idle_end` when a peer closes an idle connection earlier than it announced."""
        self.limits = limits or ClientLimits()
        self.budget = BufferBudget(self.limits.max_buffered_bytes)
        self._ssl_context = ssl_context
        self._on_idle_end = on_idle_end
        self._idle: dict[str, list[ClientConnection]] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *args: object) -> None:
        self.close()

    async def async_request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        *,
        may_send: MaySend | None = None,
        new_connection: bool = False,
        head_timeout_ms: int = DEFAULT_HEAD_TIMEOUT_MS,
        host: str | None = None,
        matches_request: ResponseMatcher | None = None,
        states_request: StatesRequest = lambda headers: False,
        unmatched_timeout_ms: int | None = None,
    ) -> ClientAnswer:
        """Send a request to `host:port` and return the response once its head is received.

        `may_send` runs right before the first byte; False raises SendCancelledError, with nothing
        sent. `new_connection` bypasses the pool, `host` replaces the address as the Host header.
        Responses that `matches_request` rejects are skipped, a few within `unmatched_timeout_ms`.
        `states_request` tells another response within the body from a quoted one. Raises
        ConnectError if nothing was sent, AnswerError if part of it may have been.
        """
        head = _request_head(method, target, host or address, headers, body)
        connection = await self._async_get_connection(address, new_connection=new_connection)
        try:
            if may_send is not None and not may_send():
                raise SendCancelledError(f"request to {address} was cancelled before it was sent")
            await connection.async_send(head, body)
            answer_head = await async_receive_response_head(
                connection, method, matches_request, head_timeout_ms, unmatched_timeout_ms
            )
        except BaseException as err:
            connection.abort()
            if isinstance(err, AnswerTruncatedError) and connection.may_be_stale:
                raise StaleConnectionError(err.message) from err
            raise
        return ClientAnswer(self, connection, answer_head, states_request)

    async def async_is_refused(self, address: str) -> bool:
        """Return whether a connection is refused, as happens while no process listens."""
        try:
            connection = await ClientConnection.async_open(address, self.limits, self._ssl_context)
        except ConnectError as err:
            return isinstance(err.__cause__, ConnectionRefusedError)
        connection.close()
        return False

    async def async_is_answered(self, address: str, timeout_ms: int) -> bool:
        """Return whether an address accepts a connection in time."""
        limits = replace(self.limits, connect_timeout_ms=timeout_ms)
        try:
            connection = await ClientConnection.async_open(address, limits, self._ssl_context)
        except ConnectError:
            return False
        connection.close()
        return True

    @callback
    def drop_idle(self, address: str) -> None:
        """Close the idle connections to an address, which may lead to a host that is gone."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    async def _async_get_connection(
        self, address: str, *, new_connection: bool
    ) -> ClientConnection:
        """Return an idle connection or a new one."""
        # A disconnect of the caller that is already in its socket cancels the request here.
        await asyncio.sleep(0)
        connection = None if new_connection else self._pop_idle(address)
        return connection or await ClientConnection.async_open(
            address, self.limits, self._ssl_context
        )

    def _pop_idle(self, address: str) -> ClientConnection | None:
        """Return an open connection within its idle time, closing the others tried."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            age_ms = loop_now_ms() - connection.idle_since_ms
            if connection.is_reusable and age_ms <= self._max_idle_ms(connection):
                connection.start_next_cycle()
                return connection
            connection.close()
        return None

    def _max_idle_ms(self, connection: ClientConnection) -> float:
        """Return the longest idle time after which a connection is reused."""
        peer_keep_alive_ms = connection.keep_alive_ms
        if peer_keep_alive_ms is None:
            return self.limits.max_idle_age_ms
        return min(self.limits.max_idle_age_ms, peer_keep_alive_ms * KEEP_ALIVE_REUSE_SHARE)

    @callback
    def return_connection(self, connection: ClientConnection, is_complete: bool) -> None:
        """Return a connection to the pool, or drop it when its exchange was incomplete."""
        if not is_complete or connection.has_unsent_request:
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, [])
        idle[:] = [other for other in idle if other.is_reusable]
        if not connection.is_reusable or len(idle) >= self.limits.idle_per_address:
            connection.close()
            return
        connection.idle_since_ms = loop_now_ms()
        connection.start_idle(lambda: self._handle_idle_end(connection))
        idle.append(connection)

    @callback
    def _handle_idle_end(self, connection: ClientConnection) -> None:
        """Drop an idle connection that the peer closed."""
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        connection.close()
        keep_alive_ms = connection.keep_alive_ms
        age_ms = loop_now_ms() - connection.idle_since_ms
        is_announced = (
            keep_alive_ms is not None and age_ms >= keep_alive_ms * KEEP_ALIVE_REUSE_SHARE
        )
        if self._on_idle_end is not None and not is_announced:
            self._on_idle_end(connection.address)

    @callback
    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


def _request_head(
    method: str, target: str, host: str, headers: Headers | None, body: bytes
) -> h11.Request:
    """Return the head of a request with Host and Content-Length set for this connection."""
    kept = headers.without(_HOP_HEADERS).raw if headers is not None else []
    fields = [(b"host", host.encode("latin-1")), *kept]
    if body:
        fields.append((b"content-length", str(len(body)).encode("ascii")))
    return h11.Request(method=method, target=target, headers=fields)
