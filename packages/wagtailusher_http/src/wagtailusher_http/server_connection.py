"""A server connection, which owns the socket and HTTP state of one caller."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from http import HTTPStatus
import logging

import h11

from wagtailusher_core import ErrorCode, WagtailusherError, callback
from wagtailusher_http.caller_budget import CallerBudget, Phase
from wagtailusher_http.client_connection import loop_now_ms
from wagtailusher_http.const import (
    CONNECTION_BYTES,
    MAX_PIPELINED_BYTES,
    MS_PER_S,
    PAUSED_STREAM_BYTES,
    REFUSED_BODY_DRAIN_MS,
    HttpLimits,
)
from wagtailusher_http.exceptions import BodyTooLargeError, RequestTimeoutError
from wagtailusher_http.headers import Headers
from wagtailusher_http.messages import BodyWriter, Request, Response, error_response
from wagtailusher_http.refusals import malformed_response, overload_response, unread_response
from wagtailusher_http.request_reader import GetRefusalOutcome, RequestReader
from wagtailusher_http.socket_protocol import SocketProtocol, write_parts

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerContext:
    """What all connections of a server share."""

    handler: Callable[[Request], Awaitable[Response]]
    get_refusal_outcome: GetRefusalOutcome
    budget: CallerBudget
    flood_lane: asyncio.Lock
    """Held while a body of very many chunks is parsed."""


class ServerConnection:
    """Reads requests in sequence and writes their responses."""

    def __init__(self, socket: SocketProtocol, context: ServerContext, limits: HttpLimits) -> None:
        self._socket = socket
        self._task: asyncio.Task[None] | None = None
        self._handler = context.handler
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.max_head_bytes)
        self._reader = RequestReader(
            socket,
            self._http,
            limits,
            context.get_refusal_outcome,
            self._update_budget,
            context.flood_lane,
        )
        self._closing = False
        self._busy = False
        self._request: Request | None = None
        """The request that is served."""
        self._answer_bytes = 0
        """Size of the body that is sent; all of it is held until its last part was passed on."""
        self._is_sending = False
        self._is_streaming = False
        self._unread_response: Response | None = None
        self.interruption: Response | None = None
        """Answer to the request in progress when the connection's task is cancelled."""
        peername = socket.transport.get_extra_info("peername")
        self.peer = f"{peername[0]}:{peername[1]}" if peername else "unknown"
        self.waits_since_ms = loop_now_ms()
        """When the connection was accepted, or its last response sent."""
        self._budget = context.budget
        self._share = context.budget.open_share(self, self.waits_since_ms)

    @property
    def limits(self) -> HttpLimits:
        """Return the limits of this connection."""
        return self._reader.limits

    @limits.setter
    def limits(self, limits: HttpLimits) -> None:
        self._reader.limits = limits

    @property
    def is_active(self) -> bool:
        """Return whether a request is being received or served, or its response being sent."""
        return self._reader.is_receiving or self._busy or self._socket.has_unsent_output

    @property
    def phase(self) -> Phase:
        """Return what the connection does."""
        if self._is_sending or (self._socket.has_unsent_output and not self._busy):
            return Phase.SENDING
        if self._busy:
            return Phase.SERVING
        return Phase.RECEIVING if self._reader.is_receiving else Phase.IDLE

    @property
    def held_bytes(self) -> int:
        """Return all bytes that the process holds for the connection."""
        request_bytes = len(self._request.body) if self._request is not None else 0
        is_paused = self._is_streaming and self._socket.needs_drain
        return (
            CONNECTION_BYTES
            + self._reader.held_bytes
            + request_bytes
            + max(self._answer_bytes, self._socket.unsent_bytes)
            + (PAUSED_STREAM_BYTES if is_paused else 0)
        )

    @property
    def input_bytes(self) -> int:
        """Return how many received bytes are not yet part of a request."""
        return self._reader.input_bytes

    @property
    def output_bytes(self) -> int:
        """Return how many bytes have been written and not yet sent."""
        return self._socket.unsent_bytes

    @property
    def moved_bytes(self) -> int:
        """Return the bytes that were received or sent since the connection was opened."""
        return self._socket.received_bytes + self._socket.sent_bytes

    @property
    def has_head_only(self) -> bool:
        """Return whether at most a part of a request's head has arrived."""
        return self.phase in (Phase.IDLE, Phase.RECEIVING) and self._http.their_state is h11.IDLE

    @callback
    def give_way(self, phase: Phase) -> None:
        """Refuse a request that is not complete, else close the connection."""
        if phase is Phase.RECEIVING:
            self._reader.drop()
            self.refuse_unread(overload_response(self._reader.refused_outcome))
        elif phase is Phase.SERVING:
            self._socket.read_buffered()
            self._handle_caller_disconnect()
        else:
            self._socket.abort()

    @callback
    def close_unused(self) -> None:
        """Close a connection on which at most a part of a head has arrived."""
        self._socket.abort()

    @callback
    def _update_budget(self) -> None:
        """Tell the budget what is held now."""
        self._budget.update(self._share, loop_now_ms())

    @callback
    def close_when_idle(self) -> None:
        """Close now, or after the response to the request in progress."""
        self._closing = True
        if not self.is_active:
            self._socket.close()

    @callback
    def refuse_unread(self, response: Response) -> bool:
        """Answer a request that has not arrived completely, and close; return whether it does."""
        if not self._reader.is_receiving or self._task is None:
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
        self._socket.on_data = self._handle_data
        try:
            while await self._async_serve_one():
                self._http.start_next_cycle()
            self._socket.close()
            await self._socket.async_flush(self.limits.send_timeout_ms / MS_PER_S)
        except OSError:
            _LOGGER.debug("HTTP server: connection from %s was lost", self.peer)
        finally:
            self._socket.close()
            self._budget.release(self._share)
            # A task that was cancelled keeps its frames, and so the response: break the cycles.
            self._task = None
            self._socket.on_end = self._socket.on_data = None

    async def _async_serve_one(self) -> bool:
        """Serve one request; return whether the connection may carry another."""
        try:
            self._request = await self._reader.async_receive(self.peer)
        except asyncio.CancelledError:
            if self._unread_response is None or self._task is None:
                raise
            self._task.uncancel()
            await self._async_send_last(self._unread_response)
            return False
        except h11.RemoteProtocolError as err:
            await self._async_send_last(malformed_response(err, self._reader.refused_outcome))
            return False
        except (BodyTooLargeError, RequestTimeoutError) as err:
            await self._async_send_last(unread_response(err, self._reader.refused_outcome))
            return False
        if self._request is None or self._socket.is_ended:
            return False
        self._busy = True
        self._update_budget()
        try:
            await self._async_send_final(await self._async_handle(self._request))
        finally:
            self._busy = False
            self._end_request()
        if self._closing or self._http.our_state is not h11.DONE:
            return False
        return self._http.their_state is h11.DONE

    def _end_request(self) -> None:
        """Release what the request held."""
        self._request = None
        self._answer_bytes = 0
        self._is_sending = self._is_streaming = False
        self.waits_since_ms = loop_now_ms()
        self._update_budget()

    def _begin_sending(self, response: Response) -> None:
        """Begin with the response; a request without further attempts is no longer needed."""
        self._is_sending = True
        self._answer_bytes = response.held_bytes
        if isinstance(response.body, bytes):
            self._answer_bytes = len(response.body)
            self._request = None
        else:
            self._is_streaming = not response.held_bytes
        self._update_budget()

    @callback
    def _handle_caller_disconnect(self) -> None:
        """Cancel the handler when the caller closed its side during a response."""
        if self._busy and self._task is not None:
            self._socket.on_end = None
            self._socket.on_data = None
            self._task.cancel()

    @callback
    def _handle_data(self, unread_bytes: int) -> None:
        """Cancel the handler when the caller pipelines too much data behind a request."""
        if not self._busy:
            return
        if unread_bytes > MAX_PIPELINED_BYTES:
            self._handle_caller_disconnect()
        else:
            self._update_budget()

    async def _async_handle(self, request: Request) -> Response:
        """Return the handler's response, or an error response when the handler raises."""
        try:
            return await self._handler(request)
        except asyncio.CancelledError:
            if self.interruption is None or self._socket.is_ended:
                raise
            return self.interruption
        except WagtailusherError as err:
            return error_response(HTTPStatus.INTERNAL_SERVER_ERROR, err.code, err.message)
        except Exception:
            _LOGGER.exception("HTTP server: handler of %s failed", request.path)
            return error_response(
                HTTPStatus.INTERNAL_SERVER_ERROR, ErrorCode.INTERNAL, "unexpected error"
            )

    async def _async_send_final(self, response: Response) -> None:
        """Send the response to the request that was served."""
        self._begin_sending(response)
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
        write_parts(self._socket, parts)
        self._update_budget()
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
        self._update_budget()
        try:
            await self._socket.async_drain(self.limits.send_timeout_ms / MS_PER_S)
        except TimeoutError:
            _LOGGER.info("HTTP server: sending to %s timed out; closing the connection", self.peer)
            self._socket.abort()
            raise ConnectionAbortedError from None

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
