"""How callers' and endpoints' HTTP is read and written; a platform's adapter supplies it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wagtailusher_core import EndpointId, WorkspaceId
from wagtailusher_gateway.models import AnswerTerms, RequestTerms
from wagtailusher_http import Headers, Response


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardContext:
    """What the gateway adds to a request that goes to an endpoint."""

    endpoint_id: EndpointId
    left_ms: int
    workspace_id: WorkspaceId | None
    rank: int
    resume_after: str | None = None
    """Identifier of the last event that the caller has, to resume a stream after it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressAnswer:
    """The addresses that a caller may use, and for how long."""

    addresses: tuple[str, ...]
    lifetime_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpMapping:
    """Functions between HTTP fields and the gateway's types."""

    read_request: Callable[[Headers], RequestTerms]
    """Raises RefusedError for fields that can't be read."""
    request_headers: Callable[[Headers, ForwardContext], Headers]
    read_answer: Callable[[int, Headers], AnswerTerms]
    answer_id: Callable[[Headers], str | None]
    """Returns the identifier of the request that an answer names, if it names one."""
    retry_after: Callable[[int], str]
    """Turns a time in ms into the value of the Retry-After field."""
    address_answer: Callable[[AddressAnswer], Response]
    address_path: str
    ready_path: str
