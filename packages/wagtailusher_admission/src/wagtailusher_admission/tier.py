"""The queued requests of one tier in one pool."""

from __future__ import annotations

from wagtailusher_admission.entry import LATE, ClassQueue, ClassState, Entry
from wagtailusher_admission.fair_queue import FairQueue
from wagtailusher_admission.heap import HandleHeap
from wagtailusher_admission.request import AdmissionLimits


class Tier:
    """The queues of one tier, its counts, and its classes ranked by the shared slots they use.

    A class keeps its rank when it uses fewer; the rank is corrected when it reaches the top.
    """

    __slots__ = (
        "_ranked",
        "blocked_by_quota",
        "in_service",
        "in_time",
        "late",
        "queued",
        "shared_slots",
    )

    def __init__(self, limits: AdmissionLimits) -> None:
        self.in_time = FairQueue(limits.fairness_allowance_ms)
        self.late = FairQueue(limits.fairness_allowance_ms)
        self._ranked: HandleHeap[ClassState] = HandleHeap()
        self.queued = 0
        self.blocked_by_quota = 0
        self.in_service = 0
        self.shared_slots = 0

    def add(self, entry: Entry) -> None:
        """Add an entry to the queue for its state."""
        queue, class_queue = self._queues_of(entry)
        queue.add(class_queue, entry)

    def remove(self, entry: Entry) -> None:
        """Remove an entry from the queue for its state."""
        queue, class_queue = self._queues_of(entry)
        queue.remove(class_queue, entry)

    def start(self, entry: Entry) -> None:
        """Remove an entry that is started from its queue; its workspace's tag advances."""
        queue, class_queue = self._queues_of(entry)
        queue.start(class_queue, entry)
        self.in_service += 1

    def next_entry(self) -> Entry | None:
        """Return the entry to start next, or None."""
        return self.in_time.next_entry() or self.late.next_entry()

    def first_entry_of(self, class_state: ClassState) -> Entry | None:
        """Return a class's first entry, late entries before the others, or None."""
        for class_queue in (class_state.late_queue, class_state.in_time_queue):
            if class_queue is not None and (entry := class_queue.entries.peek()) is not None:
                return entry
        return None

    def refresh_quota(self, class_state: ClassState) -> None:
        """Update the queues and the count of a class whose quota opened or closed."""
        self.blocked_by_quota += (
            -len(class_state.queued) if class_state.is_open else len(class_state.queued)
        )
        if class_state.in_time_queue is not None:
            self.in_time.refresh(class_state.in_time_queue)
        if class_state.late_queue is not None:
            self.late.refresh(class_state.late_queue)

    def update_rank(self, class_state: ClassState) -> None:
        """Raise the rank of a class that uses more shared slots for its weight."""
        key = (1 - len(class_state.queued)) / class_state.weight
        handle = class_state.rank_handle
        if handle is not None:
            if handle[0] <= key:
                return
            self._ranked.discard(handle)
        class_state.rank_handle = self._ranked.push(key, class_state.order, class_state)

    def largest_class(self) -> ClassState | None:
        """Return the class that uses the most shared slots for its weight, or None."""
        while (
            class_state := self._ranked.peek()
        ) is not None and class_state.rank_handle is not None:
            key = -class_state.occupancy
            if class_state.rank_handle[0] == key:
                return class_state if class_state.shared_slots else None
            self._ranked.discard(class_state.rank_handle)
            class_state.rank_handle = self._ranked.push(key, class_state.order, class_state)
        return None

    def remove_class(self, class_state: ClassState) -> None:
        """Remove a class without requests from the rank and the queues."""
        if class_state.rank_handle is not None:
            self._ranked.discard(class_state.rank_handle)
        if class_state.in_time_queue is not None:
            self.in_time.remove_class_queue(class_state.in_time_queue)
        if class_state.late_queue is not None:
            self.late.remove_class_queue(class_state.late_queue)

    def _queues_of(self, entry: Entry) -> tuple[FairQueue, ClassQueue]:
        """Return the fair queue and the class queue for an entry's state; create the latter."""
        class_state = entry.class_state
        if entry.state is LATE:
            if class_state.late_queue is None:
                class_state.late_queue = self.late.create_class_queue(class_state)
            return self.late, class_state.late_queue
        if class_state.in_time_queue is None:
            class_state.in_time_queue = self.in_time.create_class_queue(class_state)
        return self.in_time, class_state.in_time_queue
