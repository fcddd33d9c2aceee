"""HTTP/1.1 client and server for asyncio, built on h11."""

from __future__ import annotations

from wagtailusher_http.buffer_budget import BufferBudget
from wagtailusher_http.caller_budget import CallerBudget
from wagtailusher_http.client import ClientAnswer, HttpClient
from wagtailusher_http.const import ClientLimits, HttpLimits
from wagtailusher_http.events import (
    END_MARKER,
    EVENT_DELIMITER,
    event_id,
    is_event,
    is_event_stream,
    split_complete_events,
)
from wagtailusher_http.exceptions import (
    AnswerError,
    AnswerEvictedError,
    AnswerMixedError,
    AnswerProtocolError,
    AnswerTooLargeError,
    AnswerTruncatedError,
    BodyTooLargeError,
    ConnectError,
    HttpError,
    ReadTimeoutError,
    SendCancelledError,
    StaleConnectionError,
)
from wagtailusher_http.foreign_bytes import StatesRequest
from wagtailusher_http.headers import Headers
from wagtailusher_http.large_blocks import return_large_blocks
from wagtailusher_http.matching import ResponseMatcher, match_identifier
from wagtailusher_http.messages import (
    BodySink,
    BodyWriter,
    Request,
    Response,
    error_response,
    json_response,
)
from wagtailusher_http.server import Handler, HttpServer, async_serve

__all__ = [
    "AnswerError",
    "AnswerEvictedError",
    "AnswerMixedError",
    "AnswerProtocolError",
    "AnswerTooLargeError",
    "AnswerTruncatedError",
    "BodyWriter",
    "BodySink",
    "BufferBudget",
    "CallerBudget",
    "BodyTooLargeError",
    "ClientAnswer",
    "ClientLimits",
    "ConnectError",
    "END_MARKER",
    "EVENT_DELIMITER",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "ReadTimeoutError",
    "Request",
    "Response",
    "ResponseMatcher",
    "SendCancelledError",
    "StaleConnectionError",
    "StatesRequest",
    "async_serve",
    "error_response",
    "event_id",
    "is_event",
    "is_event_stream",
    "json_response",
    "match_identifier",
    "return_large_blocks",
    "split_complete_events",
]
