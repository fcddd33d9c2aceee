"""Sends requests to endpoints and classifies how attempts ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from wagtailusher_core import WagtailusherError, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.const import DEFAULT_HEAD_TIMEOUT_MS, HEADER_TRACE
from wagtailusher_http import (
    AnswerProtocolError,
    AnswerTruncatedError,
    ClientAnswer,
    ConnectError,
    HttpClient,
    ReadTimeoutError,
    SendCancelledError,
)
from wagtailusher_integrations.engine import (
    BrokenStreamError,
    ChatCall,
    EngineCoordinator,
    EngineError,
)
from wagtailusher_integrations.service import ServiceCall, ServiceCoordinator
from wagtailusher_placement import AttemptResult
from wagtailusher_router import Cancel, Dispatch

_REFUSED_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


class Upstream:
    """Sends requests to engines and services."""

    def __init__(
        self,
        client: HttpClient,
        address_of: Callable[[Cancel], str | None],
        read_answer: Callable[[Dispatch, ClientAnswer, int], None] = lambda *_: None,
        may_send_extra: Callable[[str], bool] = lambda endpoint_id: True,
    ) -> None:
        """Send with a client; `address_of` returns a cancellation's address or None.

        `read_answer` gets each answer, and when its request was sent. `may_send_extra` returns
        whether a running request may send another one to its endpoint.
        """
        self._read_answer = read_answer
        self._may_send_extra = may_send_extra
        self.engines = EngineCoordinator(client)
        self._services = ServiceCoordinator(client)
        self._address_of = address_of

    async def async_open(
        self,
        dispatch: Dispatch,
        call: ChatCall | ServiceCall,
        *,
        traceparent: str,
        may_send: Callable[[], bool],
        head_timeout_ms: int = DEFAULT_HEAD_TIMEOUT_MS,
    ) -> ClientAnswer:
        """Send a request or resume its answer; return the answer once its headers have arrived."""
        sent_ms = monotonic_ms()
        answer = await self._async_send(dispatch, call, traceparent, may_send, head_timeout_ms)
        self._read_answer(dispatch, answer, sent_ms)
        return answer

    async def _async_send(
        self,
        dispatch: Dispatch,
        call: ChatCall | ServiceCall,
        traceparent: str,
        may_send: Callable[[], bool],
        head_timeout_ms: int,
    ) -> ClientAnswer:
        if isinstance(call, ServiceCall):
            return await self._services.async_send(
                dispatch.address,
                replace(call, headers=call.headers.with_header(HEADER_TRACE, traceparent)),
                may_send=may_send,
                head_timeout_ms=head_timeout_ms,
            )
        if dispatch.resume_from is not None:
            if not self._may_send_extra(dispatch.endpoint_id):
                raise EngineError("the engine wants no requests")
            return await self.engines.async_resume(
                dispatch.address,
                call.request_id,
                dispatch.resume_from,
                head_timeout_ms=head_timeout_ms,
            )
        return await self.engines.async_send(
            dispatch.address,
            replace(call, traceparent=traceparent),
            may_send=may_send,
            new_connection=dispatch.new_connection,
            head_timeout_ms=head_timeout_ms,
        )

    @callback
    def cancel(self, action: Cancel) -> None:
        """Send a cancellation to the engine that runs a request, if its address is known."""
        address = self._address_of(action)
        if address is not None and self._may_send_extra(action.endpoint_id):
            self.engines.cancel(address, action.request_id)


def classify_error(err: WagtailusherError) -> AttemptResult:
    """Return the result of an attempt that ended with an error."""
    if isinstance(err, SendCancelledError):
        return AttemptResult.CANCELLED
    if isinstance(err, ReadTimeoutError):
        return AttemptResult.SILENT
    if isinstance(err, AnswerTruncatedError):
        return AttemptResult.CRASHED
    if isinstance(err, ConnectError):
        return AttemptResult.FAILED
    return AttemptResult.FAILED


def classify_stream_error(err: WagtailusherError) -> AttemptResult:
    """Return the result of an attempt whose stream ended with an error behind its first event."""
    if isinstance(err, BrokenStreamError | AnswerProtocolError):
        return AttemptResult.BROKEN
    return classify_error(err)


def classify_status(status: int) -> AttemptResult | None:
    """Return the result of an attempt refused or failed by its HTTP status, otherwise None."""
    if status in _REFUSED_STATUSES:
        return AttemptResult.REFUSED
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return AttemptResult.FAILED
    return None
