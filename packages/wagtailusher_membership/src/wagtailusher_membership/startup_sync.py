"""Start-up synchronization: a starting node's wait for its peers' revisions."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import VmId
from wagtailusher_membership.configuration_limits import ConfigurationLimits


class StartupSync:
    """Tracks queried peers and their answers; ends at a time limit in any case.

    Peers that become known during the wait are queried too, as the platform's list may be late.
    """

    def __init__(self, limits: ConfigurationLimits) -> None:
        """Create a wait whose time limit starts with the first call of is_query_due."""
        self._limits = limits
        self._queried: set[VmId] = set()
        self._answered: set[VmId] = set()
        self._deadline_ms: int | None = None
        self._next_query_ms = 0
        self.confirmed = False

    def is_query_due(self, now_ms: int) -> bool:
        """Return whether the next queries are due."""
        if self._deadline_ms is None:
            self._deadline_ms = now_ms + self._limits.startup_sync_timeout_ms
        return now_ms >= self._next_query_ms

    def select_peers(self, candidates: Iterable[VmId], now_ms: int) -> frozenset[VmId]:
        """Return the peers to query now: those without an answer, and new ones up to the limit."""
        self._next_query_ms = now_ms + self._limits.query_interval_ms
        for vm_id in candidates:
            if len(self._queried) < self._limits.startup_sync_peers:
                self._queried.add(vm_id)
        return frozenset(self._queried - self._answered)

    def record_answer(self, vm_id: VmId, is_peer_synced: bool) -> None:
        """Record an answer; one from a peer that has completed its own wait confirms."""
        self._answered.add(vm_id)
        self.confirmed = self.confirmed or is_peer_synced

    def is_over(self, now_ms: int) -> bool:
        """Return whether all peers answered and one confirmed, or the time limit has passed."""
        if self._deadline_ms is None:
            return False
        all_answered = self._queried <= self._answered
        return now_ms >= self._deadline_ms or (all_answered and self.confirmed)
