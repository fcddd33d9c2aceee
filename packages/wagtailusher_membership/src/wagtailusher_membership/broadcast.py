"""Queue of member updates that are piggybacked a bounded number of times each."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_core import VmId
from wagtailusher_membership.encoded_size import bound_encoded_bytes
from wagtailusher_wire import MemberUpdate

_UPDATE_WORDS = 7


def estimate_bytes(update: MemberUpdate) -> int:
    """Return an upper bound of an update's encoded size."""
    return bound_encoded_bytes(
        _UPDATE_WORDS,
        update.vm_id,
        update.address,
        update.peer_address,
        update.failure_domain_id,
        update.accuser,
    )


def select_fitting(updates: Iterable[MemberUpdate], max_bytes: int) -> Iterator[MemberUpdate]:
    """Yield updates in order until the next one would exceed max_bytes."""
    for update in updates:
        max_bytes -= estimate_bytes(update)
        if max_bytes < 0:
            return
        yield update


class BroadcastQueue:
    """The latest update of each member, ordered by how often it was sent."""

    def __init__(self, *, max_updates: int) -> None:
        self._max_updates = max_updates
        self._send_counts: dict[VmId, int] = {}
        self._by_send_count: dict[int, dict[VmId, MemberUpdate]] = {}

    def __len__(self) -> int:
        return len(self._send_counts)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, replacing an older one of the same member."""
        self._discard(update.vm_id)
        if len(self._send_counts) >= self._max_updates:
            self._discard(next(iter(self._by_send_count[max(self._by_send_count)])))
        self._put(update, 0)

    def dequeue(self, *, max_bytes: int, max_sends: int) -> tuple[MemberUpdate, ...]:
        """Return the least sent updates that fit max_bytes, and count them as sent.

        An update that has been sent max_sends times leaves the queue.
        """
        selected = tuple(select_fitting(self._iterate_by_sends(), max_bytes))
        for update in selected:
            send_count = self._discard(update.vm_id) + 1
            if send_count < max_sends:
                self._put(update, send_count)
        return selected

    def _iterate_by_sends(self) -> Iterator[MemberUpdate]:
        for send_count in sorted(self._by_send_count):
            yield from self._by_send_count[send_count].values()

    def _put(self, update: MemberUpdate, send_count: int) -> None:
        self._send_counts[update.vm_id] = send_count
        self._by_send_count.setdefault(send_count, {})[update.vm_id] = update

    def _discard(self, vm_id: VmId) -> int:
        """Remove a member's update if one is queued; return how often it was sent."""
        send_count = self._send_counts.pop(vm_id, None)
        if send_count is None:
            return 0
        group = self._by_send_count[send_count]
        del group[vm_id]
        if not group:
            del self._by_send_count[send_count]
        return send_count
