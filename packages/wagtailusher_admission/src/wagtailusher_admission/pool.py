"""The queue of one pool: tiers, shared places, shares and the order of service."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from wagtailusher_admission.const import MIN_WEIGHT, TIER_COUNT
from wagtailusher_admission.drain_rate import DrainRate
from wagtailusher_admission.entry import Entry, EntryState, PoolClass
from wagtailusher_admission.fair_queue import FairQueue
from wagtailusher_admission.heap import LazyHeap
from wagtailusher_admission.request import AdmissionLimits, PendingRequest
from wagtailusher_admission.shares import ShareSchedule
from wagtailusher_core import ClassKey


class Tier:
    """The requests of one tier in one pool."""

    __slots__ = ("held_back", "in_service", "in_time", "largest", "late", "queued", "shared_places")

    def __init__(self, limits: AdmissionLimits) -> None:
        """Start empty."""
        self.in_time = FairQueue(EntryState.IN_TIME, limits.fairness_allowance_ms)
        self.late = FairQueue(EntryState.LATE, limits.fairness_allowance_ms)
        self.largest: LazyHeap[PoolClass] = LazyHeap(
            lambda key, holder: key < 0 and -key == holder.occupancy
        )
        self.queued = 0
        self.held_back = 0
        self.in_service = 0
        self.shared_places = 0

    def queue_of(self, entry: Entry) -> FairQueue:
        """Return the fair queue that a queued entry belongs to."""
        return self.late if entry.state is EntryState.LATE else self.in_time

    def head(self) -> Entry | None:
        """Return the entry to start next."""
        return self.in_time.head() or self.late.head()

    def refresh(self, pool_class: PoolClass) -> None:
        """Take note of a change of the class's first entry or quota."""
        self.in_time.refresh(pool_class)
        self.late.refresh(pool_class)


