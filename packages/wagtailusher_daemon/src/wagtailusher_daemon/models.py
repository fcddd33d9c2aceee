"""Models of request bodies and of the ticket answer."""

from __future__ import annotations

from typing import Any

from pydantic import BaseModel, ConfigDict, Field


class ChatRequest(BaseModel):
    """The fields of a chat completion request that routing needs; other fields are ignored here."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1)
    messages: list[Any] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)


class TicketAnswer(BaseModel):
    """A ticket for one request that may not be repeated, and where to use it."""

    model_config = ConfigDict(extra="ignore")

    ticket: str
    lifetime_ms: int
    address: str
