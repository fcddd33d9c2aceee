"""Client library for callers: address lookup, tickets and retries."""

from __future__ import annotations

from wagtailusher_client.client import CallerClient
from wagtailusher_client.errors import (
    BrokenAnswerError,
    CallerError,
    NoAddressError,
    RefusedError,
    UnknownOutcomeError,
)
from wagtailusher_client.models import Answer, ClientLimits

__all__ = [
    "Answer",
    "BrokenAnswerError",
    "CallerClient",
    "CallerError",
    "ClientLimits",
    "NoAddressError",
    "RefusedError",
    "UnknownOutcomeError",
]
