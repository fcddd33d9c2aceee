"""A server connection, which owns the socket and HTTP state of one caller."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
import logging

import h11

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError, callback
from wagtailusher_http.const import MAX_PIPELINED_BYTES, MS_PER_S, REFUSED_BODY_DRAIN_MS, HttpLimits
from wagtailusher_http.exceptions import BodyTooLargeError, RequestTimeoutError
from wagtailusher_http.headers import Headers
from wagtailusher_http.messages import BodyWriter, Request, Response, error_response
from wagtailusher_http.socket_protocol import SocketProtocol

_LOGGER = logging.getLogger(__name__)

GetRefusalOutcome = Callable[[Headers], Outcome]
"""Returns the outcome reported for a request refused before its handler is called."""


class ServerConnection:
    """Reads requests in sequence and writes their responses."""

    def __init__(
        self,
        socket: SocketProtocol,
        handler: Callable[[Request], Awaitable[Response]],
        limits: HttpLimits,
        get_refusal_outcome: GetRefusalOutcome,
    ) -> None:
        self._get_refusal_outcome = get_refusal_outcome
        self._refused_outcome = Outcome.NOT_RUN
        self._socket = socket
        self._task: asyncio.Task[None] | None = None
        self._handler = handler
        self.limits = limits
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
        self._closing = False
        self._busy = False
        self._receiving = False
        """Whether a part of a request has arrived."""
        self._unread_response: Response | None = None
        self.interruption: Response | None = None
        """Answer to the request in progress when the connection's task is cancelled."""
        peername = socket.transport.get_extra_info("peername")
        self.peer = f"{peername[0]}:{peername[1]}" if peername else "unknown"

    @property
    def is_active(self) -> bool:
        """Return whether a request is being received or served, or its response being sent."""
        return self._receiving or self._busy or self._socket.has_unsent_output

    @callback
    def close_when_idle(self) -> None:
        """Close now, or after the response to the request in progress."""
        self._closing = True
        if not self.is_active:
            self._socket.close()

    @callback
    def refuse_unread(self, response: Response) -> bool:
        """Answer a request that has not arrived completely, and close; return whether it does."""
        if not self._receiving or self._task is None:
            return False
        if self._unread_response is None:
            self._unread_response = response
            self._task.cancel()
        return True

    @callback
    def close_after_answer(self) -> None:
        """Close after the next response, sent with `Connection: close`."""
        self._closing = True

    async def async_run(self) -> None:
        """Serve requests until the connection ends."""
        self._task = asyncio.current_task()
        self._socket.on_end = self._handle_caller_disconnect
        self._socket.on_data = self._limit_pipelining
        try:
            while await self._async_serve_one():
                self._http.start_next_cycle()
            self._socket.close()
            await self._socket.async_flush(self.limits.send_timeout_ms / MS_PER_S)
        except OSError:
            _LOGGER.debug("HTTP server: connection from %s was lost", self.peer)
        finally:
            self._socket.close()

    async def _async_serve_one(self) -> bool:
        """Serve one request; return whether the connection may carry another."""
        try:
            request = await self._async_receive()
        except asyncio.CancelledError:
            if self._unread_response is None or self._task is None:
                raise
            self._task.uncancel()
            await self._async_send_last(self._unread_response)
            return False
        except h11.RemoteProtocolError as err:
            await self._async_refuse_malformed(err)
            return False
        except (BodyTooLargeError, RequestTimeoutError) as err:
            await self._async_refuse(err)
            return False
        finally:
            self._receiving = False
        if request is None:
            return False
        if self._socket.is_ended:
            return False
        self._busy = True
        try:
            await self._async_handle_and_send(request)
        finally:
            self._busy = False
        if self._closing or self._http.our_state is not h11.DONE:
            return False
        return self._http.their_state is h11.DONE

    async def _async_receive(self) -> Request | None:
        """Return the next complete request, or None when the caller closed the connection."""
        self._refused_outcome = Outcome.NOT_RUN
        head = await self._async_receive_head()
        if head is None:
            return None
        headers = Headers.from_raw(head.headers)
        self._refused_outcome = self._get_refusal_outcome(headers)
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
            peer=self.peer,
        )

    async def _async_receive_head(self) -> h11.Request | None:
        """Return a request's head, or None when the connection closed or idled too long."""
        try:
            async with asyncio.timeout(self.limits.idle_timeout_ms / MS_PER_S):
                event = await self._async_next_event()
        except TimeoutError:
            return None
        return event if isinstance(event, h11.Request) else None

    async def _async_receive_body(self) -> bytes | None:
        """Return a body up to the limit, or None when the caller disconnects before its end."""
        if self._http.they_are_waiting_for_100_continue:
            await self._async_write(
                h11.InformationalResponse(status_code=HTTPStatus.CONTINUE, headers=[])
            )
        chunks: list[bytes] = []
        size = 0
        while True:
            event = await self._async_next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self.limits.max_body_bytes:
                    raise BodyTooLargeError(
                        f"request body exceeds {self.limits.max_body_bytes} bytes"
                    )
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            else:
                return None

    async def _async_next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next parsed event, reading as needed."""
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                self._receiving = isinstance(event, h11.Request | h11.Data)
                return event  # type: ignore[return-value]
            data = await self._socket.async_read()
            self._receiving = bool(data)
            self._http.receive_data(data)

    @callback
    def _handle_caller_disconnect(self) -> None:
        """Cancel the handler when the caller closed its side during a response."""
        if self._busy and self._task is not None:
            self._socket.on_end = None
            self._socket.on_data = None
            self._task.cancel()

    @callback
    def _limit_pipelining(self, unread_bytes: int) -> None:
        """Cancel the handler when the caller pipelines too much data behind a request."""
        if self._busy and unread_bytes > MAX_PIPELINED_BYTES:
            self._handle_caller_disconnect()

    async def _async_handle_and_send(self, request: Request) -> None:
        """Send the handler's response, or an error response when the handler raises."""
        try:
            response = await self._handler(request)
        except asyncio.CancelledError:
            if self.interruption is None or self._socket.is_ended:
                raise
            response = self.interruption
        except WagtailusherError as err:
            response = error_response(HTTPStatus.INTERNAL_SERVER_ERROR, err.code, err.message)
        except Exception:
            _LOGGER.exception("HTTP server: handler of %s failed", request.path)
            response = error_response(
                HTTPStatus.INTERNAL_SERVER_ERROR, ErrorCode.INTERNAL, "unexpected error"
            )
        try:
            await self._async_send(response)
        finally:
            if response.on_end is not None:
                response.on_end()

    async def _async_send(self, response: Response) -> None:
        if isinstance(response.body, bytes):
            await self._async_send_with_length(response, response.body)
            return
        await self._async_send_stream(response, response.body)

    async def _async_send_with_length(self, response: Response, body: bytes) -> None:
        """Send a response with Content-Length."""
        headers = response.headers.with_header("content-length", str(len(body)))
        head = h11.Response(
            status_code=response.status, headers=self._with_connection_header(headers).raw
        )
        parts = [self._http.send(head), self._http.send(h11.Data(data=body))]
        parts.append(self._http.send(h11.EndOfMessage()))
        self._socket.write(b"".join(part for part in parts if part))
        await self.async_drain()

    async def _async_send_stream(
        self, response: Response, body: AsyncIterator[bytes] | BodyWriter
    ) -> None:
        """Send a streamed body; when it raises, close without the end marker."""
        head = h11.Response(
            status_code=response.status, headers=self._with_connection_header(response.headers).raw
        )
        try:
            await self._async_write(head)
            if isinstance(body, AsyncIterator):
                await self._async_send_chunks(body)
            else:
                await body(self)
            await self._async_write(h11.EndOfMessage())
        except WagtailusherError as err:
            _LOGGER.info("HTTP server: response stream to %s aborted: %s", self.peer, err.code)
            self._closing = True

    async def _async_send_chunks(self, chunks: AsyncIterator[bytes]) -> None:
        """Send the chunks of an iterator and close it."""
        try:
            async for chunk in chunks:
                self.write(chunk)
                if self._socket.needs_drain:
                    await self.async_drain()
        finally:
            aclose = getattr(chunks, "aclose", None)
            if aclose is not None:
                await aclose()

    @property
    def needs_drain(self) -> bool:
        """Return whether to await `async_drain` before writing more."""
        return self._socket.needs_drain

    @callback
    def write(self, chunk: bytes) -> None:
        """Write a body chunk without waiting."""
        data = self._http.send(h11.Data(data=chunk))
        if data:
            self._socket.write(data)

    def _with_connection_header(self, headers: Headers) -> Headers:
        """Return the headers, with `Connection: close` when the connection will be closed."""
        return headers.with_header("connection", "close") if self._closing else headers

    async def _async_write(self, event: h11.Event) -> None:
        """Write one event and wait until the write buffer has room."""
        data = self._http.send(event)
        if data:
            self._socket.write(data)
            await self.async_drain()

    async def async_drain(self) -> None:
        """Wait until the write buffer has room; abort the connection on a send time-out."""
        if not self._socket.needs_drain:
            return
        try:
            await self._socket.async_drain(self.limits.send_timeout_ms / MS_PER_S)
        except TimeoutError:
            _LOGGER.info("HTTP server: sending to %s timed out; closing the connection", self.peer)
            self._socket.abort()
            raise ConnectionAbortedError from None

    async def _async_refuse_malformed(self, err: h11.RemoteProtocolError) -> None:
        """Send an error response to a malformed request."""
        status = err.error_status_hint
        code = ErrorCode.BAD_REQUEST
        if status == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
            code = ErrorCode.HEADERS_TOO_LARGE
        await self._async_send_last(
            error_response(status, code, str(err), outcome=self._refused_outcome)
        )

    async def _async_refuse(self, err: WagtailusherError) -> None:
        """Send an error response to a request that was too large or too slow."""
        too_large = err.code is ErrorCode.BODY_TOO_LARGE
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE if too_large else HTTPStatus.REQUEST_TIMEOUT
        await self._async_send_last(
            error_response(status, err.code, err.message, outcome=self._refused_outcome)
        )

    async def _async_send_last(self, response: Response) -> None:
        """Send the last response of the connection."""
        self._closing = True
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        with suppress(h11.LocalProtocolError, OSError):
            await self._async_send(response)
            await self._async_discard_rest()

    async def _async_discard_rest(self) -> None:
        """Discard further input for a limited time.

        Closing a socket with unread input resets the connection, which can discard the response.
        """
        self._socket.end_writing()
        with suppress(TimeoutError):
            async with asyncio.timeout(REFUSED_BODY_DRAIN_MS / MS_PER_S):
                while not self._socket.is_eof:
                    await self._socket.async_read()
