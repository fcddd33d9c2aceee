"""Schedules one node's reads of the configuration service."""

from __future__ import annotations

from random import Random

from wagtailusher_membership.configuration_limits import ConfigurationLimits


class ServiceReadSchedule:
    """Limits reads to one at a time, with backoff while the service fails."""

    def __init__(self, limits: ConfigurationLimits, rng: Random) -> None:
        self._limits = limits
        self._rng = rng
        self._failures = 0
        self._reading_since_ms: int | None = None
        self._next_ms = 0
        self._next_isolated_ms = 0

    def try_start_read(self, now_ms: int) -> bool:
        """Return whether a reader may start a read now, and record it as started."""
        if not self._can_start(now_ms) or now_ms < self._next_ms:
            return False
        self._reading_since_ms = now_ms
        self._next_ms = now_ms + self._limits.read_interval_ms
        return True

    def try_start_isolated_read(self, now_ms: int, listed_count: int) -> bool:
        """Return whether an isolated node may start a read now, and record it as started.

        The interval grows with the number of listed VMs, so that all nodes together call the
        service at a fixed rate.
        """
        if not self._can_start(now_ms) or now_ms < self._next_isolated_ms:
            return False
        limits = self._limits
        interval_ms = max(
            limits.isolated_read_interval_ms, listed_count * limits.isolated_read_per_vm_ms
        )
        if self._next_isolated_ms == 0:
            self._next_isolated_ms = now_ms + 1 + self._rng.randrange(interval_ms // 4)
            return False
        self._next_isolated_ms = now_ms + interval_ms
        self._reading_since_ms = now_ms
        return True

    def record_success(self, now_ms: int) -> None:
        """Record that a read returned."""
        self._failures = 0
        self._reading_since_ms = None

    def record_failure(self, now_ms: int) -> None:
        """Record a failed read and schedule the next one with backoff and jitter."""
        self._failures += 1
        self._reading_since_ms = None
        limits = self._limits
        wait_ms = min(limits.read_backoff_max_ms, limits.read_interval_ms << min(self._failures, 8))
        self._next_ms = now_ms + wait_ms // 2 + self._rng.randrange(wait_ms // 2)

    def expedite_retry(self, now_ms: int) -> None:
        """Shorten the backoff after failures to the regular read interval."""
        if self._failures:
            self._next_ms = min(self._next_ms, now_ms + self._limits.read_interval_ms)

    def _can_start(self, now_ms: int) -> bool:
        """Return whether no read is in progress, or the current one has timed out."""
        since_ms = self._reading_since_ms
        return since_ms is None or now_ms - since_ms >= self._limits.read_timeout_ms
