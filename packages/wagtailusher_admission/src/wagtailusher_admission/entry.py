"""The mutable records of requests and classes within one pool."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from wagtailusher_admission.const import DEFAULT_SERVICE_MS, LEAD_DEVIATIONS, MAX_LEAD_SHARE
from wagtailusher_admission.estimate import TimeEstimate
from wagtailusher_admission.heap import Handle, HandleHeap
from wagtailusher_admission.request import PendingRequest
from wagtailusher_core import ClassKey, RequestId


class EntryState(IntEnum):
    """Where a request stands."""

    IN_TIME = 0
    LATE = 1
    STARTED = 2
    GONE = 3


IN_TIME: Final = EntryState.IN_TIME
LATE: Final = EntryState.LATE
STARTED: Final = EntryState.STARTED
GONE: Final = EntryState.GONE


class Entry:
    """One request that the decider holds; `order` is its place in the order of arrival."""

    __slots__ = (
        "deadline_handle",
        "deadline_ms",
        "handle",
        "holder",
        "is_requeued",
        "order",
        "request",
        "started_ms",
        "state",
    )

    def __init__(
        self, request: PendingRequest, order: int, holder: PoolClass, *, is_requeued: bool
    ) -> None:
        """Start outside of every queue."""
        self.request = request
        self.order = order
        self.holder = holder
        self.is_requeued = is_requeued
        self.state: EntryState = GONE
        self.deadline_ms = request.deadline_ms
        if request.answer_by_ms is not None:
            self.deadline_ms = holder.deadline_ms(request, request.answer_by_ms)
        self.started_ms = 0
        self.handle: Handle | None = None
        self.deadline_handle: Handle | None = None

    @property
    def is_queued(self) -> bool:
        """Return whether the request waits for a start."""
        return self.state is IN_TIME or self.state is LATE


class PoolClass:
    """One class of one workspace in one pool and tier: its queue, quota and share."""

    __slots__ = (
        "due_handle",
        "due_starts",
        "in_service",
        "in_time_lane",
        "is_open",
        "key",
        "late_lane",
        "lead",
        "order",
        "queued",
        "quota",
        "rank_handle",
        "service",
        "tier",
        "weight",
    )

    def __init__(self, key: ClassKey, tier: int, order: int, due_starts: float) -> None:
        """Start without requests."""
        self.key = key
        self.tier = tier
        self.order = order
        self.weight = 1.0
        self.quota: int | None = None
        self.is_open = True
        self.queued: dict[RequestId, Entry] = {}
        self.in_service = 0
        self.service = TimeEstimate()
        self.lead = TimeEstimate()
        self.due_starts = due_starts
        self.due_handle: Handle | None = None
        self.rank_handle: Handle | None = None
        self.in_time_lane: Lane | None = None
        self.late_lane: Lane | None = None

    @property
    def shared_places(self) -> int:
        """Return how many of the pool's shared places the class holds."""
        return max(0, len(self.queued) - 1)

    @property
    def occupancy(self) -> float:
        """Return the shared places held, for the class's weight."""
        return self.shared_places / self.weight

    def cost_ms(self, request: PendingRequest) -> float:
        """Return how long a request is expected to be in service."""
        if request.expected_service_ms > 0:
            return float(request.expected_service_ms)
        return self.service.mean_ms if self.service.is_known else DEFAULT_SERVICE_MS

    def deadline_ms(self, request: PendingRequest, answer_by_ms: int) -> int:
        """Return the latest start on target; a part of the time is always left for waiting."""
        lead_ms = self.lead.mean_ms + LEAD_DEVIATIONS * self.lead.deviation_ms
        most_ms = MAX_LEAD_SHARE * (answer_by_ms - request.arrived_ms)
        return min(request.deadline_ms, int(answer_by_ms - min(lead_ms, most_ms)))

    def newest(self) -> Entry | None:
        """Return the entry that came last, those that keep an earlier place excepted."""
        newest_first = reversed(self.queued.values())
        fresh = (entry for entry in newest_first if not entry.is_requeued)
        return next(fresh, next(iter(self.queued.values()), None))


class Flow:
    """The lanes of one workspace, and its virtual tag."""

    __slots__ = ("handle", "is_eligible", "lanes", "order", "tag", "waiting_lanes", "weight")

    def __init__(self, order: int, tag: float) -> None:
        """Start without requests."""
        self.order = order
        self.tag = tag
        self.weight = 1.0
        self.is_eligible = True
        self.lanes: list[Lane] = []
        self.waiting_lanes = 0
        self.handle: Handle | None = None


class Lane:
    """The requests of one class in one fair queue, by deadline."""

    __slots__ = ("entries", "flow", "handle", "holder", "shown")

    def __init__(self, holder: PoolClass, flow: Flow) -> None:
        """Start without requests."""
        self.holder = holder
        self.flow = flow
        self.shown: Entry | None = None
        self.handle: Handle | None = None
        self.entries: HandleHeap[Entry] = HandleHeap()
