"""What callers and endpoints observed in one run, with all times on one clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from tests.soak.const import DEADLINE_MS

MEMBERS = "members"
GUESTS = "guests"
"""Workspaces; the guests' key is revoked and restored as a fault."""


class Kind(StrEnum):
    """The first segment of a path, which determines whether requests may be repeated."""

    BOOK = "book"
    """Executed at most once."""
    LOOK = "look"
    """Repeatable."""
    REVIEW = "review"
    """A stream that may be resumed at another endpoint."""
    CHAT = "chat"
    """A stream that may not be resumed at another endpoint."""
    PROBE = "probe"
    """Repeatable; each version of the configuration routes it to a different service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SentRequest:
    """A request sent by a caller."""

    attempt_id: str
    kind: Kind
    entry: str
    incarnation: int
    """Counts the starts of the entry's process."""
    at_ms: int
    path: str
    workspace: str = MEMBERS
    """Workspace of the key that the caller sends."""
    deadline_ms: int = DEADLINE_MS
    resumes: str = ""
    """The attempt that brought the first event of the stream that is taken up, if any."""
    resumes_after: int = 0
    """Number of the last event that the caller received."""

    @property
    def stream_id(self) -> str:
        """Return the attempt that began the stream."""
        return self.resumes or self.attempt_id


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """The answer that a caller received; status 0 if the connection ended without one."""

    attempt_id: str
    status: int
    body: bytes
    is_complete: bool
    at_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """A request that an endpoint began to execute."""

    attempt_id: str
    endpoint_id: str
    service: str
    at_ms: int
    path: str
    workspace: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordedChange:
    """A change that the operator or an endpoint made, such as a write to the store."""

    at_ms: int
    change_kind: str
    """`drain`, `cold`, `warm`, `version`, `revoke`, `restore`, `serve` or `leave`."""
    subject: str
    """The endpoint, the version, the workspace that holds the key, or the software version."""


@dataclass(slots=True)
class Observations:
    """All observations of one run."""

    sent: dict[str, SentRequest] = field(default_factory=dict)
    answered: list[CallerAnswer] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    changes: list[RecordedChange] = field(default_factory=list)
    fault_periods: list[tuple[str, int, int]] = field(default_factory=list)
    """Entry, endpoint (for its link) or `store`, with the start and end of a fault."""
    faults_ended_ms: int = 0
    """When the last fault ended."""
    unexpected_exits: list[str] = field(default_factory=list)
    """Processes that exited before the run stopped them."""

    def is_fault_free(self, names: Iterable[str], at_ms: int, fault_free_ms: int) -> bool:
        """Return whether `names` and the store had no fault in the last `fault_free_ms`."""
        subjects = {*names, "store"}
        return not any(
            name in subjects and start_ms <= at_ms and end_ms > at_ms - fault_free_ms
            for name, start_ms, end_ms in self.fault_periods
        )
