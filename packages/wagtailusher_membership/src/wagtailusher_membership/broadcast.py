"""Updates that wait to be passed on, each a bounded number of times."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_core import VmId
from wagtailusher_wire import MemberUpdate

_UPDATE_OVERHEAD_BYTES = 64
_TEXT_OVERHEAD_BYTES = 4


def estimate_bytes(update: MemberUpdate) -> int:
    """Return a bound of an update's size in a message."""
    texts = (update.vm_id, update.address, update.peer_address, update.failure_domain_id)
    return _UPDATE_OVERHEAD_BYTES + sum(len(text) + _TEXT_OVERHEAD_BYTES for text in texts)


def take_within(updates: Iterable[MemberUpdate], max_bytes: int) -> Iterator[MemberUpdate]:
    """Yield updates from the front for as long as they fit."""
    for update in updates:
        max_bytes -= estimate_bytes(update)
        if max_bytes < 0:
            return
        yield update


class BroadcastQueue:
    """The latest update of each member, least often sent first."""

    def __init__(self, *, max_updates: int) -> None:
        """Create an empty queue."""
        self._max_updates = max_updates
        self._sent: dict[VmId, int] = {}
        self._updates: dict[VmId, MemberUpdate] = {}

    def __len__(self) -> int:
        """Return how many updates wait."""
        return len(self._updates)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update in place of an older one of the same member."""
        if update.vm_id not in self._updates and len(self._updates) >= self._max_updates:
            self._discard(max(self._sent, key=self._sent.__getitem__))
        self._updates[update.vm_id] = update
        self._sent[update.vm_id] = 0

    def take(self, *, max_bytes: int, max_sends: int) -> tuple[MemberUpdate, ...]:
        """Return updates that fit and count them as sent."""
        if not self._updates:
            return ()
        order = sorted(self._updates, key=self._sent.__getitem__)
        taken = tuple(take_within((self._updates[vm_id] for vm_id in order), max_bytes))
        for update in taken:
            self._sent[update.vm_id] += 1
            if self._sent[update.vm_id] >= max_sends:
                self._discard(update.vm_id)
        return taken

    def _discard(self, vm_id: VmId) -> None:
        """Drop a member's update."""
        del self._updates[vm_id]
        del self._sent[vm_id]
