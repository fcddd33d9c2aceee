"""Carries one request that may not be repeated; it goes on when its caller leaves."""

from __future__ import annotations

from wagtailusher_core import WagtailusherError
from wagtailusher_daemon.answers import end_to_end_headers, refusal_response, stored_response
from wagtailusher_daemon.exchange import check_whole
from wagtailusher_daemon.exchange_context import ExchangeContext
from wagtailusher_http import Response
from wagtailusher_once import ForwardTo, StoredAnswer
from wagtailusher_router import Dispatch, Forward, HandoverCandidate, ReplayAnswer


class OnceExchange:
    """One request's task state; the answer is whole before any of it is relayed."""

    def __init__(self, context: ExchangeContext) -> None:
        """Hand the request to the node."""
        self._context = context
        self._node = context.node
        self._observation = context.observation
        self._request_id = context.request_id
        self._mailbox = context.node.submit(context.classified.arrival)

    async def async_run(self) -> Response:
        """Return the stored answer, a refusal or the home's answer."""
        try:
            while True:
                message = await self._mailbox.get()
                if isinstance(message, Dispatch):
                    answer = await self._async_attempt(message)
                    if answer is not None:
                        return stored_response(answer, self._request_id)
                elif isinstance(message, ReplayAnswer):
                    self._observation.completed()
                    return stored_response(message.answer, self._request_id)
                elif isinstance(message, HandoverCandidate):
                    await self._async_hand_over(message)
                elif isinstance(message, Forward):
                    return await self._context.async_forward(message)
                else:
                    self._observation.refused(message.code, message.outcome)
                    return refusal_response(message)
        finally:
            self._node.close(self._request_id)

    async def _async_hand_over(self, stranded: HandoverCandidate) -> None:
        """Ask a peer for a ticket and give it the right to run; what follows is a message."""
        ticket = await self._context.forwarder.async_ticket(stranded.peer_id)
        if ticket is not None:
            successor = ForwardTo(home_id=stranded.peer_id, ticket=ticket)
            self._node.hand_over(self._request_id, successor)

    async def _async_attempt(self, dispatch: Dispatch) -> StoredAnswer | None:
        """Send the request and read its whole answer; None when the attempt failed."""
        try:
            answer = await self._context.async_open(dispatch)
            self._context.note_first_token()
            body = await answer.async_read(self._context.silence_timeout_ms)
            check_whole(answer, body)
        except WagtailusherError as err:
            self._context.fail_with(dispatch, err)
            return None
        stored = StoredAnswer(
            status=answer.status, headers=tuple(end_to_end_headers(answer)), body=body
        )
        self._node.handle_completion(self._request_id, stored)
        self._observation.completed()
        return stored
