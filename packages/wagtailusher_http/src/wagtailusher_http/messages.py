"""Requests and responses of the HTTP server."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
import json
from typing import Any, Protocol
from urllib.parse import parse_qsl, urlsplit

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_http.headers import Headers

JSON_TYPE = "application/json"
RETRY_AFTER_STEP_MS = 1000


@dataclass(slots=True, kw_only=True)
class Request:
    """A complete request; its handler is cancelled when the caller disconnects."""

    method: str
    target: str
    headers: Headers
    body: bytes
    peer: str

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query parameters; the last value of a repeated name wins."""
        return dict(parse_qsl(urlsplit(self.target).query))


class BodySink(Protocol):
    """Receives the chunks of a response body from a body writer."""

    @property
    def needs_drain(self) -> bool:
        """Return whether to await `async_drain` before writing more."""

    def write(self, chunk: bytes) -> None:
        """Send a chunk without waiting."""

    async def async_drain(self) -> None:
        """Wait until the write buffer is below its limit."""


BodyWriter = Callable[[BodySink], Awaitable[None]]


@dataclass(slots=True, kw_only=True)
class Response:
    """A response whose body is bytes, an iterator of chunks, or a function that writes chunks.

    When a streamed body raises an error, the connection is closed without an end marker, so that
    the caller detects a truncated response. `on_end` is called once the response was sent or
    aborted, even when its stream was never started.
    """

    status: int = HTTPStatus.OK
    headers: Headers = field(default_factory=Headers)
    body: bytes | AsyncIterator[bytes] | BodyWriter = b""
    on_end: Callable[[], None] | None = None
    held_bytes: int = 0
    """Bytes that a body writer holds until its end; those of a body of bytes are known."""


def json_response(status: int, value: Any, headers: Headers | None = None) -> Response:
    """Return a response with a JSON body."""
    fields = headers or Headers()
    return Response(
        status=status,
        headers=fields.with_header("content-type", JSON_TYPE),
        body=json.dumps(value, separators=(",", ":")).encode(),
    )


def error_response(
    status: int,
    code: ErrorCode,
    message: str,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int | None = None,
    extra: dict[str, Any] | None = None,
) -> Response:
    """Return a JSON error response in the format common to all refusals."""
    error = {
        "code": str(code),
        "message": message,
        "outcome": str(outcome),
        "retry_after_ms": retry_after_ms,
    }
    headers = Headers()
    if retry_after_ms is not None:
        seconds = -(-retry_after_ms // RETRY_AFTER_STEP_MS)
        headers = headers.with_header("retry-after", str(seconds))
    return json_response(status, {"error": error | (extra or {})}, headers)
