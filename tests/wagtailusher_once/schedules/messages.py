"""Messages between callers, nodes and the endpoint of the schedules."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One attempt of a request with a ticket or a key, or with its successor's ticket."""

    caller: str
    number: int
    booking: str
    handle: str
    body: bytes
    is_key: bool = False
    first_sent_wall_ms: int = 0
    first_attempt: bool = False
    successor: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The reply to one attempt; without an outcome the request is still in progress."""

    number: int
    handle: str
    outcome: Outcome | None
    answer: bytes = b""
    is_evicted: bool = False
    is_home_gone: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """A request that a node sends to the endpoint."""

    handle: str
    booking: str
    body: bytes


def answer_to(body: bytes) -> bytes:
    """Return the complete answer to a body."""
    return b"<" + body + b">"
