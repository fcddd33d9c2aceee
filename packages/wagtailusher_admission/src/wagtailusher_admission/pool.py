"""The queue of one pool: tiers, shared queue slots, shares and the order of service."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from wagtailusher_admission.const import MIN_WEIGHT, TIER_COUNT
from wagtailusher_admission.drain_rate import DrainRate
from wagtailusher_admission.entry import GONE, LATE, STARTED, ClassState, Entry, EntryState
from wagtailusher_admission.request import AdmissionLimits, PendingRequest
from wagtailusher_admission.shares import ShareSchedule
from wagtailusher_admission.tier import Tier
from wagtailusher_core import ClassKey


class PoolQueue:
    """The requests that are queued for one pool or in service there."""

    __slots__ = (
        "_classes",
        "_drain_rate",
        "_limits",
        "_shares",
        "_tiers",
        "_class_count",
        "_class_limit",
        "queued",
        "shared_slots",
    )

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._tiers = tuple(Tier(limits) for _ in range(TIER_COUNT))
        self._classes: dict[tuple[ClassKey, int], ClassState] = {}
        self._class_count = 0
        self._class_limit = limits.idle_class_limit
        self._shares = ShareSchedule(limits.reserve_interval_starts)
        self._drain_rate = DrainRate()
        self.queued = 0
        self.shared_slots = 0

    def get_class_state(self, request: PendingRequest) -> ClassState:
        """Return the state of a request's class, updated with the request's settings."""
        key = (request.key, request.tier)
        class_state = self._classes.get(key)
        if class_state is None:
            self._evict_idle_classes()
            self._class_count += 1
            due_starts = float(self._shares.starts)
            class_state = ClassState(request.key, request.tier, self._class_count, due_starts)
            self._classes[key] = class_state
        if class_state.weight != request.weight:
            class_state.weight = max(MIN_WEIGHT, request.weight)
            if class_state.shared_slots:
                self._tiers[class_state.tier].update_rank(class_state)
        if class_state.quota != request.in_flight_quota:
            class_state.quota = request.in_flight_quota
            self._apply_quota(class_state)
        return class_state

    def insert(self, entry: Entry, state: EntryState) -> None:
        """Add an entry to the queue."""
        class_state = entry.class_state
        tier = self._tiers[class_state.tier]
        entry.state = state
        class_state.queued[entry.request.request_id] = entry
        self._adjust_counts(tier, class_state, 1)
        tier.add(entry)

    def remove(self, entry: Entry) -> None:
        """Remove an entry from the queue."""
        class_state = entry.class_state
        tier = self._tiers[class_state.tier]
        tier.remove(entry)
        entry.state = GONE
        del class_state.queued[entry.request.request_id]
        self._adjust_counts(tier, class_state, -1)

    def mark_late(self, entry: Entry) -> None:
        """Move an entry behind those of its tier that can still meet their target."""
        tier = self._tiers[entry.class_state.tier]
        tier.remove(entry)
        entry.state = LATE
        tier.add(entry)

    def start(self, entry: Entry, now_ms: int) -> None:
        """Move an entry into service; update its class's quota and its workspace's tag."""
        class_state = entry.class_state
        tier = self._tiers[class_state.tier]
        by_reservation = (
            self._shares.overdue_class() is class_state and self._next_by_tier() is not entry
        )
        tier.start(entry)
        entry.state = STARTED
        entry.started_ms = now_ms
        del class_state.queued[entry.request.request_id]
        self._adjust_counts(tier, class_state, -1)
        class_state.in_service += 1
        if class_state.quota is not None:
            self._apply_quota(class_state)
        share = max(self._limits.min_share, entry.request.share)
        self._shares.record_start(class_state, share, by_reservation=by_reservation)
        self._drain_rate.record_start(now_ms, others_wait=self.queued > 0)

    def end_service(self, entry: Entry) -> None:
        """Remove an entry from service and from its class's quota."""
        class_state = entry.class_state
        entry.state = GONE
        self._tiers[class_state.tier].in_service -= 1
        class_state.in_service -= 1
        if class_state.quota is not None:
            self._apply_quota(class_state)

    def eviction_candidate(self, incoming: ClassState, *, is_requeue: bool) -> Entry | None:
        """Return the queued entry to evict for an incoming request's class, or None.

        It is the newest entry of the class with the most shared slots for its weight, in the lowest
        tier that uses any. Within the incoming request's own tier, only a class that uses more than
        the incoming class then would loses a slot, unless the incoming request is a requeue.
        """
        lowest = next((tier for tier in reversed(self._tiers) if tier.shared_slots), None)
        class_state = None if lowest is None else lowest.largest_class()
        if class_state is None or class_state.tier < incoming.tier:
            return None
        if class_state.tier == incoming.tier and not is_requeue:
            incoming_occupancy = len(incoming.queued) / incoming.weight
            if class_state.occupancy <= incoming_occupancy:
                return None
        return class_state.newest_entry()

    def next_to_start(self) -> Entry | None:
        """Return the entry to start next: of an overdue share first, otherwise by tier."""
        overdue = self._shares.overdue_class()
        return (
            self._next_by_tier()
            if overdue is None
            else self._tiers[overdue.tier].first_entry_of(overdue)
        )

    def entries_after(self, first: Entry) -> Iterator[Entry]:
        """Yield the queued entries except `first`, in order of service."""
        queues = (queue for tier in self._tiers for queue in (tier.in_time, tier.late))
        entries = chain.from_iterable(queue.in_order() for queue in queues)
        yield from (entry for entry in entries if entry is not first)

    def finish(self, entry: Entry, now_ms: int) -> None:
        """End the service of an entry and add its service time to the estimate."""
        entry.class_state.service_time.add(now_ms - entry.started_ms)
        self.end_service(entry)

    def mean_service_ms(self, key: ClassKey, tier: int) -> float | None:
        """Return the mean service time of a class, or None without a sample."""
        class_state = self._classes.get((key, tier))
        if class_state is None or not class_state.service_time.is_known:
            return None
        return class_state.service_time.mean_ms

    def wait_ms(self, tier: int) -> float:
        """Return the expected wait of a new request of a tier at the current start rate."""
        ahead = sum(higher.queued for higher in self._tiers[: tier + 1])
        return self._drain_rate.wait_ms(ahead)

    def demand(self) -> dict[int, int]:
        """Return by tier the number of requests in service or queued within quota."""
        counts = (tier.queued - tier.blocked_by_quota + tier.in_service for tier in self._tiers)
        return {number: count for number, count in enumerate(counts) if count}

    def is_idle(self) -> bool:
        """Return whether no request is queued or in service."""
        return not self.queued and not any(tier.in_service for tier in self._tiers)

    def _next_by_tier(self) -> Entry | None:
        """Return the entry to start next by tier, without regard to shares."""
        for tier in self._tiers:
            if tier.queued and (next_entry := tier.next_entry()) is not None:
                return next_entry
        return None

    def _adjust_counts(self, tier: Tier, class_state: ClassState, change: int) -> None:
        """Update the counts after a class's queue grew or shrank by one."""
        self.queued += change
        tier.queued += change
        if not class_state.is_open:
            tier.blocked_by_quota += change
        if len(class_state.queued) > (change > 0):
            tier.shared_slots += change
            self.shared_slots += change
            if change > 0:
                tier.update_rank(class_state)
        elif change > 0 and class_state.due_handle is None:
            self._shares.add_waiting(class_state)

    def _apply_quota(self, class_state: ClassState) -> None:
        """Open a class that is below its quota, or close one that has reached it."""
        is_open = class_state.quota is None or class_state.in_service < class_state.quota
        if is_open is class_state.is_open:
            return
        class_state.is_open = is_open
        self._tiers[class_state.tier].refresh_quota(class_state)
        if is_open and class_state.queued:
            self._shares.add_waiting(class_state)

    def _evict_idle_classes(self) -> None:
        """Drop the state of classes without requests when there are too many classes."""
        if len(self._classes) < self._class_limit:
            return
        idle = [
            (key, class_state)
            for key, class_state in self._classes.items()
            if not class_state.queued and not class_state.in_service
        ]
        for key, class_state in idle:
            del self._classes[key]
            self._shares.remove_class(class_state)
            self._tiers[class_state.tier].remove_class(class_state)
        self._class_limit = max(self._limits.idle_class_limit, 2 * len(self._classes))
