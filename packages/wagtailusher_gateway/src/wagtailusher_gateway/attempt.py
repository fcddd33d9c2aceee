"""One send of a request to one endpoint, from its reservation to the end of its answer."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from wagtailusher_core import EndpointId, WagtailusherError
from wagtailusher_gateway.answer_timing import AnswerTiming
from wagtailusher_gateway.const import (
    JUST_BEGUN_MS,
    MAX_ANSWER_BYTES,
    MAX_REFUSAL_BYTES,
    REFUSAL_TIMEOUT_MS,
)
from wagtailusher_gateway.delivery import Delivery
from wagtailusher_gateway.dispatcher import Dispatcher
from wagtailusher_gateway.events import EventFramer, StreamPosition
from wagtailusher_gateway.exceptions import BrokenStreamError
from wagtailusher_gateway.http_mapping import HttpMapping
from wagtailusher_gateway.models import AnswerTerms, RequestTerms
from wagtailusher_gateway.reservation import Reservation
from wagtailusher_http import (
    EVENT_DELIMITER,
    AnswerError,
    AnswerTruncatedError,
    BodySink,
    ClientAnswer,
    ConnectError,
    Headers,
    HttpClient,
    Request,
    is_event_stream,
)
from wagtailusher_liveness import LivenessDecider

_SUCCESS = range(200, 300)


class SendResult(Enum):
    """Result of a send that returned no answer to relay."""

    NOT_RUN = "not_run"
    """The endpoint stated that it did not run the request."""


class Attempt:
    """Holds a reservation and, once sent, a connection; both are released exactly once."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        client: HttpClient,
        reservation: Reservation,
        delivery: Delivery,
        position: StreamPosition,
        is_allowed: Callable[[], bool] = lambda: True,
    ) -> None:
        """`is_allowed` is asked right before the first byte is sent."""
        self._is_allowed = is_allowed
        self._dispatcher = dispatcher
        self._client = client
        self._delivery = delivery
        self._answer: ClientAnswer | None = None
        self._last_answer: ClientAnswer | None = None
        self._has_answer_id = False
        self._is_prefill_done = False
        self._released = False
        self.reservation = reservation
        self.status = 0
        self.headers = Headers()
        self.was_sent = False
        self.longest_gap_ms = 0
        self._last_event_ms = 0
        self._begun_ms: int | None = None
        self._sent_ms = 0
        self._framer = EventFramer(position)
        placement = dispatcher.placement
        self._timing = AnswerTiming(
            placement.engine_rates,
            reservation,
            lambda now_ms: placement.queued_tokens(reservation.endpoint.endpoint_id, now_ms),
            lambda now_ms: placement.running_requests(reservation.endpoint.endpoint_id, now_ms),
        )

    @property
    def endpoint_id(self) -> EndpointId:
        """Return the endpoint's identifier."""
        return self.reservation.endpoint.endpoint_id

    @property
    def _born_ms(self) -> int:
        return self.reservation.endpoint.born_ms

    @property
    def _liveness(self) -> LivenessDecider:
        return self._dispatcher.placement.registry.liveness

    @property
    def answer_fields(self) -> dict[str, int | bool]:
        """Return the log fields that tell which bytes a connection delivered as the answer."""
        answer = self._last_answer
        if answer is None:
            return {}
        return {
            "connection_requests": answer.connection_requests,
            "skipped_responses": answer.skipped_responses,
            "ends_with_connection": answer.is_delimited_by_close,
            "has_answer_id": self._has_answer_id,
            "partial_event_bytes": self._framer.partial_event_bytes,
            "surplus_bytes": answer.surplus_bytes,
        }

    @property
    def has_head(self) -> bool:
        """Return whether the answer has begun."""
        return self._last_answer is not None

    @property
    def is_under_way(self) -> bool:
        """Return whether the answer brought its first new event some time ago."""
        begun_ms = self._begun_ms
        return begun_ms is not None and self._now_ms() - begun_ms >= JUST_BEGUN_MS

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return is_event_stream(self.headers)

    async def async_send(
        self,
        request: Request,
        headers: Headers,
        terms: RequestTerms,
        http_mapping: HttpMapping,
        left_ms: int,
        *,
        new_connection: bool = False,
    ) -> SendResult | None:
        """Send the request and read the answer's head.

        Raises ConnectError or SendCancelledError if nothing was sent, and AnswerError if the
        endpoint may have run the request.
        """
        answer = await self._async_request(
            request, headers, terms, http_mapping, left_ms, new_connection=new_connection
        )
        self._answer = self._last_answer = answer
        self._liveness.record_heard(self.endpoint_id, self._born_ms, self._now_ms())
        self.status = answer.status
        self.headers = answer.headers
        self._has_answer_id = http_mapping.answer_id(answer.headers) is not None
        stated = http_mapping.read_answer(answer.status, answer.headers)
        self._check_identified(answer, stated)
        if not stated.wrong_incarnation:
            self._dispatcher.read_answer(
                self.reservation.endpoint, stated, terms.attempt_id, self._sent_ms
            )
        if stated.not_run:
            self._record_not_run(stated)
            timeout_ms = min(left_ms, REFUSAL_TIMEOUT_MS)
            await answer.async_read(timeout_ms, max_bytes=MAX_REFUSAL_BYTES, timeout_ms=timeout_ms)
            return SendResult.NOT_RUN
        if stated.is_encoded or (answer.status in _SUCCESS and not stated.is_signed):
            self._record_failure()
            raise AnswerError(
                "the answer is encoded, or is a success without the endpoint's signature"
            )
        return None

    def _check_identified(self, answer: ClientAnswer, stated: AnswerTerms) -> None:
        """Raise AnswerError unless an answer without an identifier can only be to this request.

        A refusal that is the first answer on its connection is; others may be late answers.
        """
        if self._has_answer_id:
            return
        if stated.not_run and answer.connection_requests == 1 and not answer.skipped_responses:
            answer.prevent_reuse()
            return
        self._record_failure()
        raise AnswerError("the answer does not state its request")

    async def _async_request(
        self,
        request: Request,
        headers: Headers,
        terms: RequestTerms,
        http_mapping: HttpMapping,
        left_ms: int,
        *,
        new_connection: bool,
    ) -> ClientAnswer:
        """Send the request and return the answer once its head has arrived."""
        try:
            return await self._client.async_request(
                self.reservation.endpoint.address,
                request.method,
                request.target,
                headers,
                request.body,
                may_send=self._may_send,
                new_connection=new_connection,
                head_timeout_ms=left_ms,
                host=terms.host,
                matches_request=lambda fields: http_mapping.answer_id(fields)
                in (None, terms.attempt_id),
                states_request=lambda fields: _states_request(http_mapping, fields),
            )
        except ConnectError:
            self._dispatcher.placement.registry.record_unreachable(self.endpoint_id, self._now_ms())
            raise
        except AnswerError as err:
            self._record_failure(err)
            raise

    def _record_not_run(self, stated: AnswerTerms) -> None:
        """Record that the endpoint stated that it did not run the request."""
        self._delivery.record_refused(counts=not stated.wrong_incarnation)
        registry = self._dispatcher.placement.registry
        if stated.wrong_incarnation:
            registry.record_misdirected(self.endpoint_id, self._now_ms())
        else:
            registry.record_refusal(self.endpoint_id, self._now_ms())

    def _now_ms(self) -> int:
        return self._dispatcher.clock_ms()

    def _may_send(self) -> bool:
        """Check the endpoint once more right before the first byte, and record the send."""
        if not self._dispatcher.may_send(self.reservation) or not self._is_allowed():
            return False
        self.was_sent = True
        self._sent_ms = self._now_ms()
        self._liveness.record_sent(self.endpoint_id, self._born_ms, self._sent_ms)
        self._delivery.record_sent()
        return True

    def _record_failure(self, err: WagtailusherError | None = None) -> None:
        """Record that the endpoint returned no usable answer."""
        self._delivery.record_failure()
        registry, now_ms = self._dispatcher.placement.registry, self._now_ms()
        registry.record_request_failure(self.endpoint_id, now_ms)
        if isinstance(err, AnswerTruncatedError):
            registry.record_connection_lost(self.endpoint_id, now_ms)

    async def async_read(self, left_ms: int) -> bytes:
        """Return the complete body."""
        assert self._answer is not None
        answer = self._answer
        try:
            body = await answer.async_read(left_ms)
        except AnswerError as err:
            self._record_failure(err)
            raise
        if len(body) > MAX_ANSWER_BYTES:
            self._record_failure()
            raise AnswerError("the answer exceeds the size limit")
        return body

    async def async_read_first(self, left_ms: int) -> bytes:
        """Return the first complete events; empty if the stream ends without one."""
        buffered: list[bytes] = []

        def buffer_events(chunk: bytes) -> bool:
            events = self._feed(chunk)
            if events:
                buffered.append(events)
            return not buffered and not self._framer.has_failed

        await self._async_relay(buffer_events, left_ms)
        if not buffered:
            self._check(self._finish)
        return b"".join(buffered)

    async def async_relay_body(self, sink: BodySink, left_ms: int) -> None:
        """Relay complete events until the end of the stream."""

        def deliver(chunk: bytes) -> bool:
            events = self._feed(chunk)
            if events:
                sink.write(events)
                self._record_event_sent(self._now_ms())
            return not sink.needs_drain and not self._framer.has_failed

        self._check(self._framer.raise_failure)
        while self._answer is not None and not await self._async_relay(deliver, left_ms):
            self._check(self._framer.raise_failure)
            await sink.async_drain()
        self._check(self._finish)

    def _feed(self, chunk: bytes) -> bytes:
        """Return the complete events that a chunk of the answer brings."""
        events = self._framer.feed(chunk, is_delimited=self._is_delimited)
        now_ms = self._now_ms()
        if events and self._begun_ms is None:
            self._begun_ms = now_ms
            self._liveness.record_begun(self.endpoint_id, self._born_ms, now_ms)
        if events:
            self._timing.record_events(events.count(EVENT_DELIMITER), self._sent_ms, now_ms)
        self._liveness.record_heard(self.endpoint_id, self._born_ms, now_ms)
        return events

    def _finish(self) -> None:
        """Raise BrokenStreamError if the answer did not end after a complete event."""
        self._framer.finish(is_delimited=self._is_delimited)
        self._timing.record_complete(self._now_ms())

    @property
    def _is_delimited(self) -> bool:
        """Return whether the answer has a length or chunks."""
        return self._last_answer is None or not self._last_answer.is_delimited_by_close

    def _check(self, raise_failure: Callable[[], None]) -> None:
        """Record a failure that the framer raises."""
        try:
            raise_failure()
        except BrokenStreamError:
            self._record_failure()
            raise

    def _record_event_sent(self, now_ms: int) -> None:
        """Update the longest gap between relayed events."""
        if self._last_event_ms:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self._last_event_ms)
        self._last_event_ms = now_ms

    async def _async_relay(self, deliver: Callable[[bytes], bool], left_ms: int) -> bool:
        """Pass the answer's chunks to `deliver`; return whether the answer is complete."""
        assert self._answer is not None
        try:
            ended = await self._answer.async_relay_body(deliver, left_ms)
        except (AnswerError, BrokenStreamError) as err:
            self._record_failure(err)
            raise
        if ended:
            self._answer = None
        return ended

    def record_prefill_done(self) -> None:
        """Record the first event of a stream, which shows that the prefill is done."""
        if not self._is_prefill_done:
            self._is_prefill_done = True
            self._record_event_sent(self._now_ms())
            self._dispatcher.placement.record_prefill_done(self.reservation)

    def finish(self, *, failed: bool) -> None:
        """Release the reservation after a complete answer; `failed` if it is a server error."""
        if failed:
            self._record_failure()
        else:
            self._dispatcher.placement.registry.record_request_success(
                self.endpoint_id, self._now_ms()
            )
        self._release()

    def finish_not_run(self) -> None:
        """Release the reservation after the endpoint refused the request."""
        self._release()

    def time_out(self) -> None:
        """Abort the attempt at the deadline; an endpoint that has not answered counts as failed."""
        if self.was_sent and not self._is_prefill_done and not self._released:
            self._record_failure()
        self.abort()

    def abort(self) -> None:
        """Abort the attempt and release the reservation."""
        if self._answer is not None:
            self._answer.abort()
            self._answer = None
        self._release()

    def _release(self) -> None:
        """Release the reservation unless that has been done."""
        if not self._released:
            self._released = True
            if self.was_sent:
                has_begun = self._begun_ms is not None
                self._liveness.record_ended(self.endpoint_id, self._born_ms, had_begun=has_begun)
            self._dispatcher.release(self.reservation, is_prefill_done=self._is_prefill_done)


def _states_request(http_mapping: HttpMapping, headers: Headers) -> bool:
    """Return whether a response's headers are those of an endpoint's answer."""
    is_signed = http_mapping.read_answer(_SUCCESS.start, headers).is_signed
    return is_signed or http_mapping.answer_id(headers) is not None
