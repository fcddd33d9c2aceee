"""Bounds of the router's decider."""

from __future__ import annotations

MAX_RESUMES = 2
MAX_HEAD_SKIPS = 8
DEFAULT_RETRY_AFTER_MS = 1_000
HANDOVER_WAIT_MS = 150
MAX_HANDOVERS_PER_TICK = 16
