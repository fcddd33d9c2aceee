"""One send of a request to one endpoint, from its place to the end of its answer."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from wagtailusher_core import EndpointId
from wagtailusher_gateway.const import MAX_ANSWER_BYTES
from wagtailusher_gateway.delivery import Delivery
from wagtailusher_gateway.dispatcher import Dispatcher
from wagtailusher_gateway.events import EventCutter
from wagtailusher_gateway.exceptions import BrokenStreamError
from wagtailusher_gateway.http_mapping import HttpMapping
from wagtailusher_gateway.models import AnswerTerms, RequestTerms
from wagtailusher_gateway.placement import Placed
from wagtailusher_http import (
    AnswerError,
    BodySink,
    ClientAnswer,
    ConnectError,
    Headers,
    HttpClient,
    Request,
    is_event_stream,
)

_SUCCESS = range(200, 300)


class Gone(Enum):
    """An answer that is none."""

    NOT_RUN = "not_run"
    """The endpoint stated that it did not run the request."""


class Attempt:
    """Holds a place and, once sent, a connection; both are given back exactly once."""

    def __init__(
        self, dispatcher: Dispatcher, client: HttpClient, placed: Placed, delivery: Delivery
    ) -> None:
        """Take a place over."""
        self._dispatcher = dispatcher
        self._client = client
        self._delivery = delivery
        self._answer: ClientAnswer | None = None
        self._began = False
        self._released = False
        self.placed = placed
        self.status = 0
        self.headers = Headers()
        self.was_sent = False
        self.longest_pause_ms = 0
        self._last_part_ms = 0

    @property
    def endpoint_id(self) -> EndpointId:
        """Return the endpoint's identifier."""
        return self.placed.endpoint.endpoint_id

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return is_event_stream(self.headers)

    async def async_send(
        self,
        request: Request,
        headers: Headers,
        terms: RequestTerms,
        http_mapping: HttpMapping,
        left_ms: int,
    ) -> Gone | None:
        """Send the request and read the answer's head.

        Raises ConnectError or SendCancelledError when nothing was sent, and AnswerError when the
        endpoint may have run it.
        """
        answer = await self._async_request(request, headers, terms, http_mapping, left_ms)
        self._answer = answer
        self.status = answer.status
        self.headers = answer.headers
        stated = http_mapping.read_answer(answer.status, answer.headers)
        if stated.not_run:
            self._note_not_run(stated)
            await answer.async_read(left_ms)
            return Gone.NOT_RUN
        if stated.is_encoded or (answer.status in _SUCCESS and not stated.is_signed):
            self._fail()
            raise AnswerError("the answer is not the endpoint's own")
        return None

    async def _async_request(
        self,
        request: Request,
        headers: Headers,
        terms: RequestTerms,
        http_mapping: HttpMapping,
        left_ms: int,
    ) -> ClientAnswer:
        """Send the request and return the answer once its head is there."""
        try:
            return await self._client.async_request(
                self.placed.endpoint.address,
                request.method,
                request.target,
                headers,
                request.body,
                may_send=self._may_send,
                head_timeout_ms=left_ms,
                host=terms.host,
                matches_request=lambda fields: http_mapping.answer_id(fields)
                in (None, terms.attempt_id),
            )
        except ConnectError:
            self._dispatcher.placement.registry.note_unreachable(self.endpoint_id, self._now_ms())
            raise
        except AnswerError:
            self._fail()
            raise

    def _note_not_run(self, stated: AnswerTerms) -> None:
        """Note that the endpoint stated not to have run the request."""
        self._delivery.refused(counts=not stated.wrong_incarnation)
        registry = self._dispatcher.placement.registry
        if stated.wrong_incarnation:
            registry.note_misdirected(self.endpoint_id, self._now_ms())
        else:
            registry.note_refused(self.endpoint_id, self._now_ms())

    def _now_ms(self) -> int:
        """Return the present time."""
        return self._dispatcher.clock_ms()

    def _may_send(self) -> bool:
        """Ask once more right before the first byte, and note that it goes out."""
        if not self._dispatcher.may_send(self.placed):
            return False
        self.was_sent = True
        self._delivery.sent()
        return True

    def _fail(self) -> None:
        """Note that the endpoint gave no usable answer."""
        self._delivery.failed()
        self._dispatcher.placement.registry.note_failure(self.endpoint_id, self._now_ms())

    async def async_read(self, left_ms: int) -> bytes:
        """Return the whole body."""
        assert self._answer is not None
        try:
            body = await self._answer.async_read(left_ms)
        except AnswerError:
            self._fail()
            raise
        if len(body) > MAX_ANSWER_BYTES:
            self._fail()
            raise AnswerError("the answer is too large")
        return body

    async def async_first(self, cutter: EventCutter, left_ms: int) -> bytes:
        """Return the first whole events; nothing when the stream ends without one."""
        held: list[bytes] = []

        def hold(chunk: bytes) -> bool:
            part = cutter.feed(chunk)
            if part:
                held.append(part)
            return not held

        await self._async_take(hold, left_ms)
        return b"".join(held)

    async def async_relay_body(self, cutter: EventCutter, sink: BodySink, left_ms: int) -> None:
        """Relay whole events to the end of the stream."""

        def deliver(chunk: bytes) -> bool:
            part = cutter.feed(chunk)
            if part:
                sink.write(part)
                self._note_part(self._now_ms())
            return not sink.needs_drain

        while self._answer is not None and not await self._async_take(deliver, left_ms):
            await sink.async_drain()
        if cutter.has_rest:
            self._fail()
            raise BrokenStreamError("the stream ended within an event")

    def _note_part(self, now_ms: int) -> None:
        """Note when a part of the stream was passed on."""
        if self._last_part_ms:
            self.longest_pause_ms = max(self.longest_pause_ms, now_ms - self._last_part_ms)
        self._last_part_ms = now_ms

    async def _async_take(self, deliver: Callable[[bytes], bool], left_ms: int) -> bool:
        """Hand the answer's chunks on; return whether that was all."""
        assert self._answer is not None
        try:
            ended = await self._answer.async_relay_body(deliver, left_ms)
        except (AnswerError, BrokenStreamError):
            self._fail()
            raise
        if ended:
            self._answer = None
        return ended

    def note_began(self) -> None:
        """Note that the endpoint has read the prompt."""
        if not self._began:
            self._began = True
            self._note_part(self._now_ms())
            self._dispatcher.placement.note_began(self.placed)

    def finish(self, *, failed: bool) -> None:
        """Give the place back after a whole answer, which may be the endpoint's own error."""
        if failed:
            self._fail()
        else:
            self._dispatcher.placement.registry.note_success(self.endpoint_id, self._now_ms())
        self._release()

    def finish_unrun(self) -> None:
        """Give the place back after the endpoint refused."""
        self._release()

    def time_out(self) -> None:
        """Break the exchange off at its deadline; an endpoint that never answered has failed."""
        if self.was_sent and not self._began and not self._released:
            self._fail()
        self.abort()

    def abort(self) -> None:
        """Break the exchange off and give the place back."""
        if self._answer is not None:
            self._answer.abort()
            self._answer = None
        self._release()

    def _release(self) -> None:
        """Give the place back once."""
        if not self._released:
            self._released = True
            self._dispatcher.release(self.placed, began=self._began)