class PoolQueue:
    """The requests that wait for one pool, or are in service there."""

    __slots__ = ("_classes", "_limits", "_order", "_tiers", "drain_rate", "shares", "shared_places")

    def __init__(self, limits: AdmissionLimits) -> None:
        """Start empty."""
        self._limits = limits
        self._tiers = tuple(Tier(limits) for _ in range(TIER_COUNT))
        self._classes: dict[tuple[ClassKey, int], PoolClass] = {}
        self._order = 0
        self.shares = ShareSchedule(limits.reserve_interval_starts)
        self.drain_rate = DrainRate()
        self.shared_places = 0

    def pool_class(self, request: PendingRequest) -> PoolClass:
        """Return the record of the request's class, with its present settings."""
        key = (request.key, request.tier)
        found = self._classes.get(key)
        if found is None:
            self._order += 1
            found = self._classes[key] = PoolClass(request.key, request.tier, self._order)
            found.due_starts = float(self.shares.starts)
        weight = max(MIN_WEIGHT, request.weight)
        if found.weight != weight:
            found.weight = weight
            self._rank(found)
        if found.quota != request.in_flight_quota:
            self._change_quota(found, request.in_flight_quota)
        return found

    def insert(self, entry: Entry, state: EntryState) -> None:
        """Put an entry into the queue."""
        holder = entry.entered_class
        tier = self._tiers[holder.tier]
        entry.state = state
        holder.queued[entry.request.request_id] = entry
        holder.newest.push(-entry.order, entry.order, entry)
        self._count(tier, holder, 1)
        tier.queue_of(entry).add(entry)
        if len(holder.queued) == 1:
            self.shares.wait(holder)

    def remove(self, entry: Entry, state: EntryState) -> None:
        """Take an entry out of the queue."""
        holder = entry.entered_class
        tier = self._tiers[holder.tier]
        queue = tier.queue_of(entry)
        entry.state = state
        del holder.queued[entry.request.request_id]
        self._count(tier, holder, -1)
        queue.refresh(holder)

    def turn_late(self, entry: Entry) -> None:
        """Move an entry behind those that can still meet their target."""
        holder = entry.entered_class
        tier = self._tiers[holder.tier]
        entry.state = EntryState.LATE
        tier.in_time.refresh(holder)
        tier.late.add(entry)

    def start(self, entry: Entry, now_ms: int) -> None:
        """Take an entry into service and charge its class and workspace."""
        holder = entry.entered_class
        tier = self._tiers[holder.tier]
        out_of_turn = self.shares.overdue() is holder and self._head() is not entry
        tier.queue_of(entry).charge(entry)
        self.remove(entry, EntryState.STARTED)
        tier.in_service += 1
        self._change_in_service(holder, 1)
        share = max(self._limits.min_share, entry.request.share)
        self.shares.started(holder, share, out_of_turn=out_of_turn)
        self.drain_rate.started(now_ms, others_wait=any(tier.queued for tier in self._tiers))

    def end_service(self, entry: Entry) -> None:
        """Give back what an entry in service held."""
        holder = entry.entered_class
        self._tiers[holder.tier].in_service -= 1
        entry.state = EntryState.GONE
        self._change_in_service(holder, -1)

    def victim(self, newcomer: PoolClass, *, keeps_place: bool) -> Entry | None:
        """Return the entry that gives its shared place to a newcomer, or None.

        The lowest tier that holds shared places gives one, from the class that holds most for its
        weight, the newest first. Within the newcomer's own tier only a class that holds more than
        the newcomer's would then hold gives a place, unless the newcomer keeps an earlier one.
        """
        lowest = next((tier for tier in reversed(self._tiers) if tier.shared_places), None)
        if lowest is None:
            return None
        holder = lowest.largest.peek()
        if holder is None or holder.tier < newcomer.tier:
            return None
        same_tier = holder.tier == newcomer.tier
        after = len(newcomer.queued) / newcomer.weight
        if same_tier and not keeps_place and holder.occupancy <= after:
            return None
        return holder.newest.peek()

    def in_order(self) -> Iterator[Entry]:
        """Yield the queued entries in order of service."""
        first = self._reserved()
        if first is not None:
            yield first
        queues = (queue for tier in self._tiers for queue in (tier.in_time, tier.late))
        entries = chain.from_iterable(queue.in_order() for queue in queues)
        yield from (entry for entry in entries if entry is not first)

    def requests_ahead(self, tier: int) -> int:
        """Return how many requests of this and higher tiers wait."""
        return sum(higher.queued for higher in self._tiers[: tier + 1])

    def demand(self) -> dict[int, int]:
        """Return the requests that are in service or could start, by tier."""
        return {
            number: tier.queued - tier.held_back + tier.in_service
            for number, tier in enumerate(self._tiers)
            if tier.queued - tier.held_back + tier.in_service
        }

    def is_idle(self) -> bool:
        """Return whether nothing waits or is in service."""
        return not any(tier.queued or tier.in_service for tier in self._tiers)

    def forget_idle_classes(self) -> None:
        """Drop the records of classes without requests once there are too many."""
        if len(self._classes) <= self._limits.idle_class_limit:
            return
        for key, holder in tuple(self._classes.items()):
            if not holder.queued and not holder.in_service:
                del self._classes[key]
                self._tiers[holder.tier].in_time.forget(holder)
                self._tiers[holder.tier].late.forget(holder)

    def _reserved(self) -> Entry | None:
        """Return the first entry of the class whose share is overdue, the late ones before."""
        due = self.shares.overdue()
        if due is None:
            return None
        tier = self._tiers[due.tier]
        return tier.late.first_of(due) or tier.in_time.first_of(due)

    def _head(self) -> Entry | None:
        """Return the entry to start next but for shares."""
        for tier in self._tiers:
            head = tier.head()
            if head is not None:
                return head
        return None

    def _count(self, tier: Tier, holder: PoolClass, change: int) -> None:
        """Adjust the counts of a tier after a class's queue grew or shrank by one."""
        shared_before = max(0, len(holder.queued) - change - 1)
        shared_change = holder.shared_places - shared_before
        tier.queued += change
        tier.shared_places += shared_change
        self.shared_places += shared_change
        if not holder.is_open:
            tier.held_back += change
        self._rank(holder)

    def _rank(self, holder: PoolClass) -> None:
        """Put a class where its shared places belong among those of its tier."""
        if holder.shared_places:
            tier = self._tiers[holder.tier]
            tier.largest.push(-holder.occupancy, holder.order, holder)

    def _change_in_service(self, holder: PoolClass, change: int) -> None:
        was_open = holder.is_open
        holder.in_service += change
        self._after_quota(holder, was_open)

    def _change_quota(self, holder: PoolClass, quota: int | None) -> None:
        was_open = holder.is_open
        holder.quota = quota
        self._after_quota(holder, was_open)

    def _after_quota(self, holder: PoolClass, was_open: bool) -> None:
        """Show or hide a class's requests when its quota opened or closed."""
        if holder.is_open == was_open:
            return
        tier = self._tiers[holder.tier]
        tier.held_back += -len(holder.queued) if holder.is_open else len(holder.queued)
        tier.refresh(holder)
        if holder.is_open and holder.queued:
            self.shares.wait(holder)
