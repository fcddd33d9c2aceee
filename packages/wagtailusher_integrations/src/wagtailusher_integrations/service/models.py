"""Requests to plain services."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import RequestId
from wagtailusher_http import Headers


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """One request to a plain service."""

    request_id: RequestId
    method: str
    target: str
    headers: Headers
    body: bytes
