"""Evidence that a request or a part of its prompt crashes endpoints: the crashes it was part of."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import combinations

from wagtailusher_core import EndpointId
from wagtailusher_quarantine.const import (
    AMBIGUOUS_CRASHES,
    DEFAULT_SAME_CRASH_MS,
    MAX_CRASHES_PER_FINGERPRINT,
)
from wagtailusher_quarantine.fingerprints import is_part


class QuarantineStatus(StrEnum):
    """The treatment of requests of one fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    HELD = "held"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class Suspect:
    """A fingerprint that was in flight on an endpoint that crashed."""

    fingerprint: str
    carrier: str = ""
    """Of a prompt part: the fingerprint of the request that brought it."""
    has_begun: bool = False
    """Whether the request's answer had just begun; others that merely waited are bystanders."""


@dataclass(slots=True)
class Crash:
    """One crash of an endpoint, at a time of this VM's clock."""

    endpoint_id: EndpointId
    crashed_ms: int
    carriers: set[str] = field(default_factory=set)
    """Of a prompt part: the fingerprints of the requests that brought it."""
    has_begun: bool = False
    """Whether the answer had just begun, so that other requests in flight are bystanders."""
    told_by: str = ""
    """VM that reported the crash, empty for this one."""
    sends: int = 0

    def is_same_event(self, endpoint_id: EndpointId, crashed_ms: int) -> bool:
        """Return whether a report is of this crash."""
        if endpoint_id != self.endpoint_id:
            return False
        return abs(crashed_ms - self.crashed_ms) <= DEFAULT_SAME_CRASH_MS

    def add_report(self, report: Crash) -> bool:
        """Add another report of this crash; return whether it tells anything new."""
        if report.carriers <= self.carriers and self.has_begun >= report.has_begun:
            return False
        self.carriers |= report.carriers
        self.has_begun = self.has_begun or report.has_begun
        self.sends = 0
        return True


@dataclass(slots=True)
class Evidence:
    """The evidence against one fingerprint."""

    fingerprint: str
    innocent_ms: int = 0
    """Time after a complete answer in which crashes don't count."""
    crashes: list[Crash] = field(default_factory=list)
    cleared_ms: int | None = None
    held_ms: int | None = None
    quarantined_ms: int | None = None
    requested_ms: int | None = None
    """When a request was refused last."""
    probes: int = 0
    quarantine_sends: int = 0
    cleared_sends: int | None = None
    """How often a complete answer was told to other VMs; None if they need not know it."""

    @property
    def newest_ms(self) -> int:
        """Return the time of the newest crash, clearing, refusal or quarantine."""
        timestamps = [crash.crashed_ms for crash in self.crashes]
        timestamps.extend(
            timestamp
            for timestamp in (self.cleared_ms, self.quarantined_ms, self.requested_ms)
            if timestamp is not None
        )
        return max(timestamps, default=0)

    def is_cleared_at(self, timestamp_ms: int) -> bool:
        """Return whether a complete answer contradicts an accusation of this time."""
        return self.cleared_ms is not None and timestamp_ms <= self.cleared_ms + self.innocent_ms

    def add_crash(self, crash: Crash) -> bool:
        """Add a crash; return whether it tells anything new and is newer than the last success."""
        if self.is_cleared_at(crash.crashed_ms):
            return False
        known = self.find_crash(crash)
        if known is not None:
            return known.add_report(crash)
        self.crashes.append(crash)
        self.crashes.sort(key=lambda item: item.crashed_ms)
        del self.crashes[:-MAX_CRASHES_PER_FINGERPRINT]
        return True

    def find_crash(self, crash: Crash) -> Crash | None:
        """Return this fingerprint's record of a crash, if it was in flight then."""
        for item in self.crashes:
            if item.is_same_event(crash.endpoint_id, crash.crashed_ms):
                return item
        return None

    def clear(self, now_ms: int) -> None:
        """Remove the crashes so far, as a request of this fingerprint ran without one."""
        self.cleared_ms = now_ms
        self.held_ms = None
        self.quarantined_ms = None
        self.requested_ms = None
        self.probes = 0
        self.crashes = [item for item in self.crashes if not self.is_cleared_at(item.crashed_ms)]

    def crashes_since(self, since_ms: int) -> list[Crash]:
        """Return the crashes after since_ms."""
        return [crash for crash in self.crashes if crash.crashed_ms > since_ms]


def is_culprit(
    evidence: Evidence, others: Iterable[Evidence], since_ms: int, *, min_waiting_crashes: int
) -> bool:
    """Return whether the crashes after since_ms accuse this fingerprint.

    They do if some two of them have only this fingerprint in common. A part must have come with
    different requests, as the parts of one request can't be told from the request. A request that
    waited at all of its crashes, which may be chance, needs `min_waiting_crashes` of them.
    """
    others = tuple(others)
    crashes = [
        crash
        for crash in evidence.crashes_since(since_ms)
        if crash.has_begun or not any(_has_begun_at(other, crash) for other in others)
    ]
    if is_part(evidence.fingerprint) and _is_ambiguous_part(crashes, others):
        return True
    if len(crashes) < min_waiting_crashes and not any(crash.has_begun for crash in crashes):
        return False
    return any(
        not any(_explains(other, evidence, pair, others) for other in others)
        for pair in combinations(crashes, 2)
        if not is_part(evidence.fingerprint) or len(pair[0].carriers | pair[1].carriers) > 1
    )


def _is_ambiguous_part(crashes: list[Crash], others: tuple[Evidence, ...]) -> bool:
    """Return whether a part is refused though other parts were in all of its crashes, too.

    It isn't if one request was in so many of them that it explains them.
    """
    carriers = set[str]().union(*(crash.carriers for crash in crashes))
    if len(crashes) < AMBIGUOUS_CRASHES or len(carriers) < 2:
        return False
    return not any(
        sum(other.find_crash(crash) is not None for crash in crashes) > 1
        for other in others
        if not is_part(other.fingerprint)
    )


def _has_begun_at(evidence: Evidence, crash: Crash) -> bool:
    """Return whether the answer to a request of this fingerprint had just begun at a crash."""
    known = evidence.find_crash(crash)
    return known is not None and known.has_begun


def _explains(
    other: Evidence, evidence: Evidence, pair: tuple[Crash, Crash], others: tuple[Evidence, ...]
) -> bool:
    """Return whether another fingerprint explains two crashes as well.

    A part that only this very request brought is no other explanation.
    """
    found = [other.find_crash(crash) for crash in pair]
    known = [item for item in found if item is not None]
    if len(known) < len(pair):
        return False
    is_own_part = is_part(other.fingerprint) and not is_part(evidence.fingerprint)
    if is_own_part and all(item.carriers <= {evidence.fingerprint} for item in known):
        return False
    suspects = (evidence, *(item for item in others if item is not other))
    return all(
        item.has_begun or not any(_has_begun_at(suspect, item) for suspect in suspects)
        for item in known
    )
