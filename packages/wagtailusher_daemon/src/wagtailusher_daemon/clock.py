"""The clocks of the process; deciders are given their readings."""

from __future__ import annotations

import time

_NS_PER_MS = 1_000_000


def monotonic_ms() -> int:
    """Return the monotonic time."""
    return time.monotonic_ns() // _NS_PER_MS


def wall_ms() -> int:
    """Return the wall time."""
    return time.time_ns() // _NS_PER_MS
