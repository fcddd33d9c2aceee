"""Evidence that a request crashes endpoints: the crashes at which it was in flight."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations

from wagtailusher_core import EndpointId
from wagtailusher_once.const import DEFAULT_SAME_CRASH_MS, MAX_CRASHES_PER_FINGERPRINT


class QuarantineStatus(StrEnum):
    """How requests of one fingerprint are to be treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    HELD = "held"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Crash:
    """One crash of an endpoint, as one VM dates it."""

    endpoint_id: EndpointId
    crashed_ms: int
    sends: int = 0

    def is_same_event(self, endpoint_id: EndpointId, crashed_ms: int) -> bool:
        """Return whether two reports are of one crash."""
        if endpoint_id != self.endpoint_id:
            return False
        return abs(crashed_ms - self.crashed_ms) <= DEFAULT_SAME_CRASH_MS


@dataclass(slots=True)
class Evidence:
    """What is known against one fingerprint."""

    fingerprint: str
    crashes: list[Crash] = field(default_factory=list)
    cleared_ms: int | None = None
    held_ms: int | None = None
    quarantined_ms: int | None = None
    quarantine_sends: int = 0

    @property
    def newest_ms(self) -> int:
        """Return when the evidence last grew."""
        stamps = [crash.crashed_ms for crash in self.crashes]
        stamps.extend(
            stamp for stamp in (self.cleared_ms, self.quarantined_ms) if stamp is not None
        )
        return max(stamps, default=0)

    def add_crash(self, endpoint_id: EndpointId, crashed_ms: int) -> bool:
        """Add a crash and return whether it was news."""
        if self.cleared_ms is not None and crashed_ms <= self.cleared_ms:
            return False
        if self.was_in(endpoint_id, crashed_ms):
            return False
        self.crashes.append(Crash(endpoint_id, crashed_ms))
        self.crashes.sort(key=lambda crash: crash.crashed_ms)
        del self.crashes[:-MAX_CRASHES_PER_FINGERPRINT]
        return True

    def was_in(self, endpoint_id: EndpointId, crashed_ms: int) -> bool:
        """Return whether a request of this fingerprint was in flight at a crash."""
        return any(crash.is_same_event(endpoint_id, crashed_ms) for crash in self.crashes)

    def clear(self, now_ms: int) -> None:
        """Drop the crashes so far: a request of this fingerprint ran without one."""
        self.cleared_ms = now_ms
        self.held_ms = None
        self.crashes.clear()

    def recent(self, since_ms: int) -> list[Crash]:
        """Return the crashes after a time."""
        return [crash for crash in self.crashes if crash.crashed_ms > since_ms]


def is_alone_in_two(evidence: Evidence, others: Iterable[Evidence], since_ms: int) -> bool:
    """Return whether two crashes after a time have only this fingerprint in common."""
    pairs = list(combinations(evidence.recent(since_ms), 2))
    if not pairs:
        return False
    for other in others:
        pairs = [
            (first, second) for first, second in pairs if not _was_in_both(other, first, second)
        ]
        if not pairs:
            return False
    return bool(pairs)


def _was_in_both(other: Evidence, first: Crash, second: Crash) -> bool:
    """Return whether another fingerprint shares two crashes."""
    return other.was_in(first.endpoint_id, first.crashed_ms) and other.was_in(
        second.endpoint_id, second.crashed_ms
    )
