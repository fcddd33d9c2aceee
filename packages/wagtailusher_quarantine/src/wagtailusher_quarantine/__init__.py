"""Quarantine of what crashes endpoints, by evidence shared across the fleet, without I/O."""

from __future__ import annotations

from wagtailusher_quarantine.decider import QuarantineDecider, QuarantineLimits
from wagtailusher_quarantine.evidence import QuarantineStatus
from wagtailusher_quarantine.summary import QuarantineEntry, QuarantineSummary

__all__ = [
    "QuarantineDecider",
    "QuarantineEntry",
    "QuarantineLimits",
    "QuarantineStatus",
    "QuarantineSummary",
]
