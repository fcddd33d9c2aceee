"""Validated answers of the entry VMs, and limits of the client."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_http import Headers

DEFAULT_ATTEMPTS = 4
DEFAULT_HEAD_TIMEOUT_MS = 60_000
DEFAULT_SILENCE_TIMEOUT_MS = 20_000
DEFAULT_PAUSE_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Attempts per request, timeouts, and the pause between attempts."""

    attempts: int = DEFAULT_ATTEMPTS
    head_timeout_ms: int = DEFAULT_HEAD_TIMEOUT_MS
    silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS
    pause_ms: int = DEFAULT_PAUSE_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A complete answer."""

    status: int
    headers: Headers
    body: bytes


class _Model(BaseModel):
    """Base of all answers; unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore")


class AddressModel(_Model):
    """One entry VM that accepts requests."""

    vm_id: str
    address: str


class AddressesModel(_Model):
    """The entry VMs to use, and how long the answer may be cached."""

    addresses: list[AddressModel] = Field(min_length=1)
    lifetime_ms: int = Field(ge=0)


class TicketModel(_Model):
    """A ticket for one non-repeatable request, and the address to send it to."""

    ticket: str
    address: str


class ErrorModel(_Model):
    """The code, outcome and retry time of a refusal."""

    code: ErrorCode
    message: str = ""
    outcome: Outcome
    retry_after_ms: int | None = None


class ErrorAnswerModel(_Model):
    """The body of a refusal."""

    error: ErrorModel
