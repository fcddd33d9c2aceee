"""When a node calls the configuration service."""

from __future__ import annotations

from random import Random

from wagtailusher_membership.configuration_limits import ConfigurationLimits


class ServiceReads:
    """Paces one node's calls: one at a time, and slower while the service fails."""

    def __init__(self, limits: ConfigurationLimits, rng: Random) -> None:
        """Start without a call."""
        self._limits = limits
        self._rng = rng
        self._failures = 0
        self._reading_since_ms: int | None = None
        self._next_ms = 0
        self._lone_next_ms = 0

    def may_read(self, now_ms: int) -> bool:
        """Return whether a reader calls now, and count the call."""
        if not self._is_free(now_ms) or now_ms < self._next_ms:
            return False
        self._reading_since_ms = now_ms
        self._next_ms = now_ms + self._limits.read_interval_ms
        return True

    def may_read_alone(self, now_ms: int, listed: int) -> bool:
        """Return whether a node that no peer helps calls now.

        The interval grows with the fleet, so that all nodes together call at a fixed rate.
        """
        if not self._is_free(now_ms) or now_ms < self._lone_next_ms:
            return False
        limits = self._limits
        interval_ms = max(limits.lone_read_interval_ms, listed * limits.lone_read_per_vm_ms)
        if self._lone_next_ms == 0:
            self._lone_next_ms = now_ms + 1 + self._rng.randrange(interval_ms // 4)
            return False
        self._lone_next_ms = now_ms + interval_ms
        self._reading_since_ms = now_ms
        return True

    def answered(self, now_ms: int) -> None:
        """Note that a call returned."""
        self._failures = 0
        self._reading_since_ms = None

    def failed(self, now_ms: int) -> None:
        """Note that a call failed; the next one waits longer, by chance more or less."""
        self._failures += 1
        self._reading_since_ms = None
        limits = self._limits
        wait_ms = min(limits.read_backoff_max_ms, limits.read_interval_ms << min(self._failures, 8))
        self._next_ms = now_ms + wait_ms // 2 + self._rng.randrange(wait_ms // 2)

    def hurry(self, now_ms: int) -> None:
        """Forget the wait after failures; the interval between calls stays."""
        if self._failures:
            self._next_ms = min(self._next_ms, now_ms + self._limits.read_interval_ms)

    def _is_free(self, now_ms: int) -> bool:
        """Return whether no call is out, or it is out for too long."""
        since_ms = self._reading_since_ms
        return since_ms is None or now_ms - since_ms >= self._limits.read_timeout_ms
