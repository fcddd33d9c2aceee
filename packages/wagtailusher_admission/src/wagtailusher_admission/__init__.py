"""Admission: tiers, classes, workspaces, queues, quotas and shedding, without I/O."""

from __future__ import annotations

from wagtailusher_admission.const import TIER_COUNT
from wagtailusher_admission.decider import AdmissionDecider
from wagtailusher_admission.entry_points import entry_points
from wagtailusher_admission.errors import AdmissionError, DuplicateRequestError, UnknownRequestError
from wagtailusher_admission.request import AdmissionLimits, PendingRequest, Refusal

__all__ = [
    "TIER_COUNT",
    "AdmissionDecider",
    "AdmissionError",
    "AdmissionLimits",
    "DuplicateRequestError",
    "PendingRequest",
    "Refusal",
    "UnknownRequestError",
    "entry_points",
]
