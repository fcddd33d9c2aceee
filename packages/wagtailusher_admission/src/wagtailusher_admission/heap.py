"""A heap whose items can be discarded by handle."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from typing import Any, Generic, TypeVar

from wagtailusher_admission.const import HEAP_COMPACTION_SIZE

ItemT = TypeVar("ItemT")
Handle = list[Any]
"""A row of a heap: key, order, push number and item, which is None in a discarded row."""


class HandleHeap(Generic[ItemT]):
    """Items by key, then by order.

    Discarded rows stay until they reach the top of the heap or outnumber the rest.
    """

    __slots__ = ("_discarded", "_pushes", "_rows")

    def __init__(self) -> None:
        self._rows: list[Handle] = []
        self._pushes = 0
        self._discarded = 0

    def push(self, key: float, order: int, item: ItemT) -> Handle:
        """Add an item; return the handle for `discard`."""
        self._pushes += 1
        row: Handle = [key, order, self._pushes, item]
        heappush(self._rows, row)
        return row

    def discard(self, handle: Handle) -> None:
        """Remove an item; each handle may be discarded only once."""
        handle[3] = None
        self._discarded += 1
        if self._discarded > HEAP_COMPACTION_SIZE and 2 * self._discarded > len(self._rows):
            self._rows = [row for row in self._rows if row[3] is not None]
            heapify(self._rows)
            self._discarded = 0

    def peek(self) -> ItemT | None:
        """Return the item with the least key, or None when the heap is empty."""
        rows = self._rows
        while rows:
            item: ItemT | None = rows[0][3]
            if item is not None:
                return item
            heappop(rows)
            self._discarded -= 1
        return None

    def in_order(self) -> Iterator[ItemT]:
        """Yield the items in order; the heap must not change during iteration."""
        rows = self._rows
        frontier: list[tuple[Handle, int]] = [(rows[0], 0)] if rows else []
        while frontier:
            row, index = heappop(frontier)
            for child in range(2 * index + 1, min(2 * index + 3, len(rows))):
                heappush(frontier, (rows[child], child))
            if row[3] is not None:
                yield row[3]
