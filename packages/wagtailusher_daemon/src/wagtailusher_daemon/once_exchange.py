"""Runs one request that may not be repeated, also after its caller has disconnected."""

from __future__ import annotations

from wagtailusher_core import WagtailusherError
from wagtailusher_daemon.exchange import complete_body
from wagtailusher_daemon.exchange_context import ExchangeContext
from wagtailusher_daemon.responses import end_to_end_headers, refusal_response, stored_response
from wagtailusher_http import Response
from wagtailusher_once import ForwardTo, StoredAnswer
from wagtailusher_router import Dispatch, Forward, HandoverCandidate, ReplayAnswer


class OnceExchange:
    """Runs the attempts of one request; the complete answer is read before it is returned."""

    def __init__(self, context: ExchangeContext) -> None:
        """Submit the request to the node."""
        self._context = context
        self._node = context.node
        self._telemetry = context.telemetry
        self._request_id = context.request_id
        self._message_queue = context.node.submit(context.classified.arrival)

    async def async_run(self) -> Response:
        """Return the stored answer, a refusal or the response of the VM it was forwarded to."""
        try:
            while True:
                message = await self._message_queue.get()
                if isinstance(message, Dispatch):
                    answer = await self._async_attempt(message)
                    if answer is not None:
                        return stored_response(answer, self._request_id)
                elif isinstance(message, ReplayAnswer):
                    self._telemetry.record_completion()
                    return stored_response(message.answer, self._request_id)
                elif isinstance(message, HandoverCandidate):
                    await self._async_hand_over(message)
                elif isinstance(message, Forward):
                    return await self._context.async_forward(message)
                else:
                    self._telemetry.record_refusal(message.code, message.outcome)
                    return refusal_response(message)
        finally:
            self._node.remove(self._request_id)

    async def _async_hand_over(self, candidate: HandoverCandidate) -> None:
        """Get a ticket from a peer and hand over to it; the next step arrives in the queue."""
        ticket = await self._context.forwarder.async_request_ticket(candidate.peer_id)
        if ticket is not None:
            successor = ForwardTo(home_id=candidate.peer_id, ticket=ticket)
            self._node.hand_over(self._request_id, successor)

    async def _async_attempt(self, dispatch: Dispatch) -> StoredAnswer | None:
        """Send the request and read its complete answer; return None on a failed attempt."""
        try:
            answer = await self._context.async_open(dispatch)
            self._context.handle_first_token()
            timeout_ms = self._context.silence_timeout_ms
            read = await answer.async_read(timeout_ms, timeout_ms=timeout_ms)
            body = complete_body(answer, read)
        except WagtailusherError as err:
            await self._context.async_end_attempt_with_error(dispatch, err)
            return None
        stored = StoredAnswer(
            status=answer.status, headers=tuple(end_to_end_headers(answer)), body=body
        )
        self._node.handle_completion(self._request_id, stored)
        self._telemetry.record_completion()
        return stored
