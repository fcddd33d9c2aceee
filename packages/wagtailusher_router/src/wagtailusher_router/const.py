"""Limits and intervals of the router's decider; `_MS` names are milliseconds."""

from __future__ import annotations

MAX_RESUMES = 2
MAX_QUEUE_HEAD_SKIPS = 8
DEFAULT_RETRY_AFTER_MS = 1_000
HANDOVER_WAIT_MS = 150
MAX_HANDOVERS_PER_TICK = 16
HANDOVER_RETRY_MS = 500
MAX_HOPS = 3
MAX_HOPS_BEFORE_HAND_OVER = 1
MAX_TRACKED_ENDPOINTS = 60
MIN_TRACKED_PER_POOL = 4
