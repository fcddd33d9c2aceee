"""Sends requests to the entry VMs and retries those that are safe to repeat."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus
from random import Random
import ssl

from pydantic import ValidationError

from wagtailusher_client.addresses import AddressCache
from wagtailusher_client.errors import (
    BrokenAnswerError,
    CallerError,
    NoAddressError,
    RefusedError,
    UnknownOutcomeError,
)
from wagtailusher_client.models import Answer, ClientLimits, ErrorAnswerModel, TicketModel
from wagtailusher_core import ErrorCode, Outcome, WagtailusherError
from wagtailusher_http import ClientAnswer, ConnectError, Headers, HttpClient

PATH_CHAT = "/v1/chat/completions"
PATH_TICKETS = "/v1/tickets"
HEADER_TICKET = "x-wagtailusher-ticket"
HEADER_CLASS = "x-wagtailusher-class"
HEADER_REVISION = "x-wagtailusher-revision"
TICKET_TIMEOUT_MS = 2_000
MS_PER_S = 1000

_NOT_ACCEPTING_CODES = frozenset({ErrorCode.DRAINING, ErrorCode.NOT_READY})
_SAME_TICKET_RETRY_CODES = _NOT_ACCEPTING_CODES | {
    ErrorCode.IN_PROGRESS,
    ErrorCode.HOME_GONE,
    ErrorCode.PEER_UNAVAILABLE,
}


class CallerClient:
    """A caller's client of the fleet; `seeds` are the `host:port` of some entry VMs."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        api_key: str,
        *,
        seed: int,
        limits: ClientLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare a client without sending anything; `seed` is that of address choice."""
        self._limits = limits or ClientLimits()
        self._api_key = api_key
        self._http = HttpClient(ssl_context=ssl_context)
        self._revision: str | None = None
        self._addresses = AddressCache(self._http, seeds, Random(seed), self._headers(None))

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    async def async_chat(self, body: bytes, *, class_id: str | None = None) -> Answer:
        """Return a complete chat completion; the request may be sent several times.

        Raises RefusedError, NoAddressError or UnknownOutcomeError.
        """
        return await self._async_repeatable("", "POST", PATH_CHAT, body, class_id)

    async def async_stream_chat(
        self, body: bytes, *, class_id: str | None = None
    ) -> AsyncIterator[bytes]:
        """Yield a streamed chat completion as it arrives.

        The request is retried until an answer begins; raises BrokenAnswerError if that one breaks.
        """
        answer = await self._async_open_stream("POST", PATH_CHAT, body, class_id)
        try:
            async for chunk in answer.iter_chunks(self._limits.silence_timeout_ms):
                yield chunk
        except WagtailusherError as err:
            raise BrokenAnswerError(err.message) from err

    async def async_call(
        self,
        route_id: str,
        path: str,
        body: bytes,
        *,
        method: str = "POST",
        class_id: str | None = None,
    ) -> Answer:
        """Call a plain service with a request that may be repeated."""
        target = f"/services/{route_id}/{path}"
        return await self._async_repeatable(route_id, method, target, body, class_id)

    async def async_call_once(
        self, route_id: str, path: str, body: bytes, *, class_id: str | None = None
    ) -> Answer:
        """Call a plain service with a request that may not be repeated.

        If the request certainly did not run, it is sent again with a new ticket. Otherwise the same
        ticket is sent to another VM, where the home of the request reports the outcome.
        """
        ticket = await self._async_fetch_ticket(route_id)
        target = f"/services/{route_id}/{path}"
        address = ticket.address
        was_sent = False
        last_error: RefusedError | None = None
        for _ in range(self._limits.attempts):
            headers = self._headers(class_id).with_header(HEADER_TICKET, ticket.ticket)
            certainly_not_run = False
            try:
                return await self._async_send_and_read(address, "POST", target, headers, body)
            except ConnectError:
                certainly_not_run = not was_sent
            except RefusedError as err:
                certainly_not_run = (
                    err.code in _NOT_ACCEPTING_CODES and err.outcome is Outcome.NOT_RUN
                )
                if not certainly_not_run and err.code not in _SAME_TICKET_RETRY_CODES:
                    raise
                last_error = err
            except WagtailusherError:
                was_sent = True
            self._addresses.mark_failed(address)
            await self._async_pause()
            if certainly_not_run:
                last_error = None
                ticket = await self._async_fetch_ticket(route_id)
                address = ticket.address
                was_sent = False
            else:
                address = await self._addresses.async_pick(_now_ms(), route_id)
        raise last_error or _build_no_answer_error(was_sent)

    async def _async_fetch_ticket(self, route_id: str) -> TicketModel:
        """Return a ticket from any entry VM."""
        for _ in range(self._limits.attempts):
            address = await self._addresses.async_pick(_now_ms(), route_id)
            try:
                answer = await self._http.async_request(
                    address, "POST", PATH_TICKETS, head_timeout_ms=TICKET_TIMEOUT_MS
                )
                body = await answer.async_read(TICKET_TIMEOUT_MS)
                if answer.status == HTTPStatus.OK:
                    return TicketModel.model_validate_json(body)
            except (WagtailusherError, ValidationError):
                pass
            self._addresses.mark_failed(address)
            await self._async_pause()
        raise NoAddressError("no entry VM issued a ticket")

    async def _async_repeatable(
        self, route_id: str, method: str, target: str, body: bytes, class_id: str | None
    ) -> Answer:
        """Return a complete answer; retry after failures."""
        last_error: WagtailusherError = NoAddressError("no entry VM could be reached")
        for _ in range(self._limits.attempts):
            address = await self._addresses.async_pick(_now_ms(), route_id)
            try:
                return await self._async_send_and_read(
                    address, method, target, self._headers(class_id), body
                )
            except RefusedError as err:
                if err.code not in _NOT_ACCEPTING_CODES:
                    raise
                last_error = err
            except WagtailusherError as err:
                last_error = err
            self._addresses.mark_failed(address)
            await self._async_pause()
        if isinstance(last_error, RefusedError | NoAddressError):
            raise last_error
        raise UnknownOutcomeError(last_error.message) from last_error

    async def _async_open_stream(
        self, method: str, target: str, body: bytes, class_id: str | None
    ) -> ClientAnswer:
        """Return an answer whose head has arrived; retry before that."""
        last_error: WagtailusherError = NoAddressError("no entry VM could be reached")
        for _ in range(self._limits.attempts):
            address = await self._addresses.async_pick(_now_ms())
            try:
                answer = await self._async_send(
                    address, method, target, self._headers(class_id), body
                )
                if answer.status == HTTPStatus.OK:
                    return answer
                raise _parse_refusal(await answer.async_read(self._limits.silence_timeout_ms))
            except RefusedError as err:
                if err.code not in _NOT_ACCEPTING_CODES:
                    raise
                last_error = err
            except WagtailusherError as err:
                last_error = err
            self._addresses.mark_failed(address)
            await self._async_pause()
        raise last_error

    async def _async_send_and_read(
        self, address: str, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer:
        """Send once and return the complete answer; raise RefusedError for an error status."""
        answer = await self._async_send(address, method, target, headers, body)
        content = await answer.async_read(self._limits.silence_timeout_ms)
        if answer.status >= HTTPStatus.BAD_REQUEST:
            raise _parse_refusal(content)
        return Answer(status=answer.status, headers=answer.headers, body=content)

    async def _async_send(
        self, address: str, method: str, target: str, headers: Headers, body: bytes
    ) -> ClientAnswer:
        """Send once.

        A request with a ticket uses a new connection, so that ConnectError means that it was not
        sent.
        """
        if self._revision is not None:
            headers = headers.with_header(HEADER_REVISION, self._revision)
        answer = await self._http.async_request(
            address,
            method,
            target,
            headers,
            body,
            new_connection=HEADER_TICKET in headers,
            head_timeout_ms=self._limits.head_timeout_ms,
        )
        self._revision = answer.headers.get(HEADER_REVISION) or self._revision
        return answer

    def _headers(self, class_id: str | None) -> Headers:
        """Return the headers that every request has."""
        headers = Headers((("authorization", f"Bearer {self._api_key}"),))
        return headers if class_id is None else headers.with_header(HEADER_CLASS, class_id)

    async def _async_pause(self) -> None:
        """Wait before the next attempt."""
        await asyncio.sleep(self._limits.pause_ms / MS_PER_S)


def _build_no_answer_error(was_sent: bool) -> CallerError:
    """Return the error of a request that no VM answered."""
    if was_sent:
        return UnknownOutcomeError("no entry VM reported the outcome of the request")
    return NoAddressError("no entry VM could be reached")


def _parse_refusal(body: bytes) -> RefusedError:
    """Return the refusal in an error answer; a malformed one has an unknown outcome."""
    try:
        error = ErrorAnswerModel.model_validate_json(body).error
    except ValidationError:
        return RefusedError(
            body[:200].decode(errors="replace"),
            code=ErrorCode.ENDPOINT_FAILED,
            outcome=Outcome.UNKNOWN,
            retry_after_ms=None,
        )
    return RefusedError(
        error.message, code=error.code, outcome=error.outcome, retry_after_ms=error.retry_after_ms
    )


def _now_ms() -> int:
    """Return the event loop's time in milliseconds."""
    return int(asyncio.get_running_loop().time() * MS_PER_S)
