"""Quarantines requests and prompt parts that crash endpoints, by evidence of the whole fleet."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator
import heapq

from wagtailusher_core import EndpointId
from wagtailusher_quarantine.const import DEFAULT_EXPIRY_GRACE_MS, PROBE_BACKOFF
from wagtailusher_quarantine.evidence import (
    Crash,
    Evidence,
    QuarantineStatus,
    Suspect,
    is_culprit,
)
from wagtailusher_quarantine.fingerprints import is_part
from wagtailusher_quarantine.limits import QuarantineLimits
from wagtailusher_quarantine.summary import (
    QuarantineEntry,
    QuarantineSummary,
    SummaryItem,
)


class QuarantineDecider:
    """Refuses requests of a fingerprint once it is the only one common to two crashes.

    A fingerprint is that of a whole request, or of a part of prompts. A part must have come with
    different requests, and complete answers of other requests with it speak for it.
    """

    def __init__(self, *, limits: QuarantineLimits | None = None) -> None:
        self._limits = limits or QuarantineLimits()
        self._evidence: dict[str, Evidence] = {}
        self._completed_ms: OrderedDict[str, int] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is accused."""
        return not self._evidence

    def record_crash(self, fingerprint: str, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that an endpoint crashed while it ran a request of this fingerprint."""
        self.record_suspects((Suspect(fingerprint=fingerprint),), endpoint_id, now_ms)

    def record_suspects(
        self, suspects: Iterable[Suspect], endpoint_id: EndpointId, now_ms: int
    ) -> None:
        """Record that an endpoint crashed while it ran requests of all these fingerprints."""
        changed = []
        for suspect in suspects:
            evidence = self._get_or_add_evidence(suspect.fingerprint, now_ms)
            carriers = {suspect.carrier} if suspect.carrier else set()
            crash = Crash(endpoint_id, now_ms, carriers=carriers, has_begun=suspect.has_begun)
            if evidence.add_crash(crash):
                changed.append(evidence)
        for evidence in changed:
            self._evaluate_evidence(evidence, now_ms)

    def record_success(self, fingerprint: str, now_ms: int) -> None:
        """Record a complete response to a request of this fingerprint.

        Where it speaks for later requests, it ends a quarantine, too, as an answer should not have
        been possible.
        """
        speaks_for_later = self._innocent_ms(fingerprint) > 0
        if speaks_for_later:
            self._record_completed(fingerprint, now_ms)
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return
        status = self.classify(fingerprint, now_ms)
        if speaks_for_later:
            is_accused = status is not QuarantineStatus.CLEAR
            evidence.clear(now_ms)
            evidence.cleared_sends = 0 if is_accused else evidence.cleared_sends
        elif status is not QuarantineStatus.QUARANTINED:
            evidence.clear(now_ms)

    def _innocent_ms(self, fingerprint: str) -> int:
        """Return the time after a complete answer in which a fingerprint is not accused."""
        limits = self._limits
        return limits.innocent_ms if is_part(fingerprint) else limits.request_innocent_ms

    def _record_completed(self, fingerprint: str, now_ms: int) -> None:
        """Remember when an answer was complete last; the oldest ones are forgotten."""
        self._completed_ms[fingerprint] = now_ms
        self._completed_ms.move_to_end(fingerprint)
        while len(self._completed_ms) > self._limits.max_completed:
            self._completed_ms.popitem(last=False)

    def record_refused(self, fingerprint: str, now_ms: int) -> None:
        """Record that a request was refused; the quarantine lasts while such requests come."""
        evidence = self._evidence.get(fingerprint)
        if evidence is not None and evidence.quarantined_ms is not None:
            evidence.requested_ms = now_ms

    def is_probe_due(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether one request of a quarantined fingerprint may be let through.

        To be asked at one VM only, so that the whole fleet pays for a probe once.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or evidence.quarantined_ms is None:
            return False
        wait_ms = self._limits.probe_after_ms * PROBE_BACKOFF**evidence.probes
        is_left = evidence.probes < self._limits.max_probes
        return is_left and now_ms - evidence.quarantined_ms >= wait_ms

    def try_probe(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether to let one request through now, and count it."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not self.is_probe_due(fingerprint, now_ms):
            return False
        evidence.probes += 1
        evidence.quarantine_sends = 0
        return True

    def retract_crash(self, endpoint_id: EndpointId, crashed_ms: int, now_ms: int) -> None:
        """Drop a crash that was none, as the endpoint was seen again, and what follows from it."""
        retracted = Crash(endpoint_id, crashed_ms)
        for evidence in self._evidence.values():
            crash = evidence.find_crash(retracted)
            if crash is None:
                continue
            evidence.crashes.remove(crash)
            is_refused = evidence.held_ms is not None or evidence.quarantined_ms is not None
            if is_refused and not self._is_culprit(evidence, now_ms):
                evidence.clear(now_ms - evidence.innocent_ms)
                evidence.cleared_sends = 0

    def crashes(self) -> tuple[tuple[EndpointId, int], ...]:
        """Return the endpoint and the time of each crash that counts as evidence."""
        return tuple(
            {
                (crash.endpoint_id, crash.crashed_ms)
                for evidence in self._evidence.values()
                for crash in evidence.crashes
            }
        )

    def refused_fingerprints(self, now_ms: int) -> frozenset[str]:
        """Return the fingerprints whose requests must not start now."""
        return frozenset(item for item in self._evidence if self.is_quarantined(item, now_ms))

    def find_crashes(self, fingerprint: str) -> tuple[Crash, ...]:
        """Return the crashes that accuse a fingerprint, as far as this VM knows them."""
        evidence = self._evidence.get(fingerprint)
        return () if evidence is None else tuple(evidence.crashes)

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

    def merge(self, summary: QuarantineSummary, now_ms: int, *, told_by: str = "") -> None:
        """Merge another VM's evidence; the order and number of merges do not matter."""
        changed = [
            evidence
            for entry in summary.entries
            if (evidence := self._merge_entry(entry, now_ms, told_by)) is not None
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

    def _merge_entry(self, entry: QuarantineEntry, now_ms: int, told_by: str) -> Evidence | None:
        """Merge one entry; return its evidence when a crash was added."""
        timestamp_ms = now_ms - entry.age_ms
        if entry.completed:
            self._merge_completed(entry.fingerprint, timestamp_ms)
            return None
        if entry.quarantined:
            self._merge_quarantine(entry, now_ms)
            return None
        if entry.age_ms >= self._limits.evidence_lifetime_ms:
            return None
        evidence = self._get_or_add_evidence(entry.fingerprint, now_ms)
        added = [
            evidence.add_crash(
                Crash(
                    endpoint_id,
                    timestamp_ms,
                    carriers=set(entry.carriers),
                    has_begun=entry.has_begun,
                    told_by=told_by,
                    sends=0 if self._limits.relays_suspects else self._limits.suspect_sends,
                )
            )
            for endpoint_id in entry.endpoint_ids
        ]
        return evidence if any(added) else None

    def _merge_completed(self, fingerprint: str, completed_ms: int) -> None:
        """Apply another VM's complete answer to what is accused here."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return
        if evidence.cleared_ms is not None and evidence.cleared_ms >= completed_ms:
            return
        quarantined_ms = evidence.quarantined_ms
        if quarantined_ms is None or quarantined_ms <= completed_ms + evidence.innocent_ms:
            # Told on only where it changed something, or VMs would tell it to each other for ever.
            is_accused = quarantined_ms is not None or bool(evidence.crashes)
            evidence.clear(completed_ms)
            evidence.cleared_sends = 0 if is_accused else evidence.cleared_sends

    def _merge_quarantine(self, entry: QuarantineEntry, now_ms: int) -> None:
        """Apply another VM's quarantine, with its last refusal and its probes."""
        if min(entry.age_ms, entry.idle_ms) >= self._limits.quarantine_lifetime_ms:
            return
        evidence = self._get_or_add_evidence(entry.fingerprint, now_ms)
        self._quarantine(evidence, now_ms - entry.age_ms)
        if evidence.quarantined_ms is None:
            return
        evidence.probes = max(evidence.probes, entry.probes)
        if entry.idle_ms < self._limits.quarantine_lifetime_ms:
            evidence.requested_ms = max(evidence.requested_ms or 0, now_ms - entry.idle_ms)

    def _evaluate_evidence(self, evidence: Evidence, now_ms: int) -> None:
        """Hold a fingerprint that the known crashes accuse."""
        self._update_status(evidence, now_ms)
        if evidence.quarantined_ms is not None or evidence.held_ms is not None:
            return
        if self._is_culprit(evidence, now_ms):
            evidence.held_ms = now_ms

    def _update_status(self, evidence: Evidence, now_ms: int) -> None:
        """End an expired quarantine, or a hold once other VMs had time to send their evidence.

        The hold becomes a quarantine unless another fingerprint explains the crashes too.
        """
        if evidence.quarantined_ms is not None:
            last_ms = max(evidence.quarantined_ms, evidence.requested_ms or 0)
            if now_ms - last_ms >= self._limits.quarantine_lifetime_ms:
                evidence.clear(now_ms - evidence.innocent_ms)
            return
        if evidence.held_ms is None or now_ms - evidence.held_ms < self._limits.spread_ms:
            return
        evidence.held_ms = None
        if self._is_culprit(evidence, now_ms):
            self._quarantine(evidence, now_ms)

    def _quarantine(self, evidence: Evidence, timestamp_ms: int) -> None:
        """Quarantine a fingerprint from a time on, unless it was cleared after that time."""
        if evidence.is_cleared_at(timestamp_ms):
            return
        if evidence.quarantined_ms is None:
            evidence.quarantined_ms = timestamp_ms
            evidence.quarantine_sends = 0

    def _is_culprit(self, evidence: Evidence, now_ms: int) -> bool:
        """Return whether recent crashes accuse a fingerprint."""
        others = (other for other in self._evidence.values() if other is not evidence)
        return is_culprit(
            evidence,
            others,
            self._evidence_since_ms(now_ms),
            min_waiting_crashes=self._limits.min_waiting_crashes,
        )

    def _sendable_items(self, now_ms: int) -> Iterator[SummaryItem]:
        """Yield the evidence that may be sent to other VMs.

        The crashes of a quarantined fingerprint explain those of its bystanders.
        """
        since_ms = self._evidence_since_ms(now_ms)
        for evidence in self._evidence.values():
            if evidence.cleared_sends is not None:
                yield SummaryItem(evidence, None, is_completed=True)
            if evidence.quarantined_ms is not None:
                yield SummaryItem(evidence, None)
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
        evidence = Evidence(fingerprint, innocent_ms=self._innocent_ms(fingerprint))
        evidence.cleared_ms = self._completed_ms.get(fingerprint)
        evidence.cleared_sends = None if evidence.cleared_ms is None else 0
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
