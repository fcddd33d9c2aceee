"""The requests of one tier in one pool."""

from __future__ import annotations

from wagtailusher_admission.entry import LATE, Entry, Lane, PoolClass
from wagtailusher_admission.fair_queue import FairQueue
from wagtailusher_admission.heap import HandleHeap
from wagtailusher_admission.request import AdmissionLimits


class Tier:
    """The queues of one tier, its counts, and its classes by the shared places they hold.

    A class keeps its rank when it comes to hold less; the rank is mended when it surfaces.
    """

    __slots__ = (
        "_ranked",
        "held_back",
        "in_service",
        "in_time",
        "late",
        "queued",
        "shared_places",
    )

    def __init__(self, limits: AdmissionLimits) -> None:
        """Start empty."""
        self.in_time = FairQueue(limits.fairness_allowance_ms)
        self.late = FairQueue(limits.fairness_allowance_ms)
        self._ranked: HandleHeap[PoolClass] = HandleHeap()
        self.queued = 0
        self.held_back = 0
        self.in_service = 0
        self.shared_places = 0

    def add(self, entry: Entry) -> None:
        """Put an entry into the queue that its state names."""
        queue, lane = self._place_of(entry)
        queue.add(lane, entry)

    def remove(self, entry: Entry) -> None:
        """Take an entry out of the queue that its state names."""
        queue, lane = self._place_of(entry)
        queue.remove(lane, entry)

    def start(self, entry: Entry) -> None:
        """Take an entry out of its queue and charge its workspace."""
        queue, lane = self._place_of(entry)
        queue.start(lane, entry)
        self.in_service += 1

    def head(self) -> Entry | None:
        """Return the entry to start next."""
        return self.in_time.head() or self.late.head()

    def first_of(self, holder: PoolClass) -> Entry | None:
        """Return a class's first entry, the late ones before the others."""
        for lane in (holder.late_lane, holder.in_time_lane):
            if lane is not None and (entry := lane.entries.peek()) is not None:
                return entry
        return None

    def refresh_quota(self, holder: PoolClass) -> None:
        """Show or hide the requests of a class whose quota opened or closed."""
        self.held_back += -len(holder.queued) if holder.is_open else len(holder.queued)
        if holder.in_time_lane is not None:
            self.in_time.refresh(holder.in_time_lane)
        if holder.late_lane is not None:
            self.late.refresh(holder.late_lane)

    def rank(self, holder: PoolClass) -> None:
        """Take note that a class holds more shared places for its weight."""
        key = (1 - len(holder.queued)) / holder.weight
        handle = holder.rank_handle
        if handle is not None:
            if handle[0] <= key:
                return
            self._ranked.discard(handle)
        holder.rank_handle = self._ranked.push(key, holder.order, holder)

    def largest(self) -> PoolClass | None:
        """Return the class that holds most shared places for its weight."""
        while (holder := self._ranked.peek()) is not None and holder.rank_handle is not None:
            key = -holder.occupancy
            if holder.rank_handle[0] == key:
                return holder if holder.shared_places else None
            self._ranked.discard(holder.rank_handle)
            holder.rank_handle = self._ranked.push(key, holder.order, holder)
        return None

    def forget(self, holder: PoolClass) -> None:
        """Drop what is kept of a class without requests."""
        if holder.rank_handle is not None:
            self._ranked.discard(holder.rank_handle)
        if holder.in_time_lane is not None:
            self.in_time.forget_lane(holder.in_time_lane)
        if holder.late_lane is not None:
            self.late.forget_lane(holder.late_lane)

    def _place_of(self, entry: Entry) -> tuple[FairQueue, Lane]:
        """Return the queue and the lane that an entry's state names."""
        holder = entry.holder
        if entry.state is LATE:
            if holder.late_lane is None:
                holder.late_lane = self.late.make_lane(holder)
            return self.late, holder.late_lane
        if holder.in_time_lane is None:
            holder.in_time_lane = self.in_time.make_lane(holder)
        return self.in_time, holder.in_time_lane
