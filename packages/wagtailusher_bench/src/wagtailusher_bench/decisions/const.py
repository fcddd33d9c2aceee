"""Holds the default durations, delays, intervals and loads of the simulated fleet."""

from __future__ import annotations

from typing import Final

DEFAULT_WARM_UP_MS: Final = 14_000
DEFAULT_MEASURED_MS: Final = 40_000
DEFAULT_DRAIN_MS: Final = 15_000

NODE_TO_ENDPOINT_MS: Final = 1.5
NODE_TO_NODE_MS: Final = 1.5
CALLER_TO_NODE_MS: Final = 1.0
TICK_INTERVAL_MS: Final = 50
REPORT_INTERVAL_MS: Final = 250
REPORT_DELAY_MS: Final = 300
LATE_REPORT_DELAY_MS: Final = 5_000
CACHE_EVENT_DELAY_MS: Final = 500
CACHE_EVENT_LOSS_SHARE: Final = 0.05
SUMMARY_INTERVAL_MS: Final = 500
LIST_INTERVAL_MS: Final = 1_000
DRAIN_ORDER_LAG_MS: Final = 2_000
WALL_OFFSET_MS: Final = 1_700_000_000_000

PREFIX_BLOCK_TOKENS: Final = 64
CALLER_TIMEOUT_FACTOR: Final = 3
CRASHING_REPEAT_MS: Final = 1_000
CRASHING_REPEATS: Final = 12
BURST_FACTOR: Final = 10.0

LOADS: Final = (0.7, 1.0, 1.5, 3.0)
FAULT_LOAD: Final = 0.7
