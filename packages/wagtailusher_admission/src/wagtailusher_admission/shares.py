"""The guaranteed part of a pool's starts that each waiting class has.

A class is due `1 / share` starts after its last one. A due class may go before higher tiers, one
start in each interval, the longest due first. A class that waits is therefore started within
`1 / share + interval * classes` starts of its pool, where `classes` counts those that wait.
"""

from __future__ import annotations

from wagtailusher_admission.entry import PoolClass
from wagtailusher_admission.heap import LazyHeap


class ShareSchedule:
    """The waiting classes of one pool, by when their share is due."""

    __slots__ = ("_classes", "_interval_starts", "_next_reserve", "starts")

    def __init__(self, interval_starts: int) -> None:
        """Start with no class waiting."""
        self._interval_starts = interval_starts
        self._next_reserve = interval_starts
        self.starts = 0
        self._classes: LazyHeap[PoolClass] = LazyHeap(
            lambda due, waiting: (
                bool(waiting.queued) and waiting.is_open and waiting.due_starts == due
            )
        )

    def wait(self, pool_class: PoolClass) -> None:
        """Take note that a class has begun to wait, or may start again."""
        self._classes.push(pool_class.due_starts, pool_class.order, pool_class)

    def overdue(self) -> PoolClass | None:
        """Return the class that may now start before higher tiers."""
        if self.starts < self._next_reserve:
            return None
        due = self._classes.peek()
        return due if due is not None and due.due_starts <= self.starts else None

    def started(self, pool_class: PoolClass, share: float, *, out_of_turn: bool) -> None:
        """Count a start; `out_of_turn` tells that it went before another by its share."""
        self.starts += 1
        if out_of_turn:
            self._next_reserve = self.starts + self._interval_starts - 1
        pool_class.due_starts = self.starts + 1.0 / share
        if pool_class.queued:
            self.wait(pool_class)
