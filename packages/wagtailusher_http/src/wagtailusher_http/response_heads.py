"""Receives the head of the response to a request, and skips those to other requests."""

from __future__ import annotations

import h11

from wagtailusher_http.client_connection import ClientConnection, loop_now_ms
from wagtailusher_http.const import MAX_UNMATCHED_RESPONSES
from wagtailusher_http.exceptions import AnswerProtocolError, ReadTimeoutError
from wagtailusher_http.headers import Headers
from wagtailusher_http.matching import ResponseMatcher, contains_status_line


async def async_receive_response_head(
    connection: ClientConnection,
    method: str,
    matches_request: ResponseMatcher | None,
    timeout_ms: int,
    unmatched_timeout_ms: int | None,
) -> h11.Response:
    """Return the head of the response to a request, the first one without `matches_request`.

    Raises AnswerProtocolError when only others arrive within `unmatched_timeout_ms`, by default
    `timeout_ms`.
    """
    head = await connection.async_receive_head(timeout_ms)
    if matches_request is None:
        return head
    ends_ms = loop_now_ms() + (unmatched_timeout_ms or timeout_ms)
    try:
        for _ in range(MAX_UNMATCHED_RESPONSES):
            if contains_status_line(head):
                raise AnswerProtocolError(f"{connection.address} sent an incomplete head")
            if matches_request(Headers.from_raw(head.headers)):
                return head
            await connection.async_skip_answer(method, max(0, ends_ms - loop_now_ms()))
            head = await connection.async_receive_head(max(0, ends_ms - loop_now_ms()))
    except ReadTimeoutError as err:
        raise AnswerProtocolError(
            f"{connection.address} sent only a response to another request"
        ) from err
    raise AnswerProtocolError(f"{connection.address} sent only responses to other requests")
