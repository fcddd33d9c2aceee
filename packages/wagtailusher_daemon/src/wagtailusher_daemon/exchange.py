"""Carries one repeatable request through its attempts and relays its answer as it comes."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError
from wagtailusher_daemon.answer_relay import AnswerRelay
from wagtailusher_daemon.answers import end_to_end_headers, refusal_response
from wagtailusher_daemon.const import HEADER_REQUEST_ID
from wagtailusher_daemon.exceptions import BrokenAnswerError
from wagtailusher_daemon.exchange_context import ExchangeContext
from wagtailusher_daemon.node import Mailbox
from wagtailusher_daemon.upstream import end_of, end_of_status
from wagtailusher_http import BodySink, ClientAnswer, Response, is_event_stream
from wagtailusher_integrations.engine import EventStream
from wagtailusher_router import Dispatch, Forward, Refuse


class Exchange:
    """One request's task state."""

    def __init__(self, context: ExchangeContext) -> None:
        """Hand the request to the node."""
        self._context = context
        self._node = context.node
        self._observation = context.observation
        self._request_id = context.request_id
        self._done = False
        self._relay: AnswerRelay | None = None
        self._mailbox: Mailbox = context.node.submit(context.classified.arrival)

    async def async_answer(self) -> Response:
        """Return the answer; its body relays what the endpoint sends."""
        try:
            return await self._async_attempts()
        except BaseException:
            self._end()
            raise

    async def _async_attempts(self) -> Response:
        """Follow the node's messages until an answer begins."""
        while True:
            message = await self._mailbox.get()
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
            self._observation.refused(message.code, message.outcome)
            return refusal_response(message)

    async def _async_attempt(self, dispatch: Dispatch) -> Response | None:
        """Open an answer and wait for its first part; None when the attempt failed."""
        try:
            answer = await self._context.async_open(dispatch)
            failed = end_of_status(answer.status)
            if failed is not None:
                answer.abort()
                self._context.fail(failed)
                return None
            relay = self._new_relay(answer)
            first = await relay.async_first()
        except WagtailusherError as err:
            self._context.fail_with(dispatch, err)
            return None
        headers = end_to_end_headers(answer).with_header(HEADER_REQUEST_ID, self._request_id)
        return Response(
            status=answer.status,
            headers=headers,
            body=lambda sink: self._async_body(relay, first, sink),
            on_end=self._end,
        )

    def _new_relay(self, answer: ClientAnswer) -> AnswerRelay:
        """Return the relay of an answer, given up when this exchange ends before."""
        self._relay = AnswerRelay(answer, self._progress, self._context.silence_timeout_ms)
        return self._relay

    def _progress(self, events: int) -> None:
        """Note events that were relayed."""
        self._node.record_progress(self._request_id, events)
        self._observation.record_progress(events)

    async def _async_body(self, relay: AnswerRelay, first: bytes, sink: BodySink) -> None:
        """Relay the parts, resuming over a new connection where that is possible."""
        if first:
            self._context.note_first_token()
            sink.write(first)
        while True:
            try:
                await relay.async_pump(sink)
                break
            except WagtailusherError as err:
                relay = await self._async_resume(err)
        self._done = True
        self._node.handle_completion(self._request_id)
        self._observation.completed()

    async def _async_resume(self, err: WagtailusherError) -> AnswerRelay:
        """Return the relay of a resumed answer, or raise that the answer is broken."""
        self._context.fail(end_of(err))
        while True:
            message = await self._mailbox.get()
            if not isinstance(message, Dispatch) or message.resume_from is None:
                self._done = True
                outcome = message.outcome if isinstance(message, Refuse) else Outcome.UNKNOWN
                self._observation.refused(ErrorCode.ANSWER_TRUNCATED, outcome)
                raise BrokenAnswerError("the endpoint's answer broke off") from err
            try:
                return self._new_relay(await self._context.async_open(message))
            except WagtailusherError as again:
                self._context.fail_with(message, again)

    def _end(self) -> None:
        """Close the mailbox; a request that is not done lost its caller."""
        if self._relay is not None:
            self._relay.give_up()
        if not self._done:
            self._done = True
            self._node.handle_caller_disconnect(self._request_id)
            self._observation.caller_left()
        self._node.close(self._request_id)


def check_whole(answer: ClientAnswer, body: bytes) -> None:
    """Raise when a body that was read at once is a stream without its end marker."""
    if not is_event_stream(answer.headers):
        return
    stream = EventStream()
    stream.feed(body)
    if not stream.is_complete:
        raise BrokenAnswerError("the stream ended without its end marker")
