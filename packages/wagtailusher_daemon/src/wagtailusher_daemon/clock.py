"""The clocks of the process; deciders get the time as an argument."""

from __future__ import annotations

import time

_NS_PER_MS = 1_000_000
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic_ms() -> int:
    """Return the monotonic time in ms, including time while the VM is suspended where supported."""
    return time.clock_gettime_ns(_CLOCK) // _NS_PER_MS


def wall_ms() -> int:
    """Return the wall-clock time in ms since the Unix epoch."""
    return time.time_ns() // _NS_PER_MS
