"""Refuses requests that crash endpoints, by the evidence of the whole fleet."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
import heapq

from wagtailusher_core import EndpointId
from wagtailusher_once.const import (
    DEFAULT_CULPRIT_SENDS,
    DEFAULT_EVIDENCE_LIFETIME_MS,
    DEFAULT_EXPIRY_GRACE_MS,
    DEFAULT_MAX_FINGERPRINTS,
    DEFAULT_QUARANTINE_LIFETIME_MS,
    DEFAULT_SPREAD_MS,
    DEFAULT_SUMMARY_ENTRIES,
    DEFAULT_SUSPECT_SENDS,
)
from wagtailusher_once.evidence import Evidence, QuarantineStatus, is_alone_in_two
from wagtailusher_once.quarantine_summary import (
    QuarantineEntry,
    QuarantineSummary,
    SummaryItem,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineLimits:
    """Bounds in time and memory of the quarantine decider."""

    quarantine_lifetime_ms: int = DEFAULT_QUARANTINE_LIFETIME_MS
    evidence_lifetime_ms: int = DEFAULT_EVIDENCE_LIFETIME_MS
    spread_ms: int = DEFAULT_SPREAD_MS
    max_fingerprints: int = DEFAULT_MAX_FINGERPRINTS
    summary_entries: int = DEFAULT_SUMMARY_ENTRIES
    suspect_sends: int = DEFAULT_SUSPECT_SENDS
    culprit_sends: int = DEFAULT_CULPRIT_SENDS


class QuarantineDecider:
    """Refuses a request once two crashes have only it in common."""

    def __init__(self, *, limits: QuarantineLimits | None = None) -> None:
        """Start without evidence."""
        self._limits = limits or QuarantineLimits()
        self._evidence: dict[str, Evidence] = {}

    def record_crash(self, fingerprint: str, endpoint_id: EndpointId, now_ms: int) -> None:
        """Note that an endpoint crashed while it ran a request of this fingerprint."""
        evidence = self._evidence_of(fingerprint, now_ms)
        if evidence.add_crash(endpoint_id, now_ms):
            self._judge(evidence, now_ms)

    def record_success(self, fingerprint: str, now_ms: int) -> None:
        """Note that a request of this fingerprint was answered whole."""
        evidence = self._evidence.get(fingerprint)
        if (
            evidence is not None
            and self.classify(fingerprint, now_ms) is not QuarantineStatus.QUARANTINED
        ):
            evidence.clear(now_ms)

    def classify(self, fingerprint: str, now_ms: int) -> QuarantineStatus:
        """Return how a request of this fingerprint is to be treated now."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return QuarantineStatus.CLEAR
        self._settle(evidence, now_ms)
        if evidence.quarantined_ms is not None:
            return QuarantineStatus.QUARANTINED
        if evidence.held_ms is not None:
            return QuarantineStatus.HELD
        return (
            QuarantineStatus.SUSPECT
            if evidence.recent(self._since_ms(now_ms))
            else QuarantineStatus.CLEAR
        )

    def is_quarantined(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a request of this fingerprint must not start now."""
        return self.classify(fingerprint, now_ms) in (
            QuarantineStatus.HELD,
            QuarantineStatus.QUARANTINED,
        )

    def suspects(self, fingerprint: str, now_ms: int) -> frozenset[EndpointId]:
        """Return the endpoints that crashed while they ran a request of this fingerprint."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return frozenset()
        recent = evidence.recent(self._since_ms(now_ms))
        return frozenset(crash.endpoint_id for crash in recent)

    def can_colocate(self, fingerprint: str, others: Iterable[str], now_ms: int) -> bool:
        """Return whether a request may join others on an endpoint.

        Two suspects never share one, so that the next crash tells them apart.
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
                endpoint_ids=tuple(sorted(self.suspects(fingerprint, now_ms))),
                quarantined=self.is_quarantined(fingerprint, now_ms),
                age_ms=max(0, now_ms - evidence.newest_ms),
            )
            for fingerprint, evidence in tuple(self._evidence.items())
        )

    def retry_after_ms(self, fingerprint: str, now_ms: int) -> int:
        """Return when to come back with a request that failed, 0 for at once.

        Until then the evidence spreads, so that a repeat finds it at whatever VM it comes to.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.crashes:
            return 0
        spread_by_ms = evidence.crashes[-1].crashed_ms + self._limits.spread_ms
        return max(0, spread_by_ms - now_ms)

    def summary(self, now_ms: int) -> QuarantineSummary:
        """Return the evidence to send next: the urgent, then what was sent least often."""
        self._expire(now_ms)
        chosen = heapq.nsmallest(
            self._limits.summary_entries, self._items(now_ms), key=self._order_of_sending
        )
        return QuarantineSummary(entries=tuple(item.send(now_ms) for item in chosen))

    def has_unsent_evidence(self, now_ms: int) -> bool:
        """Return whether some evidence was not yet sent often enough to reach all."""
        return any(item.sends < self._sends_of(item) for item in self._items(now_ms))

    def merge(self, summary: QuarantineSummary, now_ms: int) -> None:
        """Take in another VM's evidence; the order and number of merges do not matter."""
        grown = [
            evidence
            for entry in summary.entries
            if (evidence := self._merge_entry(entry, now_ms)) is not None
        ]
        for evidence in grown:
            self._judge(evidence, now_ms)

    def _sends_of(self, item: SummaryItem) -> int:
        """Return how often an item is sent before it is no news."""
        return self._limits.culprit_sends if item.is_urgent else self._limits.suspect_sends

    def _order_of_sending(self, item: SummaryItem) -> tuple[bool, bool, int, int]:
        """Return the place of an item among those to be sent."""
        is_known = item.sends >= self._sends_of(item)
        return (is_known, not item.is_urgent, item.sends, -item.stamp_ms)

    def _merge_entry(self, entry: QuarantineEntry, now_ms: int) -> Evidence | None:
        """Take in one entry and return its evidence when that grew."""
        stamp_ms = now_ms - entry.age_ms
        if entry.quarantined:
            if entry.age_ms < self._limits.quarantine_lifetime_ms:
                self._quarantine(self._evidence_of(entry.fingerprint, now_ms), stamp_ms)
            return None
        if entry.age_ms >= self._limits.evidence_lifetime_ms:
            return None
        evidence = self._evidence_of(entry.fingerprint, now_ms)
        added = [evidence.add_crash(endpoint_id, stamp_ms) for endpoint_id in entry.endpoint_ids]
        return evidence if any(added) else None

    def _judge(self, evidence: Evidence, now_ms: int) -> None:
        """Hold a fingerprint that two crashes have alone in common, as far as is known."""
        self._settle(evidence, now_ms)
        if evidence.quarantined_ms is not None or evidence.held_ms is not None:
            return
        if self._is_alone(evidence, now_ms):
            evidence.held_ms = now_ms

    def _settle(self, evidence: Evidence, now_ms: int) -> None:
        """Turn a hold into its verdict once other VMs had the time to explain the crashes."""
        quarantined_ms = evidence.quarantined_ms
        if quarantined_ms is not None:
            if now_ms - quarantined_ms >= self._limits.quarantine_lifetime_ms:
                evidence.clear(now_ms)
                evidence.quarantined_ms = None
            return
        if evidence.held_ms is None or now_ms - evidence.held_ms < self._limits.spread_ms:
            return
        evidence.held_ms = None
        if self._is_alone(evidence, now_ms):
            self._quarantine(evidence, now_ms)

    def _quarantine(self, evidence: Evidence, stamp_ms: int) -> None:
        """Refuse a fingerprint from a time on, unless that quarantine is already over."""
        if evidence.cleared_ms is not None and stamp_ms <= evidence.cleared_ms:
            return
        if evidence.quarantined_ms is None:
            evidence.quarantined_ms = stamp_ms
            evidence.quarantine_sends = 0

    def _is_alone(self, evidence: Evidence, now_ms: int) -> bool:
        """Return whether two crashes have this fingerprint alone in common."""
        others = (other for other in self._evidence.values() if other is not evidence)
        return is_alone_in_two(evidence, others, self._since_ms(now_ms))

    def _items(self, now_ms: int) -> Iterator[SummaryItem]:
        """Yield everything that other VMs may have to know."""
        since_ms = self._since_ms(now_ms)
        for evidence in self._evidence.values():
            if evidence.quarantined_ms is not None:
                yield SummaryItem(evidence, None)
                continue
            for crash in evidence.recent(since_ms):
                yield SummaryItem(evidence, crash)

    def _since_ms(self, now_ms: int) -> int:
        """Return the time after which a crash counts."""
        return now_ms - self._limits.evidence_lifetime_ms

    def _evidence_of(self, fingerprint: str, now_ms: int) -> Evidence:
        """Return a fingerprint's evidence, in place of the least telling one when full."""
        evidence = self._evidence.get(fingerprint)
        if evidence is not None:
            return evidence
        if len(self._evidence) >= self._limits.max_fingerprints:
            self._expire(now_ms)
        if len(self._evidence) >= self._limits.max_fingerprints:
            del self._evidence[min(self._evidence.values(), key=_weight).fingerprint]
        evidence = Evidence(fingerprint)
        self._evidence[fingerprint] = evidence
        return evidence

    def _expire(self, now_ms: int) -> None:
        """Drop what no other VM can still send as news."""
        oldest_ms = self._since_ms(now_ms) - DEFAULT_EXPIRY_GRACE_MS
        for fingerprint, evidence in list(self._evidence.items()):
            self._settle(evidence, now_ms)
            if evidence.quarantined_ms is None and evidence.newest_ms <= oldest_ms:
                del self._evidence[fingerprint]


def _weight(evidence: Evidence) -> tuple[bool, int, int]:
    """Return how much is lost by forgetting a fingerprint; the least goes first."""
    is_refused = evidence.quarantined_ms is not None or evidence.held_ms is not None
    return (is_refused, len(evidence.crashes), evidence.newest_ms)
