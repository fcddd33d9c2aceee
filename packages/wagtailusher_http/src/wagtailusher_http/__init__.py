"""HTTP on both sides as asyncio tasks over h11."""

from __future__ import annotations

from wagtailusher_http.client import ClientAnswer, HttpClient
from wagtailusher_http.const import ClientLimits, HttpLimits
from wagtailusher_http.events import EVENT_END, cut_events, is_events
from wagtailusher_http.exceptions import (
    AnswerError,
    AnswerTruncatedError,
    BodyTooLargeError,
    ConnectError,
    HttpError,
    SendVetoedError,
    SilentConnectionError,
)
from wagtailusher_http.headers import Headers
from wagtailusher_http.messages import (
    BodyPump,
    BodySink,
    Request,
    Response,
    error_response,
    json_response,
)
from wagtailusher_http.server import Handler, HttpServer, async_serve

__all__ = [
    "AnswerError",
    "AnswerTruncatedError",
    "BodyPump",
    "BodySink",
    "BodyTooLargeError",
    "ClientAnswer",
    "ClientLimits",
    "ConnectError",
    "EVENT_END",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "Request",
    "Response",
    "SendVetoedError",
    "SilentConnectionError",
    "async_serve",
    "cut_events",
    "error_response",
    "is_events",
    "json_response",
]
