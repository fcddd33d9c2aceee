"""Runs one repeatable request through its attempts and relays its answer as it arrives."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError
from wagtailusher_daemon.answer_relay import AnswerRelay
from wagtailusher_daemon.const import HEADER_REQUEST_ID
from wagtailusher_daemon.exceptions import IncompleteAnswerError
from wagtailusher_daemon.exchange_context import ExchangeContext
from wagtailusher_daemon.node import MessageQueue
from wagtailusher_daemon.responses import end_to_end_headers, refusal_response
from wagtailusher_daemon.upstream import classify_status, classify_stream_error
from wagtailusher_http import BodySink, ClientAnswer, Response, is_event_stream
from wagtailusher_integrations.engine import EventStream
from wagtailusher_router import Dispatch, Forward, Refuse


class Exchange:
    """Runs the attempts of one request; used by a single task."""

    def __init__(self, context: ExchangeContext) -> None:
        """Submit the request to the node."""
        self._context = context
        self._node = context.node
        self._telemetry = context.telemetry
        self._request_id = context.request_id
        self._done = False
        self._relay: AnswerRelay | None = None
        self._message_queue: MessageQueue = context.node.submit(context.classified.arrival)

    async def async_answer(self) -> Response:
        """Return the response, whose body relays the endpoint's answer."""
        try:
            return await self._async_attempts()
        except BaseException:
            self._end()
            raise

    async def _async_attempts(self) -> Response:
        """Process the node's messages until an answer begins or the request ends."""
        while True:
            message = await self._message_queue.get()
            if isinstance(message, Dispatch):
                response = await self._async_attempt(message)
                if response is not None:
                    return response
                continue
            self._done = True
            self._end()
            if isinstance(message, Forward):
                return await self._context.async_forward(message)
            assert isinstance(message, Refuse)
            self._telemetry.record_refusal(message.code, message.outcome)
            return refusal_response(message)

    async def _async_attempt(self, dispatch: Dispatch) -> Response | None:
        """Send the request and wait for the answer's first bytes; return None on failure."""
        try:
            answer = await self._context.async_open(dispatch)
            failed = classify_status(answer.status)
            if failed is not None:
                answer.abort()
                self._context.end_attempt(failed)
                return None
            relay = self._new_relay(answer)
            first = await relay.async_read_first()
        except WagtailusherError as err:
            await self._context.async_end_attempt_with_error(dispatch, err)
            return None
        headers = end_to_end_headers(answer).with_header(HEADER_REQUEST_ID, self._request_id)
        return Response(
            status=answer.status,
            headers=headers,
            body=lambda sink: self._async_body(relay, first, sink),
            on_end=self._end,
            held_bytes=relay.held_bytes,
        )

    def _new_relay(self, answer: ClientAnswer) -> AnswerRelay:
        """Return an answer's relay, which is aborted if this exchange ends first."""
        self._relay = AnswerRelay(
            answer,
            self._record_progress,
            self._context.silence_timeout_ms,
            on_data=lambda: self._node.record_heard(self._request_id),
        )
        return self._relay

    def _record_progress(self, events: int) -> None:
        self._node.record_progress(self._request_id, events)
        self._telemetry.record_progress(events)

    async def _async_body(self, relay: AnswerRelay, first: bytes, sink: BodySink) -> None:
        """Relay the answer, resuming over a new connection where possible."""
        if first:
            self._context.handle_first_token()
            sink.write(first)
        while True:
            try:
                await relay.async_relay_rest(sink)
                break
            except WagtailusherError as err:
                relay = await self._async_resume(err)
        self._done = True
        self._node.handle_completion(self._request_id)
        self._telemetry.record_completion()

    async def _async_resume(self, err: WagtailusherError) -> AnswerRelay:
        """Return the relay of a resumed answer, or raise IncompleteAnswerError."""
        self._context.end_attempt(classify_stream_error(err))
        while True:
            message = await self._message_queue.get()
            if not isinstance(message, Dispatch) or message.resume_from is None:
                self._done = True
                outcome = message.outcome if isinstance(message, Refuse) else Outcome.UNKNOWN
                self._telemetry.record_refusal(ErrorCode.ANSWER_TRUNCATED, outcome)
                raise IncompleteAnswerError(
                    "the endpoint's answer ended early and can't be resumed"
                ) from err
            try:
                return self._new_relay(await self._context.async_open(message))
            except WagtailusherError as resume_err:
                await self._context.async_end_attempt_with_error(message, resume_err)

    def _end(self) -> None:
        """Close the message queue; if the request is not done, its caller has disconnected."""
        if self._relay is not None:
            self._relay.abort()
        if not self._done:
            self._done = True
            self._node.handle_caller_disconnect(self._request_id)
            self._telemetry.record_caller_disconnect()
        self._node.remove(self._request_id)


def complete_body(answer: ClientAnswer, body: bytes) -> bytes:
    """Return a fully read body, an event stream up to its end marker.

    Raises BrokenStreamError when bytes that are no event precede a stream's end marker, and
    IncompleteAnswerError when a stream has none.
    """
    if not is_event_stream(answer.headers):
        return body
    stream = EventStream()
    events = stream.feed(body)
    stream.raise_broken()
    if not stream.is_complete:
        raise IncompleteAnswerError("event stream ended without its end marker")
    return events
