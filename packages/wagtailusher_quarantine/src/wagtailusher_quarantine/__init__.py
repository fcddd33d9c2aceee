"""Quarantine of what crashes endpoints, by evidence shared across the fleet, without I/O."""

from __future__ import annotations

from wagtailusher_quarantine.const import DEFAULT_INNOCENT_MS
from wagtailusher_quarantine.decider import QuarantineDecider
from wagtailusher_quarantine.evidence import Crash, QuarantineStatus, Suspect
from wagtailusher_quarantine.fingerprints import part_fingerprint
from wagtailusher_quarantine.limits import QuarantineLimits
from wagtailusher_quarantine.summary import QuarantineEntry, QuarantineSummary

__all__ = [
    "Crash",
    "DEFAULT_INNOCENT_MS",
    "QuarantineDecider",
    "QuarantineEntry",
    "QuarantineLimits",
    "QuarantineStatus",
    "QuarantineSummary",
    "Suspect",
    "part_fingerprint",
]
