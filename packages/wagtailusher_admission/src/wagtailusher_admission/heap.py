"""A heap whose items may die in place; dead items are dropped when they surface."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

from wagtailusher_admission.const import HEAP_COMPACTION_SIZE

ItemT = TypeVar("ItemT")


class LazyHeap(Generic[ItemT]):
    """Items by key, then by order; `is_alive(key, item)` tells which still count.

    Live items with one key and order must be one item. A push of a live item twice is harmless.
    """

    __slots__ = ("_compaction_size", "_heap", "_is_alive", "_pushes")

    def __init__(self, is_alive: Callable[[float, ItemT], bool]) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, int, ItemT]] = []
        self._pushes = 0
        self._is_alive = is_alive
        self._compaction_size = HEAP_COMPACTION_SIZE

    def push(self, key: float, order: int, item: ItemT) -> None:
        """Add an item."""
        self._pushes += 1
        heappush(self._heap, (key, order, self._pushes, item))
        if len(self._heap) > self._compaction_size:
            self._compact()

    def peek(self) -> ItemT | None:
        """Return the live item with the least key."""
        heap = self._heap
        while heap:
            key, _, _, item = heap[0]
            if self._is_alive(key, item):
                return item
            heappop(heap)
        return None

    def peek_key(self) -> float | None:
        """Return the least key of the live items."""
        return None if self.peek() is None else self._heap[0][0]

    def in_order(self) -> Iterator[ItemT]:
        """Yield the live items in order; the heap stays as it is and must not change meanwhile."""
        heap = self._heap
        if not heap:
            return
        frontier = [(heap[0][:2], 0)]
        last: tuple[float, int] | None = None
        while frontier:
            _, index = heappop(frontier)
            for child in (2 * index + 1, 2 * index + 2):
                if child < len(heap):
                    heappush(frontier, (heap[child][:2], child))
            key, order, _, item = heap[index]
            if (key, order) != last and self._is_alive(key, item):
                last = (key, order)
                yield item

    def _compact(self) -> None:
        """Drop the dead and the doubled; the cost is spread over the pushes since the last time."""
        alive = {row[:2]: row for row in self._heap if self._is_alive(row[0], row[3])}
        self._heap = list(alive.values())
        heapify(self._heap)
        self._compaction_size = max(HEAP_COMPACTION_SIZE, 2 * len(self._heap))
