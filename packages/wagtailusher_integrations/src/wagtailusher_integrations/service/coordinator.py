"""Sends calls to plain services."""

from __future__ import annotations

from collections.abc import Callable

from wagtailusher_http import ClientAnswer, Headers, HttpClient, match_identifier
from wagtailusher_integrations.service.const import (
    DEFAULT_UNMATCHED_TIMEOUT_MS,
    HEADER_REQUEST_ID,
    SECRET_HEADERS,
)
from wagtailusher_integrations.service.models import ServiceCall


class ServiceCoordinator:
    """Calls plain services; a caller's credentials are not forwarded."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def async_send(
        self,
        address: str,
        call: ServiceCall,
        *,
        may_send: Callable[[], bool],
        head_timeout_ms: int,
    ) -> ClientAnswer:
        """Send a call over a new connection and return its answer.

        Services need not echo the request ID. An answer without it belongs to the call because its
        connection carries no other; one with another ID is skipped. A response within its body may
        be a second answer, unless only the first one has the ID: then it is quoted. Raises
        AnswerError when there is no usable answer.
        """

        def states_request(inner: Headers) -> bool:
            return HEADER_REQUEST_ID in inner or HEADER_REQUEST_ID not in answer.headers

        headers = call.headers.without(SECRET_HEADERS).with_header(
            HEADER_REQUEST_ID, call.request_id
        )
        answer = await self._client.async_request(
            address,
            call.method,
            call.target,
            headers,
            call.body,
            may_send=may_send,
            new_connection=True,
            head_timeout_ms=head_timeout_ms,
            matches_request=match_identifier(HEADER_REQUEST_ID, call.request_id, required=False),
            states_request=states_request,
            unmatched_timeout_ms=DEFAULT_UNMATCHED_TIMEOUT_MS,
        )
        return answer
