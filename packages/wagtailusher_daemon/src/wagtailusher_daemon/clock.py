"""The clocks of the process; deciders are given their readings."""

from __future__ import annotations

import time

_NS_PER_MS = 1_000_000
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms() -> int:
    """Return the monotonic time, which also counts while the VM is suspended."""
    return time.clock_gettime_ns(_CLOCK) // _NS_PER_MS


def wall_ms() -> int:
    """Return the wall time."""
    return time.time_ns() // _NS_PER_MS
