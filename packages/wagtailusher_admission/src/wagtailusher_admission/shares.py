"""The guaranteed part of a pool's starts that each waiting class has.

A class is due `1 / share` starts after its last one. A due class may go before higher tiers, one
start in each interval, the longest due first. A class that waits is therefore started within
`1 / share + interval * classes` starts of its pool, where `classes` counts those that wait.
"""

from __future__ import annotations

from wagtailusher_admission.entry import PoolClass
from wagtailusher_admission.heap import HandleHeap


class ShareSchedule:
    """The waiting classes of one pool, by when their share is due.

    A class keeps its row when it starts or ceases to wait; the row is mended when it surfaces.
    """

    __slots__ = ("_classes", "_interval_starts", "_next_reserve", "starts")

    def __init__(self, interval_starts: int) -> None:
        """Start with no class waiting."""
        self._interval_starts = interval_starts
        self._next_reserve = interval_starts
        self.starts = 0
        self._classes: HandleHeap[PoolClass] = HandleHeap()

    def wait(self, holder: PoolClass) -> None:
        """Take note that a class began to wait or that its quota opened."""
        if holder.due_handle is None:
            holder.due_handle = self._classes.push(holder.due_starts, holder.order, holder)

    def forget(self, holder: PoolClass) -> None:
        """Drop a class without requests."""
        if holder.due_handle is not None:
            self._classes.discard(holder.due_handle)

    def overdue(self) -> PoolClass | None:
        """Return the class that may now start before higher tiers."""
        if self.starts < self._next_reserve:
            return None
        while (holder := self._classes.peek()) is not None and holder.due_handle is not None:
            due_starts = holder.due_handle[0]
            if due_starts > self.starts:
                return None
            if due_starts == holder.due_starts and holder.queued and holder.is_open:
                return holder
            self._classes.discard(holder.due_handle)
            holder.due_handle = None
            if holder.queued and holder.is_open:
                self.wait(holder)
        return None

    def started(self, holder: PoolClass, share: float, *, out_of_turn: bool) -> None:
        """Count a start; `out_of_turn` tells that it went before another by its share."""
        self.starts += 1
        if out_of_turn:
            self._next_reserve = self.starts + self._interval_starts - 1
        holder.due_starts = self.starts + 1.0 / share
