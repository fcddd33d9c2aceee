"""One caller's request: finds a place, sends it, and passes the answer on."""

from __future__ import annotations

import asyncio

from wagtailusher_core import EndpointId, ErrorCode, WagtailusherError
from wagtailusher_gateway.attempt import Attempt, Gone
from wagtailusher_gateway.const import MS_PER_S
from wagtailusher_gateway.delivery import Delivery
from wagtailusher_gateway.dispatcher import Dispatcher, Wanted, queue_of
from wagtailusher_gateway.events import EventCutter
from wagtailusher_gateway.exceptions import BrokenStreamError, RefusedError
from wagtailusher_gateway.http_mapping import ForwardContext, HttpMapping
from wagtailusher_gateway.models import Workspace
from wagtailusher_gateway.record import RequestRecord
from wagtailusher_http import BodySink, HttpClient, Request, Response

MAX_UNREACHED = 4
"""Endpoints that take no connection before the caller is told to come back."""

_RESTATED_FIELDS = frozenset({"content-length"})
_SERVER_ERROR = 500


class Exchange:
    """Goes from the request to one final answer."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        http_mapping: HttpMapping,
        client: HttpClient,
        request: Request,
        wanted: Wanted,
        workspace: Workspace | None,
        record: RequestRecord,
    ) -> None:
        """Take a request over that belongs to a route."""
        self._dispatcher = dispatcher
        self._http_mapping = http_mapping
        self._client = client
        self._request = request
        self._wanted = wanted
        self._workspace = workspace
        self._record = record
        self._delivery = Delivery(wanted.route)
        self._avoid: frozenset[EndpointId] = frozenset()
        self._unreached = 0
        self._cutter = EventCutter(wanted.terms.resume_after)
        self._attempt: Attempt | None = None

    async def async_run(self) -> Response:
        """Return the answer, or raise RefusedError; a cancelled run leaves nothing behind."""
        try:
            async with asyncio.timeout(self._left_ms() / MS_PER_S):
                while True:
                    response = await self._async_try()
                    if response is not None:
                        return response
        except TimeoutError:
            if self._attempt is not None:
                self._attempt.time_out()
                self._attempt = None
            raise self._delivery.timed_out("the request's time is over") from None
        except BaseException:
            self._give_up()
            raise

    def _left_ms(self) -> int:
        """Return the time that is left."""
        return max(1, self._wanted.ends_ms - self._dispatcher.clock_ms())

    def _give_up(self) -> None:
        """End the attempt in progress."""
        if self._attempt is not None:
            self._attempt.abort()
            self._attempt = None

    async def _async_try(self) -> Response | None:
        """Make one attempt; return the answer, or None when another attempt may follow."""
        attempt = await self._async_open()
        if attempt is None:
            return None
        if attempt.is_stream and attempt.status < _SERVER_ERROR:
            return await self._async_begin_stream(attempt)
        try:
            body = await attempt.async_read(self._left_ms())
        except WagtailusherError as err:
            self._failed(attempt, err)
            return None
        attempt.finish(failed=attempt.status >= _SERVER_ERROR)
        self._attempt = None
        if attempt.status >= _SERVER_ERROR and self._may_repeat():
            self._avoid |= {attempt.endpoint_id}
            self._note_end(attempt, "endpoint error, repeated")
            return None
        self._delivery.answered()
        self._record.answered(attempt.status)
        return Response(
            status=attempt.status,
            headers=attempt.headers.without_hop_headers(_RESTATED_FIELDS),
            body=body,
        )

    async def _async_open(self) -> Attempt | None:
        """Send the request to an endpoint; return the attempt once its answer has begun."""
        placed = await self._dispatcher.async_place(self._wanted, self._avoid)
        self._record.placed(placed, self._dispatcher.clock_ms())
        attempt = Attempt(self._dispatcher, self._client, placed, self._delivery)
        self._attempt = attempt
        forward_context = ForwardContext(
            endpoint_id=placed.endpoint.endpoint_id,
            left_ms=self._left_ms(),
            workspace_id=self._workspace.workspace_id if self._workspace else None,
            rank=self._wanted.rank,
            resume_after=self._cutter.last_id,
        )
        headers = self._http_mapping.request_headers(self._request.headers, forward_context)
        try:
            answer = await attempt.async_send(
                self._request, headers, self._wanted.terms, self._http_mapping, self._left_ms()
            )
        except WagtailusherError as err:
            self._failed(attempt, err)
            return None
        if answer is Gone.NOT_RUN:
            self._refused(attempt)
            return None
        return attempt

    def _failed(self, attempt: Attempt, err: WagtailusherError) -> None:
        """Note a failed attempt; raise when no other may follow."""
        self._attempt = None
        self._avoid |= {attempt.endpoint_id}
        self._note_end(attempt, err.message)
        attempt.abort()
        if not attempt.was_sent:
            self._unreached += 1
            if self._unreached <= MAX_UNREACHED:
                return
        elif self._may_repeat():
            return
        raise self._delivery.error(
            "the endpoint failed", ErrorCode.ENDPOINT_FAILED, self._retry_after_ms()
        )

    def _refused(self, attempt: Attempt) -> None:
        """Note that an endpoint had no room; raise when no other may be asked."""
        self._attempt = None
        self._avoid |= {attempt.endpoint_id}
        self._note_end(attempt, "not run by the endpoint")
        attempt.finish_unrun()
        if not self._may_repeat():
            raise self._delivery.error(
                "the endpoint has no room", ErrorCode.QUEUE_FULL, self._retry_after_ms()
            )

    def _may_repeat(self) -> bool:
        """Tell whether to send once more, and take it out of the budget."""
        if not self._delivery.may_send:
            return False
        return self._dispatcher.take_retry(self._wanted.service, self._dispatcher.clock_ms())

    def _retry_after_ms(self) -> int:
        """Return when the caller should come back."""
        admission, now_ms = self._dispatcher.admission, self._dispatcher.clock_ms()
        return admission.retry_after_ms(queue_of(self._wanted), self._wanted.rank, now_ms)

    def _note_end(self, attempt: Attempt, reason: str) -> None:
        """Log an attempt without a usable answer."""
        self._record.attempt_failed(attempt.placed, reason, self._delivery.state)

    async def _async_begin_stream(self, attempt: Attempt) -> Response | None:
        """Wait for the first event, so that an early failure costs the caller nothing."""
        try:
            first = await attempt.async_first(self._cutter, self._left_ms())
        except WagtailusherError as err:
            self._failed(attempt, err)
            return None
        self._delivery.answered()
        attempt.note_began()
        self._record.began(attempt.status, self._dispatcher.clock_ms())
        headers = attempt.headers.without_hop_headers(_RESTATED_FIELDS)

        async def async_body(sink: BodySink) -> None:
            await self._async_pump(attempt, first, sink)

        return Response(
            status=attempt.status, headers=headers, body=async_body, on_end=self._stream_ended
        )

    def _stream_ended(self) -> None:
        """Free what a stream held, whether or not it was whole."""
        self._give_up()
        self._record.ended(self._cutter.count)

    async def _async_pump(self, attempt: Attempt, first: bytes, sink: BodySink) -> None:
        """Relay events, going on at another endpoint where the route allows it."""
        if first:
            sink.write(first)
        try:
            async with asyncio.timeout(self._left_ms() / MS_PER_S):
                current = attempt
                while True:
                    try:
                        await current.async_relay_body(self._cutter, sink, self._left_ms())
                        break
                    except WagtailusherError as err:
                        current = await self._async_resume(current, err)
        except TimeoutError:
            self._record.stream_broke("the request's time is over")
            raise BrokenStreamError("the request's time is over") from None
        current.finish(failed=False)
        self._attempt = None
        self._record.stream_whole(current.longest_pause_ms)

    async def _async_resume(self, attempt: Attempt, err: WagtailusherError) -> Attempt:
        """Return an attempt that goes on with a broken stream."""
        self._note_end(attempt, err.message)
        attempt.abort()
        self._attempt = None
        self._avoid |= {attempt.endpoint_id}
        self._delivery.failed()
        while self._delivery.may_resume and self._cutter.last_id is not None:
            now_ms = self._dispatcher.clock_ms()
            if not self._dispatcher.take_retry(self._wanted.service, now_ms):
                break
            try:
                resumed = await self._async_open()
            except RefusedError as refusal:
                self._record.stream_broke(refusal.message)
                raise BrokenStreamError(refusal.message) from err
            if resumed is not None and resumed.is_stream and resumed.status < _SERVER_ERROR:
                self._cutter.join()
                return resumed
            if resumed is not None:
                resumed.abort()
        self._record.stream_broke(err.message)
        raise BrokenStreamError("the endpoint's stream broke off") from err
