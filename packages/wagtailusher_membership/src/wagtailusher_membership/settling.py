"""A starting node's wait for its peers' revisions."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import VmId


class Settling:
    """Who was asked and who answered; ends at a bound whoever is silent."""

    def __init__(self, *, settle_ms: int, query_interval_ms: int) -> None:
        """Create a wait that starts at its first use."""
        self._settle_ms = settle_ms
        self._query_interval_ms = query_interval_ms
        self._asked: set[VmId] | None = None
        self._answered: set[VmId] = set()
        self._ends_at_ms = 0
        self._query_at_ms = 0
        self.confirmed = False

    def is_started(self) -> bool:
        """Return whether peers were chosen."""
        return self._asked is not None

    def start(self, asked: Iterable[VmId], now_ms: int) -> None:
        """Begin to wait for these peers."""
        self._asked = set(asked)
        self._ends_at_ms = now_ms + self._settle_ms
        self._query_at_ms = now_ms

    def due(self, now_ms: int) -> frozenset[VmId]:
        """Return whom to ask now, once more where no answer came."""
        if now_ms < self._query_at_ms:
            return frozenset()
        self._query_at_ms = now_ms + self._query_interval_ms
        return frozenset((self._asked or set()) - self._answered)

    def answer(self, vm_id: VmId, settled: bool) -> None:
        """Note an answer; one from a peer that is settled itself confirms."""
        self._answered.add(vm_id)
        self.confirmed = self.confirmed or settled

    def is_over(self, now_ms: int) -> bool:
        """Return whether all answered and one confirmed, or the bound has passed."""
        if self._asked is None:
            return False
        all_answered = self._asked <= self._answered
        return now_ms >= self._ends_at_ms or (all_answered and self.confirmed)
