"""What callers, nodes and the endpoint of the schedules tell each other."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """One sending of a request under a ticket or a key, or under the ticket that succeeds it."""

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
    """What a caller is told about one attempt; no outcome means that it is still running."""

    number: int
    handle: str
    outcome: Outcome | None
    answer: bytes = b""
    is_evicted: bool = False
    is_home_gone: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """What a node sends to the endpoint."""

    handle: str
    booking: str
    body: bytes


def answer_to(body: bytes) -> bytes:
    """Return the whole answer to a body."""
    return b"<" + body + b">"
