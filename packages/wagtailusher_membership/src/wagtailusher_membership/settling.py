"""A starting node's wait for its peers' revisions."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import VmId
from wagtailusher_membership.configuration_limits import ConfigurationLimits


class Settling:
    """Who was asked and who answered; ends at a bound whoever is silent.

    Peers that become known during the wait are asked too, as the platform's list may come late.
    """

    def __init__(self, limits: ConfigurationLimits) -> None:
        """Create a wait that starts at its first use."""
        self._limits = limits
        self._asked: set[VmId] = set()
        self._answered: set[VmId] = set()
        self._ends_at_ms: int | None = None
        self._query_at_ms = 0
        self.confirmed = False

    def is_due(self, now_ms: int) -> bool:
        """Return whether it is time to ask."""
        if self._ends_at_ms is None:
            self._ends_at_ms = now_ms + self._limits.settle_ms
        return now_ms >= self._query_at_ms

    def ask(self, companions: Iterable[VmId], now_ms: int) -> frozenset[VmId]:
        """Return whom to ask now: who hasn't answered, and new ones up to the limit."""
        self._query_at_ms = now_ms + self._limits.query_interval_ms
        for vm_id in companions:
            if len(self._asked) < self._limits.settle_peers:
                self._asked.add(vm_id)
        return frozenset(self._asked - self._answered)

    def answer(self, vm_id: VmId, settled: bool) -> None:
        """Note an answer; one from a peer that is settled itself confirms."""
        self._answered.add(vm_id)
        self.confirmed = self.confirmed or settled

    def is_over(self, now_ms: int) -> bool:
        """Return whether all answered and one confirmed, or the bound has passed."""
        if self._ends_at_ms is None:
            return False
        all_answered = self._asked <= self._answered
        return now_ms >= self._ends_at_ms or (all_answered and self.confirmed)
