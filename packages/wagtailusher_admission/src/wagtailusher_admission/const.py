"""Bounds and defaults of admission, with their units."""

from __future__ import annotations

from typing import Final

TIER_COUNT: Final = 7

DEFAULT_POOL_QUEUE_LIMIT: Final = 2_048
DEFAULT_RESERVE_INTERVAL_STARTS: Final = 10
DEFAULT_MIN_SHARE: Final = 0.002
DEFAULT_FAIRNESS_ALLOWANCE_MS: Final = 2_000
DEFAULT_IDLE_CLASS_LIMIT: Final = 16_384

MIN_RETRY_AFTER_MS: Final = 50
MAX_RETRY_AFTER_MS: Final = 30_000
DEFAULT_START_INTERVAL_MS: Final = 100.0
START_INTERVAL_SMOOTHING: Final = 0.05

MIN_COST_MS: Final = 1.0
MIN_WEIGHT: Final = 0.001
HEAP_COMPACTION_SIZE: Final = 64
