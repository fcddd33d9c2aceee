"""Mutable state of requests, classes and workspaces within one pool."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from wagtailusher_admission.const import (
    ANSWER_TIME_DEVIATIONS,
    DEFAULT_SERVICE_MS,
    MAX_ANSWER_TIME_SHARE,
)
from wagtailusher_admission.estimate import TimeEstimate
from wagtailusher_admission.heap import Handle, HandleHeap
from wagtailusher_admission.request import PendingRequest
from wagtailusher_core import ClassKey, RequestId


class EntryState(IntEnum):
    """State of a request in a pool."""

    IN_TIME = 0
    LATE = 1
    STARTED = 2
    GONE = 3


IN_TIME: Final = EntryState.IN_TIME
LATE: Final = EntryState.LATE
STARTED: Final = EntryState.STARTED
GONE: Final = EntryState.GONE


class Entry:
    """A request that the decider holds; `order` is its position in arrival order."""

    __slots__ = (
        "deadline_handle",
        "deadline_ms",
        "handle",
        "class_state",
        "is_requeued",
        "order",
        "request",
        "started_ms",
        "state",
    )

    def __init__(
        self, request: PendingRequest, order: int, class_state: ClassState, *, is_requeued: bool
    ) -> None:
        self.request = request
        self.order = order
        self.class_state = class_state
        self.is_requeued = is_requeued
        self.state: EntryState = GONE
        self.deadline_ms = request.deadline_ms
        if request.answer_by_ms is not None:
            self.deadline_ms = class_state.deadline_ms(request, request.answer_by_ms)
        self.started_ms = 0
        self.handle: Handle | None = None
        self.deadline_handle: Handle | None = None

    @property
    def is_queued(self) -> bool:
        """Return whether the request waits for a start."""
        return self.state is IN_TIME or self.state is LATE


class ClassState:
    """A workspace's class in one pool and tier: its queued requests, quota and share."""

    __slots__ = (
        "due_handle",
        "due_starts",
        "in_service",
        "in_time_queue",
        "is_open",
        "key",
        "late_queue",
        "answer_time",
        "order",
        "queued",
        "quota",
        "rank_handle",
        "service_time",
        "tier",
        "weight",
    )

    def __init__(self, key: ClassKey, tier: int, order: int, due_starts: float) -> None:
        self.key = key
        self.tier = tier
        self.order = order
        self.weight = 1.0
        self.quota: int | None = None
        self.is_open = True
        self.queued: dict[RequestId, Entry] = {}
        self.in_service = 0
        self.service_time = TimeEstimate()
        self.answer_time = TimeEstimate()
        self.due_starts = due_starts
        self.due_handle: Handle | None = None
        self.rank_handle: Handle | None = None
        self.in_time_queue: ClassQueue | None = None
        self.late_queue: ClassQueue | None = None

    @property
    def shared_slots(self) -> int:
        """Return how many of the pool's shared queue slots the class uses."""
        return max(0, len(self.queued) - 1)

    @property
    def occupancy(self) -> float:
        """Return the shared queue slots used, divided by the class's weight."""
        return self.shared_slots / self.weight

    def cost_ms(self, request: PendingRequest) -> float:
        """Return the expected service time of a request."""
        if request.expected_service_ms > 0:
            return float(request.expected_service_ms)
        return self.service_time.mean_ms if self.service_time.is_known else DEFAULT_SERVICE_MS

    def deadline_ms(self, request: PendingRequest, answer_by_ms: int) -> int:
        """Return the latest start that meets the target, leaving some of the time for queueing."""
        answer_time_ms = (
            self.answer_time.mean_ms + ANSWER_TIME_DEVIATIONS * self.answer_time.deviation_ms
        )
        max_ms = MAX_ANSWER_TIME_SHARE * (answer_by_ms - request.arrived_ms)
        return min(request.deadline_ms, int(answer_by_ms - min(answer_time_ms, max_ms)))

    def newest_entry(self) -> Entry | None:
        """Return the newest entry, preferring entries that were not requeued."""
        newest_first = reversed(self.queued.values())
        not_requeued = (entry for entry in newest_first if not entry.is_requeued)
        return next(not_requeued, next(iter(self.queued.values()), None))


class WorkspaceQueue:
    """The class queues of one workspace, and its virtual tag."""

    __slots__ = ("handle", "is_eligible", "class_queues", "order", "tag", "ready_count", "weight")

    def __init__(self, order: int, tag: float) -> None:
        self.order = order
        self.tag = tag
        self.weight = 1.0
        self.is_eligible = True
        self.class_queues: list[ClassQueue] = []
        self.ready_count = 0
        self.handle: Handle | None = None


class ClassQueue:
    """The requests of one class in one fair queue, by deadline.

    `ready_entry` is the first entry, or None while the class is at its quota.
    """

    __slots__ = ("entries", "workspace_queue", "handle", "class_state", "ready_entry")

    def __init__(self, class_state: ClassState, workspace_queue: WorkspaceQueue) -> None:
        self.class_state = class_state
        self.workspace_queue = workspace_queue
        self.ready_entry: Entry | None = None
        self.handle: Handle | None = None
        self.entries: HandleHeap[Entry] = HandleHeap()
