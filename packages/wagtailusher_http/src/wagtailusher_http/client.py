"""The calling side: requests over fresh or pooled connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
import ssl
from typing import Self

import h11

from wagtailusher_core import callback
from wagtailusher_http.client_connection import ClientConnection, Deliver
from wagtailusher_http.const import (
    DEFAULT_HEAD_TIMEOUT_MS,
    DEFAULT_SILENCE_TIMEOUT_MS,
    KEEP_ALIVE_SHARE,
    MAX_STRAY_ANSWERS,
    MS_PER_S,
    ClientLimits,
)
from wagtailusher_http.exceptions import AnswerProtocolError, BodyTooLargeError, SendCancelledError
from wagtailusher_http.headers import Headers

_HOP_HEADERS = frozenset({"host", "content-length", "transfer-encoding", "connection"})

MaySend = Callable[[], bool]
IsOwn = Callable[[Headers], bool]
"""Tells by its head whether an answer is to the request that was sent."""


class ClientAnswer:
    """An answer whose head has arrived; its body is read by its owner."""

    def __init__(
        self, client: HttpClient, connection: ClientConnection, head: h11.Response
    ) -> None:
        """Wrap a connection on which a head was read."""
        self._client = client
        self._connection = connection
        self.status: int = head.status_code
        self.headers = Headers.from_raw(head.headers)

    def iter_chunks(
        self, silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS
    ) -> AsyncIterator[bytes]:
        """Yield the body; raise AnswerError when it breaks or goes silent."""
        return self._connection.async_iter_body(silence_timeout_ms, self._client.release)

    async def async_relay_body(
        self, deliver: Deliver, silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS
    ) -> bool:
        """Hand the body on as it arrives; return True at its end.

        `deliver` returns whether it takes more; when it doesn't, False is returned, and the body
        goes on with the next call or is given up with `abort`. It must not wait, and it is called
        within the event loop's own reading. Raises AnswerError when the body breaks or goes silent.
        """
        return await self._connection.async_relay_body(
            deliver, silence_timeout_ms, self._client.release
        )

    async def async_read(self, silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS) -> bytes:
        """Return the whole body."""
        chunks: list[bytes] = []
        size = 0
        async for chunk in self.iter_chunks(silence_timeout_ms):
            size += len(chunk)
            if size > self._client.limits.max_answer_bytes:
                raise BodyTooLargeError("the answer is larger than allowed")
            chunks.append(chunk)
        return b"".join(chunks)

    @callback
    def abort(self) -> None:
        """Break the exchange off."""
        self._connection.abort()


class HttpClient:
    """Sends requests; idle connections are kept for a while and used last-in first-out."""

    def __init__(
        self, limits: ClientLimits | None = None, ssl_context: ssl.SSLContext | None = None
    ) -> None:
        """Start with no connection."""
        self.limits = limits or ClientLimits()
        self._ssl_context = ssl_context
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
        matches_request: IsOwn | None = None,
    ) -> ClientAnswer:
        """Send a request to `host:port` and return the answer once its head is there.

        `may_send` is asked right before the first byte; when it says no, SendCancelledError is
        raised and nothing was sent. `new_connection` demands a new one. `host` names another host
        than the address. Answers that `matches_request` rejects are skipped, a few at most. Raises
        ConnectError when nothing was sent and AnswerError when something may have been.
        """
        fields = _request_headers(host or address, headers, body)
        head = h11.Request(method=method, target=target, headers=fields)
        connection = await self._async_connection(address, new_connection=new_connection)
        if may_send is not None and not may_send():
            connection.abort()
            raise SendCancelledError(f"the request to {address} was withdrawn before it was sent")
        try:
            await connection.async_send(head, body)
            answer_head = await connection.async_receive_head(head_timeout_ms)
            if matches_request is not None:
                answer_head = await _async_own_head(
                    connection, answer_head, matches_request, method, head_timeout_ms
                )
        except BaseException:
            connection.abort()
            raise
        answer = ClientAnswer(self, connection, answer_head)
        connection.note_keep_alive(answer.headers.get("keep-alive"))
        return answer

    async def _async_connection(self, address: str, *, new_connection: bool) -> ClientConnection:
        """Return an idle connection or a new one."""
        connection = None if new_connection else self._take_idle(address)
        if connection is not None:
            return connection
        return await ClientConnection.async_open(address, self.limits, self._ssl_context)

    def _take_idle(self, address: str) -> ClientConnection | None:
        """Return an idle connection that is young and open."""
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            age_ms = _loop_now_ms() - connection.idle_since_ms
            if connection.is_reusable and age_ms <= self._max_idle_ms(connection):
                connection.start_next_cycle()
                return connection
            connection.close()
        return None

    def _max_idle_ms(self, connection: ClientConnection) -> float:
        """Return how long a connection may be idle to be used again."""
        kept_ms = connection.keep_alive_ms
        if kept_ms is None:
            return self.limits.max_idle_age_ms
        return min(self.limits.max_idle_age_ms, kept_ms * KEEP_ALIVE_SHARE)

    @callback
    def release(self, connection: ClientConnection, whole: bool) -> None:
        """Keep a connection for later, or drop it when its exchange was not whole."""
        if not whole:
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, [])
        idle[:] = [other for other in idle if other.is_reusable]
        if not connection.is_reusable or len(idle) >= self.limits.idle_per_address:
            connection.close()
            return
        connection.idle_since_ms = _loop_now_ms()
        idle.append(connection)

    @callback
    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()


async def _async_own_head(
    connection: ClientConnection,
    head: h11.Response,
    matches_request: IsOwn,
    method: str,
    timeout_ms: int,
) -> h11.Response:
    """Return the head of the own answer, skipping those to other requests."""
    for _ in range(MAX_STRAY_ANSWERS):
        if matches_request(Headers.from_raw(head.headers)):
            return head
        await connection.async_skip_answer(method, timeout_ms)
        head = await connection.async_receive_head(timeout_ms)
    raise AnswerProtocolError(f"{connection.address} sent only answers to other requests")


def _loop_now_ms() -> int:
    """Return the event loop's time."""
    return int(asyncio.get_running_loop().time() * MS_PER_S)


def _request_headers(host: str, headers: Headers | None, body: bytes) -> list[tuple[bytes, bytes]]:
    """Return a request's header fields with those of this hop."""
    kept = headers.without(_HOP_HEADERS).raw if headers is not None else []
    fields = [(b"host", host.encode("latin-1")), *kept]
    if body:
        fields.append((b"content-length", str(len(body)).encode("ascii")))
    return fields
