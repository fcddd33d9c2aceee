"""Limits of the quarantine decider."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_quarantine.const import (
    DEFAULT_CULPRIT_SENDS,
    DEFAULT_EVIDENCE_LIFETIME_MS,
    DEFAULT_INNOCENT_MS,
    DEFAULT_MAX_COMPLETED,
    DEFAULT_MAX_FINGERPRINTS,
    DEFAULT_MAX_PROBES,
    DEFAULT_PROBE_AFTER_MS,
    DEFAULT_QUARANTINE_LIFETIME_MS,
    DEFAULT_SPREAD_MS,
    DEFAULT_SUMMARY_ENTRIES,
    DEFAULT_SUSPECT_SENDS,
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
    innocent_ms: int = DEFAULT_INNOCENT_MS
    relays_suspects: bool = True
    """Whether to send on what other VMs tell of mere suspects; needless where each tells all."""
    min_waiting_crashes: int = 2
    """Crashes that accuse a request whose answer had begun at none of them."""
    request_innocent_ms: int = 0
    """The same time for whole requests; 0 where complete answers are not all recorded."""
    max_completed: int = DEFAULT_MAX_COMPLETED
    probe_after_ms: int = DEFAULT_PROBE_AFTER_MS
    max_probes: int = DEFAULT_MAX_PROBES
