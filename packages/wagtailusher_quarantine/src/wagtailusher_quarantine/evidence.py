"""Evidence that a request crashes endpoints: the crashes during which it was in flight."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations

from wagtailusher_core import EndpointId
from wagtailusher_quarantine.const import DEFAULT_SAME_CRASH_MS, MAX_CRASHES_PER_FINGERPRINT


class QuarantineStatus(StrEnum):
    """The treatment of requests of one fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    HELD = "held"
    QUARANTINED = "quarantined"


@dataclass(slots=True)
class Crash:
    """One crash of an endpoint, at a time of this VM's clock."""

    endpoint_id: EndpointId
    crashed_ms: int
    sends: int = 0

    def is_same_event(self, endpoint_id: EndpointId, crashed_ms: int) -> bool:
        """Return whether a report is of this crash."""
        if endpoint_id != self.endpoint_id:
            return False
        return abs(crashed_ms - self.crashed_ms) <= DEFAULT_SAME_CRASH_MS


@dataclass(slots=True)
class Evidence:
    """The evidence against one fingerprint."""

    fingerprint: str
    crashes: list[Crash] = field(default_factory=list)
    cleared_ms: int | None = None
    held_ms: int | None = None
    quarantined_ms: int | None = None
    quarantine_sends: int = 0

    @property
    def newest_ms(self) -> int:
        """Return the time of the newest crash, clearing or quarantine."""
        timestamps = [crash.crashed_ms for crash in self.crashes]
        timestamps.extend(
            timestamp
            for timestamp in (self.cleared_ms, self.quarantined_ms)
            if timestamp is not None
        )
        return max(timestamps, default=0)

    def add_crash(self, endpoint_id: EndpointId, crashed_ms: int) -> bool:
        """Add a crash; return whether it was unknown and newer than the last success."""
        if self.cleared_ms is not None and crashed_ms <= self.cleared_ms:
            return False
        if self.was_in_flight_at(endpoint_id, crashed_ms):
            return False
        self.crashes.append(Crash(endpoint_id, crashed_ms))
        self.crashes.sort(key=lambda crash: crash.crashed_ms)
        del self.crashes[:-MAX_CRASHES_PER_FINGERPRINT]
        return True

    def was_in_flight_at(self, endpoint_id: EndpointId, crashed_ms: int) -> bool:
        """Return whether a request of this fingerprint was in flight during a crash."""
        return any(crash.is_same_event(endpoint_id, crashed_ms) for crash in self.crashes)

    def clear(self, now_ms: int) -> None:
        """Remove the crashes so far, as a request of this fingerprint ran without one."""
        self.cleared_ms = now_ms
        self.held_ms = None
        self.crashes.clear()

    def crashes_since(self, since_ms: int) -> list[Crash]:
        """Return the crashes after since_ms."""
        return [crash for crash in self.crashes if crash.crashed_ms > since_ms]


def is_only_common_fingerprint(
    evidence: Evidence, others: Iterable[Evidence], since_ms: int
) -> bool:
    """Return whether some two crashes after since_ms have only this fingerprint in common."""
    pairs = list(combinations(evidence.crashes_since(since_ms), 2))
    if not pairs:
        return False
    for other in others:
        pairs = [
            (first, second)
            for first, second in pairs
            if not _was_in_flight_at_both(other, first, second)
        ]
        if not pairs:
            return False
    return bool(pairs)


def _was_in_flight_at_both(other: Evidence, first: Crash, second: Crash) -> bool:
    """Return whether another fingerprint was in flight during both crashes."""
    return other.was_in_flight_at(first.endpoint_id, first.crashed_ms) and other.was_in_flight_at(
        second.endpoint_id, second.crashed_ms
    )
