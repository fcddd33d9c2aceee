"""The queue of one pool: tiers, shared places, shares and the order of service."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from wagtailusher_admission.const import MIN_WEIGHT, TIER_COUNT
from wagtailusher_admission.drain_rate import DrainRate
from wagtailusher_admission.entry import GONE, LATE, STARTED, Entry, EntryState, PoolClass
from wagtailusher_admission.request import AdmissionLimits, PendingRequest
from wagtailusher_admission.shares import ShareSchedule
from wagtailusher_admission.tier import Tier
from wagtailusher_core import ClassKey


class PoolQueue:
    """The requests that wait for one pool, or are in service there."""

    __slots__ = (
        "_classes",
        "_drain_rate",
        "_limits",
        "_shares",
        "_tiers",
        "_class_count",
        "_class_limit",
        "queued",
        "shared_places",
    )

    def __init__(self, limits: AdmissionLimits) -> None:
        """Start empty."""
        self._limits = limits
        self._tiers = tuple(Tier(limits) for _ in range(TIER_COUNT))
        self._classes: dict[tuple[ClassKey, int], PoolClass] = {}
        self._class_count = 0
        self._class_limit = limits.idle_class_limit
        self._shares = ShareSchedule(limits.reserve_interval_starts)
        self._drain_rate = DrainRate()
        self.queued = 0
        self.shared_places = 0

    def class_of(self, request: PendingRequest) -> PoolClass:
        """Return the record of the request's class, with its present settings."""
        key = (request.key, request.tier)
        holder = self._classes.get(key)
        if holder is None:
            self._forget_idle_classes()
            self._class_count += 1
            due_starts = float(self._shares.starts)
            holder = PoolClass(request.key, request.tier, self._class_count, due_starts)
            self._classes[key] = holder
        if holder.weight != request.weight:
            holder.weight = max(MIN_WEIGHT, request.weight)
            if holder.shared_places:
                self._tiers[holder.tier].rank(holder)
        if holder.quota != request.in_flight_quota:
            holder.quota = request.in_flight_quota
            self._apply_quota(holder)
        return holder

    def insert(self, entry: Entry, state: EntryState) -> None:
        """Put an entry into the queue."""
        holder = entry.holder
        tier = self._tiers[holder.tier]
        entry.state = state
        holder.queued[entry.request.request_id] = entry
        self._count(tier, holder, 1)
        tier.add(entry)

    def remove(self, entry: Entry) -> None:
        """Take an entry out of the queue."""
        holder = entry.holder
        tier = self._tiers[holder.tier]
        tier.remove(entry)
        entry.state = GONE
        del holder.queued[entry.request.request_id]
        self._count(tier, holder, -1)

    def turn_late(self, entry: Entry) -> None:
        """Move an entry behind those that can still meet their target."""
        tier = self._tiers[entry.holder.tier]
        tier.remove(entry)
        entry.state = LATE
        tier.add(entry)

    def start(self, entry: Entry, now_ms: int) -> None:
        """Take an entry into service and charge its class and workspace."""
        holder = entry.holder
        tier = self._tiers[holder.tier]
        out_of_turn = self._shares.overdue() is holder and self._head() is not entry
        tier.start(entry)
        entry.state = STARTED
        entry.started_ms = now_ms
        del holder.queued[entry.request.request_id]
        self._count(tier, holder, -1)
        holder.in_service += 1
        if holder.quota is not None:
            self._apply_quota(holder)
        share = max(self._limits.min_share, entry.request.share)
        self._shares.started(holder, share, out_of_turn=out_of_turn)
        self._drain_rate.started(now_ms, others_wait=self.queued > 0)

    def end_service(self, entry: Entry) -> None:
        """Give back what an entry in service held."""
        holder = entry.holder
        entry.state = GONE
        self._tiers[holder.tier].in_service -= 1
        holder.in_service -= 1
        if holder.quota is not None:
            self._apply_quota(holder)

    def victim(self, newcomer: PoolClass, *, keeps_place: bool) -> Entry | None:
        """Return the entry that gives its shared place to a newcomer, or None.

        The lowest tier that holds shared places gives one, from the class that holds most for its
        weight, the newest first. Within the newcomer's own tier only a class that holds more than
        the newcomer's would then hold gives a place, unless the newcomer keeps an earlier one.
        """
        lowest = next((tier for tier in reversed(self._tiers) if tier.shared_places), None)
        holder = None if lowest is None else lowest.largest()
        if holder is None or holder.tier < newcomer.tier:
            return None
        if holder.tier == newcomer.tier and not keeps_place:
            newcomer_occupancy = len(newcomer.queued) / newcomer.weight
            if holder.occupancy <= newcomer_occupancy:
                return None
        return holder.newest()

    def first(self) -> Entry | None:
        """Return the entry to start next."""
        due = self._shares.overdue()
        return self._head() if due is None else self._tiers[due.tier].first_of(due)

    def after(self, first: Entry) -> Iterator[Entry]:
        """Yield the queued entries but the first, in order of service."""
        queues = (queue for tier in self._tiers for queue in (tier.in_time, tier.late))
        entries = chain.from_iterable(queue.in_order() for queue in queues)
        yield from (entry for entry in entries if entry is not first)

    def finish(self, entry: Entry, now_ms: int) -> None:
        """End the service of an entry, and learn from its time."""
        entry.holder.service.add(now_ms - entry.started_ms)
        self.end_service(entry)

    def mean_service_ms(self, key: ClassKey, tier: int) -> float | None:
        """Return the learned time in service of a class."""
        holder = self._classes.get((key, tier))
        if holder is None or not holder.service.is_known:
            return None
        return holder.service.mean_ms

    def wait_ms(self, tier: int) -> float:
        """Return how long a new request of a tier would wait at the present rate."""
        ahead = sum(higher.queued for higher in self._tiers[: tier + 1])
        return self._drain_rate.wait_ms(ahead)

    def demand(self) -> dict[int, int]:
        """Return the requests that are in service or could start, by tier."""
        counts = (tier.queued - tier.held_back + tier.in_service for tier in self._tiers)
        return {number: count for number, count in enumerate(counts) if count}

    def is_idle(self) -> bool:
        """Return whether nothing waits or is in service."""
        return not self.queued and not any(tier.in_service for tier in self._tiers)

    def _head(self) -> Entry | None:
        """Return the entry to start next but for shares."""
        for tier in self._tiers:
            if tier.queued and (head := tier.head()) is not None:
                return head
        return None

    def _count(self, tier: Tier, holder: PoolClass, change: int) -> None:
        """Adjust the counts after a class's queue grew or shrank by one."""
        self.queued += change
        tier.queued += change
        if not holder.is_open:
            tier.held_back += change
        if len(holder.queued) > (change > 0):
            tier.shared_places += change
            self.shared_places += change
            if change > 0:
                tier.rank(holder)
        elif change > 0 and holder.due_handle is None:
            self._shares.wait(holder)

    def _apply_quota(self, holder: PoolClass) -> None:
        """Open or close a class by its quota."""
        is_open = holder.quota is None or holder.in_service < holder.quota
        if is_open is holder.is_open:
            return
        holder.is_open = is_open
        self._tiers[holder.tier].refresh_quota(holder)
        if is_open and holder.queued:
            self._shares.wait(holder)

    def _forget_idle_classes(self) -> None:
        """Drop the records of classes without requests once there are too many."""
        if len(self._classes) < self._class_limit:
            return
        idle = [
            (key, holder)
            for key, holder in self._classes.items()
            if not holder.queued and not holder.in_service
        ]
        for key, holder in idle:
            del self._classes[key]
            self._shares.forget(holder)
            self._tiers[holder.tier].forget(holder)
        self._class_limit = max(self._limits.idle_class_limit, 2 * len(self._classes))
