"""What callers and endpoints saw in one play, with times on one clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

MEMBERS = "members"
GUESTS = "guests"
"""Workspaces; the guests' key is taken away now and then."""


class Kind(StrEnum):
    """The first part of a path, which tells what may be done with its requests."""

    BOOK = "book"
    """Runs at most once."""
    LOOK = "look"
    """May run again."""
    REVIEW = "review"
    """A stream that may go on elsewhere."""
    CHAT = "chat"
    """A stream that may not."""
    PROBE = "probe"
    """May run again; each version of the configuration sends it to another service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """A request that a caller sent."""

    attempt_id: str
    kind: Kind
    entry: str
    incarnation: int
    """Counts the starts of the entry's process."""
    at_ms: int
    path: str
    workspace: str = MEMBERS
    """Whose key the caller shows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """What a caller got; the status is 0 when the connection ended without an answer."""

    attempt_id: str
    status: int
    body: bytes
    is_whole: bool
    at_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that an endpoint began to work on."""

    attempt_id: str
    endpoint_id: str
    service: str
    at_ms: int
    path: str
    workspace: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Something that the operator or an endpoint wrote to the store."""

    at_ms: int
    what: str
    """`drain`, `cold`, `warm`, `version`, `revoke` or `restore`."""
    subject: str
    """The endpoint, the version or the workspace whose key is concerned."""


@dataclass(slots=True)
class Observations:
    """Everything that was seen."""

    sent: dict[str, Sent] = field(default_factory=dict)
    answered: list[Answered] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    disturbed: list[tuple[str, int, int]] = field(default_factory=list)
    """Entry, endpoint (its link) or `store`, and from when to when a fault held."""
    calm_from_ms: int = 0
    """When the last fault was over."""
    ended_alone: list[str] = field(default_factory=list)
    """Processes that ended without a signal."""

    def is_calm(self, names: Iterable[str], at_ms: int, contact_ms: int) -> bool:
        """Tell whether those named and the store were without fault for a while."""
        concerned = {*names, "store"}
        return not any(
            who in concerned and start_ms <= at_ms and end_ms > at_ms - contact_ms
            for who, start_ms, end_ms in self.disturbed
        )
