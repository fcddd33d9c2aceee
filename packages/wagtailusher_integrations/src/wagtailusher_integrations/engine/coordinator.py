"""Sends chat completions to engines and polls their load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from http import HTTPStatus
import logging

from pydantic import ValidationError

from wagtailusher_core import EndpointId, RequestId, WagtailusherError, callback
from wagtailusher_http import (
    ClientAnswer,
    ConnectError,
    Headers,
    HttpClient,
    ResponseMatcher,
    is_event_stream,
    match_identifier,
)
from wagtailusher_integrations.engine.const import (
    CONTENT_TYPE_EVENTS,
    CONTENT_TYPE_JSON,
    DEFAULT_CANCEL_TIMEOUT_MS,
    DEFAULT_POLL_TIMEOUT_MS,
    DEFAULT_UNMATCHED_TIMEOUT_MS,
    HEADER_PRIORITY,
    HEADER_REQUEST_ID,
    HEADER_TRACE,
    MAX_POLLED_ENDPOINTS,
    MAX_REPORT_BYTES,
    PATH_CANCEL,
    PATH_CHAT,
    PATH_LOAD,
    PATH_RESUME,
)
from wagtailusher_integrations.engine.exceptions import EngineError
from wagtailusher_integrations.engine.models import ChatCall, LoadModel
from wagtailusher_placement import EndpointInfo, LoadReport

_LOGGER = logging.getLogger(__name__)

OnRefused = Callable[[EndpointId], None]


class EngineCoordinator:
    """Calls engines; to them a lower priority number is more urgent."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def async_send(
        self,
        address: str,
        call: ChatCall,
        *,
        may_send: Callable[[], bool],
        new_connection: bool,
        head_timeout_ms: int,
    ) -> ClientAnswer:
        """Send a chat completion and return its answer.

        Answers that don't echo the request ID are skipped. Raises AnswerError when there is no
        other one, and EngineError for an unexpected content type or a body of unknown length.
        """
        headers = Headers(
            (
                ("content-type", CONTENT_TYPE_JSON),
                (HEADER_REQUEST_ID, call.request_id),
                (HEADER_PRIORITY, str(call.tier)),
            )
        )
        if call.traceparent is not None:
            headers = headers.with_header(HEADER_TRACE, call.traceparent)
        answer = await self._client.async_request(
            address,
            "POST",
            PATH_CHAT,
            headers,
            call.body,
            may_send=may_send,
            new_connection=new_connection,
            head_timeout_ms=head_timeout_ms,
            matches_request=_match_request_id(call.request_id),
            states_request=_is_foreign_head,
            unmatched_timeout_ms=DEFAULT_UNMATCHED_TIMEOUT_MS,
        )
        _check_content_type(answer, CONTENT_TYPE_EVENTS if call.streams else CONTENT_TYPE_JSON)
        _check_length(answer)
        return answer

    async def async_resume(
        self, address: str, request_id: RequestId, offset: int, *, head_timeout_ms: int
    ) -> ClientAnswer:
        """Request the rest of a stream, from event number `offset` on, over a new connection."""
        answer = await self._client.async_request(
            address,
            "GET",
            PATH_RESUME.format(request_id=request_id, offset=offset),
            new_connection=True,
            head_timeout_ms=head_timeout_ms,
            matches_request=_match_request_id(request_id),
            unmatched_timeout_ms=DEFAULT_UNMATCHED_TIMEOUT_MS,
        )
        if answer.status != HTTPStatus.OK:
            answer.abort()
            raise EngineError(f"the engine at {address} no longer holds the stream")
        _check_content_type(answer, CONTENT_TYPE_EVENTS)
        return answer

    @callback
    def cancel(self, address: str, request_id: RequestId) -> None:
        """Cancel a request at an engine, without waiting for the engine."""
        task = asyncio.get_running_loop().create_task(self._async_cancel(address, request_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _async_cancel(self, address: str, request_id: RequestId) -> None:
        """Send a cancellation once; a failure is only logged."""
        target = PATH_CANCEL.format(request_id=request_id)
        try:
            answer = await self._client.async_request(
                address, "POST", target, head_timeout_ms=DEFAULT_CANCEL_TIMEOUT_MS
            )
            await _async_read_report(answer, DEFAULT_CANCEL_TIMEOUT_MS)
        except WagtailusherError as err:
            _LOGGER.debug("Engine: cancel of %s failed: %s", request_id, err.code)

    async def async_poll_load(
        self,
        endpoints: Iterable[EndpointInfo],
        now_ms: Callable[[], int],
        *,
        on_refused: OnRefused | None = None,
        new_connection: bool = False,
    ) -> list[LoadReport]:
        """Return the load of the endpoints that answer; at most MAX_POLLED_ENDPOINTS are polled.

        `on_refused` is called at once for each endpoint that refuses the connection;
        `new_connection` makes a stopped one refuse, and closes the connection after the report.
        """
        polled = tuple(endpoints)[:MAX_POLLED_ENDPOINTS]
        reports = await asyncio.gather(
            *(
                self._async_poll_endpoint(endpoint, now_ms, on_refused, new_connection)
                for endpoint in polled
            )
        )
        return [report for report in reports if report is not None]

    async def _async_poll_endpoint(
        self,
        endpoint: EndpointInfo,
        now_ms: Callable[[], int],
        on_refused: OnRefused | None,
        new_connection: bool,
    ) -> LoadReport | None:
        """Return one endpoint's load, or None if it does not answer or is malformed."""
        try:
            answer = await self._client.async_request(
                endpoint.address,
                "GET",
                PATH_LOAD,
                new_connection=new_connection,
                head_timeout_ms=DEFAULT_POLL_TIMEOUT_MS,
            )
            if new_connection:
                answer.prevent_reuse()
            body = await _async_read_report(answer, DEFAULT_POLL_TIMEOUT_MS)
            return LoadModel.model_validate_json(body).to_report(endpoint.endpoint_id, now_ms())
        except (WagtailusherError, ValidationError) as err:
            _LOGGER.debug("Engine: load poll of %s failed: %s", endpoint.endpoint_id, err)
            if on_refused is not None and _is_refused(err):
                on_refused(endpoint.endpoint_id)
            return None


def _is_refused(err: Exception) -> bool:
    """Return whether a connection was refused, as happens while no process listens."""
    return isinstance(err, ConnectError) and isinstance(err.__cause__, ConnectionRefusedError)


async def _async_read_report(answer: ClientAnswer, timeout_ms: int) -> bytes:
    """Return a short body; raise AnswerError if it is long or not complete in time."""
    return await answer.async_read(timeout_ms, max_bytes=MAX_REPORT_BYTES, timeout_ms=timeout_ms)


def _match_request_id(request_id: RequestId) -> ResponseMatcher:
    """Return a matcher of the answers that echo a request ID."""
    return match_identifier(HEADER_REQUEST_ID, request_id, required=True)


def _is_foreign_head(_: Headers) -> bool:
    """Return that a head within an answer is that of another one.

    JSON escapes the ends of lines, so an answer can't quote one.
    """
    return True


def _check_content_type(answer: ClientAnswer, expected: str) -> None:
    """Raise EngineError if a completion has another content type than expected."""
    found = answer.headers.get("content-type") or "no content type"
    if answer.status == HTTPStatus.OK and not found.startswith(expected):
        answer.abort()
        raise EngineError(f"the engine answered with {found}")


def _check_length(answer: ClientAnswer) -> None:
    """Raise EngineError if nothing shows where an answer's body ends.

    A stream of events ends with its end marker.
    """
    if answer.is_delimited_by_close and not is_event_stream(answer.headers):
        answer.abort()
        raise EngineError("the engine answered without the length of the body")
