"""Messages about requests that crash endpoints, exchanged between VMs."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId
from wagtailusher_quarantine.evidence import Crash, Evidence


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineEntry:
    """One crash of one fingerprint, or its quarantine."""

    fingerprint: str
    endpoint_ids: tuple[EndpointId, ...]
    quarantined: bool
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSummary:
    """A message with evidence about requests that crash endpoints."""

    entries: tuple[QuarantineEntry, ...] = ()


@dataclass(slots=True)
class SummaryItem:
    """One piece of evidence that can be sent."""

    evidence: Evidence
    crash: Crash | None

    @property
    def sends(self) -> int:
        """Return how many times this VM sent the item."""
        return self.evidence.quarantine_sends if self.crash is None else self.crash.sends

    @property
    def is_urgent(self) -> bool:
        """Return whether the item is evidence against a fingerprint that is refused here."""
        return self.crash is None or self.evidence.held_ms is not None

    @property
    def timestamp_ms(self) -> int:
        """Return the time of the crash or of the quarantine."""
        if self.crash is not None:
            return self.crash.crashed_ms
        return self.evidence.quarantined_ms or 0

    def send(self, now_ms: int) -> QuarantineEntry:
        """Count the item as sent once more and return its entry."""
        if self.crash is None:
            self.evidence.quarantine_sends += 1
        else:
            self.crash.sends += 1
        return QuarantineEntry(
            fingerprint=self.evidence.fingerprint,
            endpoint_ids=() if self.crash is None else (self.crash.endpoint_id,),
            quarantined=self.crash is None,
            age_ms=max(0, now_ms - self.timestamp_ms),
        )
