"""Messages about what crashes endpoints, exchanged between VMs."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId
from wagtailusher_quarantine.const import MAX_AGE_MS
from wagtailusher_quarantine.evidence import Crash, Evidence


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineEntry:
    """One crash that a fingerprint was part of, its quarantine, or a complete answer of it."""

    fingerprint: str
    endpoint_ids: tuple[EndpointId, ...]
    quarantined: bool
    age_ms: int
    carriers: tuple[str, ...] = ()
    """Of a prompt part: the requests that brought it."""
    has_begun: bool = False
    """Whether the answer had just begun at the crash."""
    completed: bool = False
    """Whether this is a complete answer, which contradicts older accusations."""
    probes: int = 0
    """Requests that were let through during the quarantine."""
    idle_ms: int = MAX_AGE_MS
    """Time since a request was refused last."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSummary:
    """A message with evidence about what crashes endpoints."""

    entries: tuple[QuarantineEntry, ...] = ()


@dataclass(slots=True)
class SummaryItem:
    """One piece of evidence that can be sent."""

    evidence: Evidence
    crash: Crash | None
    is_completed: bool = False

    @property
    def sends(self) -> int:
        """Return how many times this VM sent the item."""
        if self.is_completed:
            return self.evidence.cleared_sends or 0
        return self.evidence.quarantine_sends if self.crash is None else self.crash.sends

    @property
    def is_urgent(self) -> bool:
        """Return whether the item ends a refusal, or is evidence for one here."""
        evidence = self.evidence
        is_refused = evidence.held_ms is not None or evidence.quarantined_ms is not None
        return self.crash is None or is_refused

    @property
    def timestamp_ms(self) -> int:
        """Return the time of the crash, the complete answer or the quarantine."""
        if self.is_completed:
            return self.evidence.cleared_ms or 0
        if self.crash is not None:
            return self.crash.crashed_ms
        return self.evidence.quarantined_ms or 0

    def send(self, now_ms: int) -> QuarantineEntry:
        """Count the item as sent once more and return its entry."""
        evidence, crash = self.evidence, self.crash
        if self.is_completed:
            evidence.cleared_sends = (evidence.cleared_sends or 0) + 1
        elif crash is None:
            evidence.quarantine_sends += 1
        else:
            crash.sends += 1
        is_quarantine = crash is None and not self.is_completed
        requested_ms = evidence.requested_ms if is_quarantine else None
        return QuarantineEntry(
            fingerprint=evidence.fingerprint,
            endpoint_ids=() if crash is None else (crash.endpoint_id,),
            quarantined=is_quarantine,
            age_ms=max(0, now_ms - self.timestamp_ms),
            carriers=() if crash is None else tuple(sorted(crash.carriers)),
            has_begun=crash is not None and crash.has_begun,
            completed=self.is_completed,
            probes=evidence.probes if is_quarantine else 0,
            idle_ms=MAX_AGE_MS if requested_ms is None else max(0, now_ms - requested_ms),
        )
