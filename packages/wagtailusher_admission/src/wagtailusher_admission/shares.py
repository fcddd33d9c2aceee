"""Guaranteed shares of a pool's starts for waiting classes.

A class is due `1 / share` starts after its last one. A due class may be started before higher
tiers, one start in each interval, the longest due first. A waiting class is therefore started
within `1 / share + interval * classes` starts of its pool, where `classes` counts the waiting ones.
"""

from __future__ import annotations

from wagtailusher_admission.entry import ClassState
from wagtailusher_admission.heap import HandleHeap


class ShareSchedule:
    """The waiting classes of one pool, ordered by when their share is due.

    A class keeps its heap row when it starts or no longer waits; the row is corrected when it
    reaches the top.
    """

    __slots__ = ("_by_due_starts", "_interval_starts", "_next_reserved_start", "starts")

    def __init__(self, interval_starts: int) -> None:
        self._interval_starts = interval_starts
        self._next_reserved_start = interval_starts
        self.starts = 0
        self._by_due_starts: HandleHeap[ClassState] = HandleHeap()

    def add_waiting(self, class_state: ClassState) -> None:
        """Add a class that started to wait or whose quota opened."""
        if class_state.due_handle is None:
            class_state.due_handle = self._by_due_starts.push(
                class_state.due_starts, class_state.order, class_state
            )

    def remove_class(self, class_state: ClassState) -> None:
        """Remove a class without requests."""
        if class_state.due_handle is not None:
            self._by_due_starts.discard(class_state.due_handle)

    def overdue_class(self) -> ClassState | None:
        """Return the class that may be started before higher tiers now, or None."""
        if self.starts < self._next_reserved_start:
            return None
        while (
            class_state := self._by_due_starts.peek()
        ) is not None and class_state.due_handle is not None:
            due_starts = class_state.due_handle[0]
            if due_starts > self.starts:
                return None
            if due_starts == class_state.due_starts and class_state.queued and class_state.is_open:
                return class_state
            self._by_due_starts.discard(class_state.due_handle)
            class_state.due_handle = None
            if class_state.queued and class_state.is_open:
                self.add_waiting(class_state)
        return None

    def record_start(self, class_state: ClassState, share: float, *, by_reservation: bool) -> None:
        """Record a start; `by_reservation` means that it preceded another by its share."""
        self.starts += 1
        if by_reservation:
            self._next_reserved_start = self.starts + self._interval_starts - 1
        class_state.due_starts = self.starts + 1.0 / share
