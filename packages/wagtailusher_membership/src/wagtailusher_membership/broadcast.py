"""Updates that wait to be passed on, each a bounded number of times."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_core import VmId
from wagtailusher_membership.encoded_size import bound_encoded_bytes
from wagtailusher_wire import MemberUpdate

_UPDATE_WORDS = 7


def estimate_bytes(update: MemberUpdate) -> int:
    """Return a bound of an update's size in a message."""
    return bound_encoded_bytes(
        _UPDATE_WORDS,
        update.vm_id,
        update.address,
        update.peer_address,
        update.failure_domain_id,
        update.accuser,
    )


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
        self._by_sent: dict[int, dict[VmId, MemberUpdate]] = {}

    def __len__(self) -> int:
        """Return how many updates wait."""
        return len(self._sent)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update in place of an older one of the same member."""
        self._discard(update.vm_id)
        if len(self._sent) >= self._max_updates:
            self._discard(next(iter(self._by_sent[max(self._by_sent)])))
        self._put(update, 0)

    def take(self, *, max_bytes: int, max_sends: int) -> tuple[MemberUpdate, ...]:
        """Return updates that fit and count them as sent."""
        taken = tuple(take_within(self._in_order(), max_bytes))
        for update in taken:
            sent = self._discard(update.vm_id) + 1
            if sent < max_sends:
                self._put(update, sent)
        return taken

    def _in_order(self) -> Iterator[MemberUpdate]:
        """Yield the updates, least often sent first."""
        for sent in sorted(self._by_sent):
            yield from self._by_sent[sent].values()

    def _put(self, update: MemberUpdate, sent: int) -> None:
        """Store an update among those sent as often."""
        self._sent[update.vm_id] = sent
        self._by_sent.setdefault(sent, {})[update.vm_id] = update

    def _discard(self, vm_id: VmId) -> int:
        """Drop a member's update where there is one; return how often it was sent."""
        sent = self._sent.pop(vm_id, None)
        if sent is None:
            return 0
        same = self._by_sent[sent]
        del same[vm_id]
        if not same:
            del self._by_sent[sent]
        return sent
