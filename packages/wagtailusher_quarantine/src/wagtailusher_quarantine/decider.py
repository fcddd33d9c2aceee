"""Quarantines requests that crash endpoints, by evidence shared across the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
import heapq

from wagtailusher_core import EndpointId
from wagtailusher_quarantine.const import (
    DEFAULT_CULPRIT_SENDS,
    DEFAULT_EVIDENCE_LIFETIME_MS,
    DEFAULT_EXPIRY_GRACE_MS,
    DEFAULT_MAX_FINGERPRINTS,
    DEFAULT_QUARANTINE_LIFETIME_MS,
    DEFAULT_SPREAD_MS,
    DEFAULT_SUMMARY_ENTRIES,
    DEFAULT_SUSPECT_SENDS,
)
from wagtailusher_quarantine.evidence import Evidence, QuarantineStatus, is_only_common_fingerprint
from wagtailusher_quarantine.summary import (
    QuarantineEntry,
    QuarantineSummary,
    SummaryItem,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineLimits:
    """Limits of the quarantine decider, in time, memory and messages."""

    quarantine_lifetime_ms: int = DEFAULT_QUARANTINE_LIFETIME_MS
    evidence_lifetime_ms: int = DEFAULT_EVIDENCE_LIFETIME_MS
    spread_ms: int = DEFAULT_SPREAD_MS
    max_fingerprints: int = DEFAULT_MAX_FINGERPRINTS
    summary_entries: int = DEFAULT_SUMMARY_ENTRIES
    suspect_sends: int = DEFAULT_SUSPECT_SENDS
    culprit_sends: int = DEFAULT_CULPRIT_SENDS


class QuarantineDecider:
    """Refuses a request once it is the only fingerprint common to two crashes."""

    def __init__(self, *, limits: QuarantineLimits | None = None) -> None:
        self._limits = limits or QuarantineLimits()
        self._evidence: dict[str, Evidence] = {}

    def record_crash(self, fingerprint: str, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that an endpoint crashed while it ran a request of this fingerprint."""
        evidence = self._get_or_add_evidence(fingerprint, now_ms)
        if evidence.add_crash(endpoint_id, now_ms):
            self._evaluate_evidence(evidence, now_ms)

    def record_success(self, fingerprint: str, now_ms: int) -> None:
        """Record a complete response to a request of this fingerprint."""
        evidence = self._evidence.get(fingerprint)
        if (
            evidence is not None
            and self.classify(fingerprint, now_ms) is not QuarantineStatus.QUARANTINED
        ):
            evidence.clear(now_ms)

    def classify(self, fingerprint: str, now_ms: int) -> QuarantineStatus:
        """Return the current status of a fingerprint."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return QuarantineStatus.CLEAR
        self._update_status(evidence, now_ms)
        if evidence.quarantined_ms is not None:
            return QuarantineStatus.QUARANTINED
        if evidence.held_ms is not None:
            return QuarantineStatus.HELD
        return (
            QuarantineStatus.SUSPECT
            if evidence.crashes_since(self._evidence_since_ms(now_ms))
            else QuarantineStatus.CLEAR
        )

    def is_quarantined(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a request of this fingerprint must not start now."""
        return self.classify(fingerprint, now_ms) in (
            QuarantineStatus.HELD,
            QuarantineStatus.QUARANTINED,
        )

    def crashed_endpoints(self, fingerprint: str, now_ms: int) -> frozenset[EndpointId]:
        """Return the endpoints that crashed while they ran a request of this fingerprint."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return frozenset()
        recent_crashes = evidence.crashes_since(self._evidence_since_ms(now_ms))
        return frozenset(crash.endpoint_id for crash in recent_crashes)

    def can_colocate(self, fingerprint: str, others: Iterable[str], now_ms: int) -> bool:
        """Return whether a request may run on an endpoint together with others.

        Two suspects never run together, so that the next crash distinguishes them.
        """
        if self.classify(fingerprint, now_ms) is QuarantineStatus.CLEAR:
            return True
        return all(
            other == fingerprint or self.classify(other, now_ms) is QuarantineStatus.CLEAR
            for other in others
        )

    def list_entries(self, now_ms: int) -> tuple[QuarantineEntry, ...]:
        """Return the evidence against each fingerprint, for operators."""
        return tuple(
            QuarantineEntry(
                fingerprint=fingerprint,
                endpoint_ids=tuple(sorted(self.crashed_endpoints(fingerprint, now_ms))),
                quarantined=self.is_quarantined(fingerprint, now_ms),
                age_ms=max(0, now_ms - evidence.newest_ms),
            )
            for fingerprint, evidence in tuple(self._evidence.items())
        )

    def retry_after_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return the time in milliseconds after which to retry a failed request, 0 for at once.

        By then the evidence has been disseminated, so that a retry meets it at any VM.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.crashes:
            return 0
        disseminated_ms = evidence.crashes[-1].crashed_ms + self._limits.spread_ms
        return max(0, disseminated_ms - now_ms)

    def summary(self, now_ms: int) -> QuarantineSummary:
        """Return the evidence to send next: urgent entries, then the least often sent ones."""
        self._expire(now_ms)
        chosen = heapq.nsmallest(
            self._limits.summary_entries, self._sendable_items(now_ms), key=self._send_priority
        )
        return QuarantineSummary(entries=tuple(item.send(now_ms) for item in chosen))

    def has_unsent_evidence(self, now_ms: int) -> bool:
        """Return whether some evidence was sent fewer times than required to reach all VMs."""
        return any(item.sends < self._required_sends(item) for item in self._sendable_items(now_ms))

    def merge(self, summary: QuarantineSummary, now_ms: int) -> None:
        """Merge another VM's evidence; the order and number of merges do not matter."""
        changed = [
            evidence
            for entry in summary.entries
            if (evidence := self._merge_entry(entry, now_ms)) is not None
        ]
        for evidence in changed:
            self._evaluate_evidence(evidence, now_ms)

    def _required_sends(self, item: SummaryItem) -> int:
        """Return how many times an item must be sent."""
        return self._limits.culprit_sends if item.is_urgent else self._limits.suspect_sends

    def _send_priority(self, item: SummaryItem) -> tuple[bool, bool, int, int]:
        """Return the sort key of an item to send; lower goes first."""
        is_sent = item.sends >= self._required_sends(item)
        return (is_sent, not item.is_urgent, item.sends, -item.timestamp_ms)

    def _merge_entry(self, entry: QuarantineEntry, now_ms: int) -> Evidence | None:
        """Merge one entry; return its evidence when a crash was added."""
        timestamp_ms = now_ms - entry.age_ms
        if entry.quarantined:
            if entry.age_ms < self._limits.quarantine_lifetime_ms:
                self._quarantine(self._get_or_add_evidence(entry.fingerprint, now_ms), timestamp_ms)
            return None
        if entry.age_ms >= self._limits.evidence_lifetime_ms:
            return None
        evidence = self._get_or_add_evidence(entry.fingerprint, now_ms)
        added = [
            evidence.add_crash(endpoint_id, timestamp_ms) for endpoint_id in entry.endpoint_ids
        ]
        return evidence if any(added) else None

    def _evaluate_evidence(self, evidence: Evidence, now_ms: int) -> None:
        """Hold a fingerprint that, by the known evidence, is the only one common to two crashes."""
        self._update_status(evidence, now_ms)
        if evidence.quarantined_ms is not None or evidence.held_ms is not None:
            return
        if self._is_only_common(evidence, now_ms):
            evidence.held_ms = now_ms

    def _update_status(self, evidence: Evidence, now_ms: int) -> None:
        """End an expired quarantine, or a hold once other VMs had time to send their evidence.

        The hold becomes a quarantine unless another fingerprint explains the crashes too.
        """
        quarantined_ms = evidence.quarantined_ms
        if quarantined_ms is not None:
            if now_ms - quarantined_ms >= self._limits.quarantine_lifetime_ms:
                evidence.clear(now_ms)
                evidence.quarantined_ms = None
            return
        if evidence.held_ms is None or now_ms - evidence.held_ms < self._limits.spread_ms:
            return
        evidence.held_ms = None
        if self._is_only_common(evidence, now_ms):
            self._quarantine(evidence, now_ms)

    def _quarantine(self, evidence: Evidence, timestamp_ms: int) -> None:
        """Quarantine a fingerprint from a time on, unless it was cleared after that time."""
        if evidence.cleared_ms is not None and timestamp_ms <= evidence.cleared_ms:
            return
        if evidence.quarantined_ms is None:
            evidence.quarantined_ms = timestamp_ms
            evidence.quarantine_sends = 0

    def _is_only_common(self, evidence: Evidence, now_ms: int) -> bool:
        """Return whether this fingerprint is the only one common to two recent crashes."""
        others = (other for other in self._evidence.values() if other is not evidence)
        return is_only_common_fingerprint(evidence, others, self._evidence_since_ms(now_ms))

    def _sendable_items(self, now_ms: int) -> Iterator[SummaryItem]:
        """Yield the evidence that may be sent to other VMs."""
        since_ms = self._evidence_since_ms(now_ms)
        for evidence in self._evidence.values():
            if evidence.quarantined_ms is not None:
                yield SummaryItem(evidence, None)
                continue
            for crash in evidence.crashes_since(since_ms):
                yield SummaryItem(evidence, crash)

    def _evidence_since_ms(self, now_ms: int) -> int:
        """Return the time after which a crash counts as evidence."""
        return now_ms - self._limits.evidence_lifetime_ms

    def _get_or_add_evidence(self, fingerprint: str, now_ms: int) -> Evidence:
        """Return a fingerprint's evidence; when full, a new one evicts the least significant."""
        evidence = self._evidence.get(fingerprint)
        if evidence is not None:
            return evidence
        if len(self._evidence) >= self._limits.max_fingerprints:
            self._expire(now_ms)
        if len(self._evidence) >= self._limits.max_fingerprints:
            del self._evidence[min(self._evidence.values(), key=_significance).fingerprint]
        evidence = Evidence(fingerprint)
        self._evidence[fingerprint] = evidence
        return evidence

    def _expire(self, now_ms: int) -> None:
        """Remove evidence that no other VM can still send."""
        oldest_ms = self._evidence_since_ms(now_ms) - DEFAULT_EXPIRY_GRACE_MS
        for fingerprint, evidence in list(self._evidence.items()):
            self._update_status(evidence, now_ms)
            if evidence.quarantined_ms is None and evidence.newest_ms <= oldest_ms:
                del self._evidence[fingerprint]


def _significance(evidence: Evidence) -> tuple[bool, int, int]:
    """Return the significance of a fingerprint's evidence; the lowest is evicted first."""
    is_refused = evidence.quarantined_ms is not None or evidence.held_ms is not None
    return (is_refused, len(evidence.crashes), evidence.newest_ms)
