"""Carries one request that may not be repeated; it goes on when its caller leaves."""

from __future__ import annotations

import logging

from wagtailusher_core import WagtailusherError
from wagtailusher_daemon.answers import end_to_end_headers, refusal_response, stored_response
from wagtailusher_daemon.classify import Classified
from wagtailusher_daemon.exchange import check_whole
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.observation import Observation
from wagtailusher_daemon.upstream import Upstream, end_of
from wagtailusher_http import Request, Response
from wagtailusher_once import ForwardTo, StoredAnswer
from wagtailusher_router import Dispatch, Forward, ReplayAnswer, Stranded

_LOGGER = logging.getLogger(__name__)


class OnceExchange:
    """One request's task state; the answer is whole before any of it is relayed."""

    def __init__(
        self,
        request: Request,
        classified: Classified,
        *,
        node: RouterNode,
        upstream: Upstream,
        forwarder: Forwarder,
        observation: Observation,
        silence_timeout_ms: int,
    ) -> None:
        """Hand the request to the node."""
        self._request = request
        self._classified = classified
        self._node = node
        self._upstream = upstream
        self._forwarder = forwarder
        self._observation = observation
        self._silence_timeout_ms = silence_timeout_ms
        self._request_id = classified.arrival.request_id
        self._mailbox = node.arrive(classified.arrival)

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
                elif isinstance(message, Stranded):
                    await self._async_hand_over(message)
                elif isinstance(message, Forward):
                    self._observation.forwarded(message)
                    return await self._forwarder.async_forward(
                        self._request, message, self._observation.age_ms
                    )
                else:
                    self._observation.refused(message.code, message.outcome)
                    return refusal_response(message)
        finally:
            self._node.close(self._request_id)

    async def _async_hand_over(self, stranded: Stranded) -> None:
        """Ask a peer for a ticket and give it the right to run; what follows is a message."""
        ticket = await self._forwarder.async_ticket(stranded.peer_id)
        if ticket is not None:
            successor = ForwardTo(home_id=stranded.peer_id, ticket=ticket)
            self._node.hand_over(self._request_id, successor)

    async def _async_attempt(self, dispatch: Dispatch) -> StoredAnswer | None:
        """Send the request and read its whole answer; None when the attempt failed."""
        traceparent = self._observation.dispatched(dispatch)
        try:
            answer = await self._upstream.async_open(
                dispatch,
                self._classified.call,
                traceparent=traceparent,
                may_send=lambda: self._node.may_send(self._request_id),
            )
            self._node.first_token(self._request_id)
            self._observation.first_token()
            body = await answer.async_read(self._silence_timeout_ms)
            check_whole(answer, body)
        except WagtailusherError as err:
            _LOGGER.info(
                "Exchange: attempt %s of %s at %s failed: %s",
                dispatch.attempt,
                self._request_id,
                dispatch.endpoint_id,
                err.code,
            )
            end = end_of(err)
            self._observation.attempt_failed(end)
            self._node.attempt_failed(self._request_id, end)
            return None
        stored = StoredAnswer(
            status=answer.status, headers=tuple(end_to_end_headers(answer)), body=body
        )
        self._node.complete(self._request_id, stored)
        self._observation.completed()
        return stored
