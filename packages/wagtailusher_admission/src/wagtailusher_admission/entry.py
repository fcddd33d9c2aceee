"""The mutable records of requests and classes within one pool."""

from __future__ import annotations

from enum import IntEnum

from wagtailusher_admission.heap import LazyHeap
from wagtailusher_admission.request import PendingRequest
from wagtailusher_core import ClassKey, RequestId


class EntryState(IntEnum):
    """Where a request stands."""

    IN_TIME = 0
    LATE = 1
    STARTED = 2
    GONE = 3


class Entry:
    """One request that the decider holds; `order` is its place in the order of arrival."""

    __slots__ = ("entered_class", "order", "request", "state")

    def __init__(self, request: PendingRequest, order: int, entered_class: PoolClass) -> None:
        """Start outside of every queue."""
        self.request = request
        self.order = order
        self.entered_class = entered_class
        self.state = EntryState.GONE

    @property
    def is_queued(self) -> bool:
        """Return whether the request waits for a start."""
        return self.state <= EntryState.LATE


def _is_queued(_key: float, entry: Entry) -> bool:
    """Return whether an entry waits for a start."""
    return entry.state <= EntryState.LATE


class PoolClass:
    """One class of one workspace in one pool and tier: its queue, quota and share."""

    __slots__ = (
        "due_starts",
        "in_service",
        "key",
        "newest",
        "order",
        "queued",
        "quota",
        "tier",
        "weight",
    )

    def __init__(self, key: ClassKey, tier: int, order: int) -> None:
        """Start without requests."""
        self.key = key
        self.tier = tier
        self.order = order
        self.weight = 1.0
        self.quota: int | None = None
        self.queued: dict[RequestId, Entry] = {}
        self.newest: LazyHeap[Entry] = LazyHeap(_is_queued)
        self.in_service = 0
        self.due_starts = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether the quota lets another request start."""
        return self.quota is None or self.in_service < self.quota

    @property
    def shared_places(self) -> int:
        """Return how many of the pool's shared places the class holds."""
        return max(0, len(self.queued) - 1)

    @property
    def occupancy(self) -> float:
        """Return the shared places held, for the class's weight."""
        return self.shared_places / self.weight
