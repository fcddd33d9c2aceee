"""Requests and responses of the serving side."""

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
    """A whole request; its handler is cancelled when the caller leaves."""

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
        """Return the query's last value of each name."""
        return dict(parse_qsl(urlsplit(self.target).query))


class BodySink(Protocol):
    """Where a pump writes the chunks of a body."""

    @property
    def needs_drain(self) -> bool:
        """Tell whether to wait before more is written."""

    def write(self, chunk: bytes) -> None:
        """Send a chunk without waiting."""

    async def async_drain(self) -> None:
        """Wait until the caller has taken enough."""


BodyPump = Callable[[BodySink], Awaitable[None]]


@dataclass(slots=True, kw_only=True)
class Response:
    """A response with a whole body, a stream of chunks, or a pump that writes chunks itself.

    A stream that raises ends the connection without an end marker, so that the caller sees a
    broken answer instead of a short one. `on_end` is called once the response was sent or given
    up, even when its stream was never begun.
    """

    status: int = HTTPStatus.OK
    headers: Headers = field(default_factory=Headers)
    body: bytes | AsyncIterator[bytes] | BodyPump = b""
    on_end: Callable[[], None] | None = None


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
    """Return the JSON error that every refusal has."""
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
