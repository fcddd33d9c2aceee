"""Mapping between HTTP headers and the gateway's types; implemented by a platform's adapter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wagtailusher_core import EndpointId, WorkspaceId
from wagtailusher_gateway.models import AnswerTerms, RequestTerms
from wagtailusher_http import Headers, Response


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardContext:
    """Values that are added to the headers of a request sent to an endpoint."""

    endpoint_id: EndpointId
    left_ms: int
    workspace_id: WorkspaceId | None
    rank: int
    resume_after: str | None = None
    """Identifier of the last event that the caller received; a stream resumes after it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressAnswer:
    """Addresses that a caller may use, and how long it may cache them."""

    addresses: tuple[str, ...]
    lifetime_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpMapping:
    """Functions that parse and build the platform's HTTP headers."""

    read_request: Callable[[Headers], RequestTerms]
    """Raises RefusedError for headers that can't be parsed."""
    request_headers: Callable[[Headers, ForwardContext], Headers]
    read_answer: Callable[[int, Headers], AnswerTerms]
    private_fields: frozenset[str]
    """Names of headers in endpoints' answers that are meant for the gateway, in lower case."""
    answer_id: Callable[[Headers], str | None]
    """Returns the identifier of the request that an answer belongs to, or None if not stated."""
    retry_after: Callable[[int], str]
    """Formats a time in ms as the value of the Retry-After header."""
    address_answer: Callable[[AddressAnswer], Response]
    address_path: str
    ready_path: str
