"""Exit codes, paths and intervals of the operators' command."""

from __future__ import annotations

from typing import Final

EXIT_OK: Final = 0
EXIT_PROBLEM: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3

ENV_ADDRESS: Final = "WAGTAILUSHER_OPERATOR_ADDRESS"


CALL_TIMEOUT_MS: Final = 3_000
MS_PER_S: Final = 1_000

DEFAULT_WATCH_INTERVAL_MS: Final = 1_000
DEFAULT_WATCH_TIMEOUT_S: Final = 900
SETTLING_TIME_MS: Final = 3_000
"""Time without new work in a failure domain after which it counts as drained."""

TARGET_ATTAINMENT: Final = 0.95
MAX_USED_SHARE: Final = 0.8
"""The share of a pool's concurrency that its peak may use after an endpoint is removed."""
