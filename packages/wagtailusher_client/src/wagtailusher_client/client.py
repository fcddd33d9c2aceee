"""Sends requests to the entry VMs, and again where that is safe."""

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

_MOVED_CODES = frozenset({ErrorCode.DRAINING, ErrorCode.NOT_READY})
_ASK_AGAIN_CODES = _MOVED_CODES | {
    ErrorCode.IN_PROGRESS,
    ErrorCode.HOME_GONE,
    ErrorCode.PEER_UNAVAILABLE,
}


class CallerClient:
    """A caller's connection to the system; seeds are `host:port` of some entry VMs."""

    def __init__(
        self,
        seeds: tuple[str, ...],
        api_key: str,
        *,
        seed: int,
        limits: ClientLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Prepare a client; nothing is sent yet."""
        self._limits = limits or ClientLimits()
        self._api_key = api_key
        self._http = HttpClient(ssl_context=ssl_context)
        self._revision: str | None = None
        self._addresses = AddressCache(self._http, seeds, Random(seed), self._headers(None))

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    async def async_chat(self, body: bytes, *, class_id: str | None = None) -> Answer:
        """Return a whole chat completion; it may be sent again until some of it arrived."""
        return await self._async_repeatable("", "POST", PATH_CHAT, body, class_id)

    async def async_stream_chat(
        self, body: bytes, *, class_id: str | None = None
    ) -> AsyncIterator[bytes]:
        """Yield a streamed chat completion as it arrives."""
        answer = await self._async_open("POST", PATH_CHAT, body, class_id)
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

        A ticket whose request certainly was not run is dropped for another. After that the same
        ticket is sent to any VM: the request's home answers what became of it.
        """
        ticket = await self._async_ticket(route_id)
        target = f"/services/{route_id}/{path}"
        address = ticket.address
        was_sent = False
        last: RefusedError | None = None
        for _ in range(self._limits.attempts):
            headers = self._headers(class_id).with_header(HEADER_TICKET, ticket.ticket)
            certainly_not_run = False
            try:
                return await self._async_whole(address, "POST", target, headers, body)
            except ConnectError:
                certainly_not_run = not was_sent
            except RefusedError as err:
                certainly_not_run = err.code in _MOVED_CODES and err.outcome is Outcome.NOT_RUN
                if not certainly_not_run and err.code not in _ASK_AGAIN_CODES:
                    raise
                last = err
            except WagtailusherError:
                was_sent = True
            self._addresses.mark_failed(address)
            await self._async_pause()
            if certainly_not_run:
                last = None
                ticket = await self._async_ticket(route_id)
                address = ticket.address
                was_sent = False
            else:
                address = await self._addresses.async_pick(_now_ms(), route_id)
        raise last or _no_answer(was_sent)

    async def _async_ticket(self, route_id: str) -> TicketModel:
        """Return a ticket of some VM."""
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
        raise NoAddressError("no entry VM gave a ticket")

    async def _async_repeatable(
        self, route_id: str, method: str, target: str, body: bytes, class_id: str | None
    ) -> Answer:
        """Return a whole answer, trying again after failures."""
        last: WagtailusherError = NoAddressError("no entry VM could be reached")
        for _ in range(self._limits.attempts):
            address = await self._addresses.async_pick(_now_ms(), route_id)
            try:
                return await self._async_whole(
                    address, method, target, self._headers(class_id), body
                )
            except RefusedError as err:
                if err.code not in _MOVED_CODES:
                    raise
                last = err
            except WagtailusherError as err:
                last = err
            self._addresses.mark_failed(address)
            await self._async_pause()
        if isinstance(last, RefusedError | NoAddressError):
            raise last
        raise UnknownOutcomeError(last.message) from last

    async def _async_open(
        self, method: str, target: str, body: bytes, class_id: str | None
    ) -> ClientAnswer:
        """Return an answer whose head arrived, trying again before that."""
        last: WagtailusherError = NoAddressError("no entry VM could be reached")
        for _ in range(self._limits.attempts):
            address = await self._addresses.async_pick(_now_ms())
            try:
                answer = await self._async_send(
                    address, method, target, self._headers(class_id), body
                )
                if answer.status == HTTPStatus.OK:
                    return answer
                raise _refusal_of(await answer.async_read(self._limits.silence_timeout_ms))
            except RefusedError as err:
                if err.code not in _MOVED_CODES:
                    raise
                last = err
            except WagtailusherError as err:
                last = err
            self._addresses.mark_failed(address)
            await self._async_pause()
        raise last

    async def _async_whole(
        self, address: str, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer:
        """Send once and return the whole answer."""
        answer = await self._async_send(address, method, target, headers, body)
        content = await answer.async_read(self._limits.silence_timeout_ms)
        if answer.status >= HTTPStatus.BAD_REQUEST:
            raise _refusal_of(content)
        return Answer(status=answer.status, headers=answer.headers, body=content)

    async def _async_send(
        self, address: str, method: str, target: str, headers: Headers, body: bytes
    ) -> ClientAnswer:
        """Send once over a new connection, so that a failed connect means not sent."""
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
        """Return the headers of every request."""
        headers = Headers((("authorization", f"Bearer {self._api_key}"),))
        return headers if class_id is None else headers.with_header(HEADER_CLASS, class_id)

    async def _async_pause(self) -> None:
        """Wait before the next attempt."""
        await asyncio.sleep(self._limits.pause_ms / MS_PER_S)


def _no_answer(was_sent: bool) -> CallerError:
    """Return the error of a request that no VM answered."""
    if was_sent:
        return UnknownOutcomeError("no VM could tell what became of the request")
    return NoAddressError("no entry VM could be reached")


def _refusal_of(body: bytes) -> RefusedError:
    """Return the refusal that an error answer carries."""
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
    """Return the event loop's time."""
    return int(asyncio.get_running_loop().time() * MS_PER_S)
