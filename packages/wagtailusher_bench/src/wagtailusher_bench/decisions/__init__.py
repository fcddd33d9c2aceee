"""Measures routing decisions under load and faults in virtual time."""

from __future__ import annotations

from wagtailusher_bench.decisions.results import CaseKey, CaseResult
from wagtailusher_bench.decisions.runner import (
    ALL_FAULTS,
    NO_FAULT,
    POLICIES,
    POLICY,
    Timing,
    run_case,
    run_decisions,
)

__all__ = [
    "ALL_FAULTS",
    "NO_FAULT",
    "POLICIES",
    "POLICY",
    "CaseKey",
    "CaseResult",
    "Timing",
    "run_case",
    "run_decisions",
]
