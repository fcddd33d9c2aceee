"""Which prompt prefixes endpoints probably hold in their caches."""

from __future__ import annotations

from collections.abc import Sequence

from wagtailusher_core import EndpointId
from wagtailusher_placement.const import (
    GAP_CONFIDENCE,
    MAX_PREFIXES,
    MAX_PREFIXES_PER_ENDPOINT,
)
from wagtailusher_placement.reports import CacheEvent


class _Cache:
    """One endpoint's prefix blocks, least recently stored first, each with its count of gaps."""

    __slots__ = ("blocks", "gaps", "last_sequence")

    def __init__(self) -> None:
        """Start empty."""
        self.blocks: dict[int, int] = {}
        self.gaps = 0
        self.last_sequence: int | None = None


class PrefixIndex:
    """Maps chained block hashes to the endpoints that hold them.

    Each hash covers the prompt up to its block, so whoever holds a block holds those before it.
    A gap in an endpoint's events halves the trust in what was known before it.
    """

    def __init__(
        self,
        *,
        max_per_endpoint: int = MAX_PREFIXES_PER_ENDPOINT,
        max_total: int = MAX_PREFIXES,
    ) -> None:
        """Start empty; each endpoint may use an even part of the total."""
        self._max_per_endpoint = max_per_endpoint
        self._max_total = max_total
        self._caches: dict[EndpointId, _Cache] = {}
        self._holders: dict[int, dict[EndpointId, None]] = {}

    def observe(self, event: CacheEvent) -> None:
        """Take in an event; one that comes after a later one only makes the view unsure."""
        cache = self._cache(event.endpoint_id)
        last = cache.last_sequence
        if last is not None and event.sequence <= last:
            if event.sequence < last:
                self._forget(event.endpoint_id, cache, event.removed)
            return
        if last is not None and event.sequence > last + 1:
            cache.gaps += 1
        cache.last_sequence = event.sequence
        if event.cleared:
            self._forget(event.endpoint_id, cache, tuple(cache.blocks))
        self._forget(event.endpoint_id, cache, event.removed)
        self.expect(event.endpoint_id, event.stored)

    def expect(self, endpoint_id: EndpointId, hashes: Sequence[int]) -> None:
        """Note blocks that an endpoint stored or was just sent."""
        cache = self._cache(endpoint_id)
        if hashes and cache.blocks.get(hashes[-1]) == cache.gaps:
            return
        for block in reversed(hashes):
            cache.blocks.pop(block, None)
            cache.blocks[block] = cache.gaps
            self._holders.setdefault(block, {})[endpoint_id] = None
        fair_part = self._max_total // len(self._caches)
        excess = len(cache.blocks) - min(self._max_per_endpoint, fair_part)
        if excess > 0:
            oldest = [block for block, _ in zip(cache.blocks, range(excess), strict=False)]
            self._forget(endpoint_id, cache, oldest)

    def clear(self, endpoint_id: EndpointId) -> None:
        """Forget an endpoint's cache, as after a restart."""
        cache = self._caches.pop(endpoint_id, None)
        if cache is not None:
            self._forget(endpoint_id, cache, tuple(cache.blocks))

    def cached_share(self, endpoint_id: EndpointId, hashes: Sequence[int]) -> float:
        """Return the share of a prompt that an endpoint probably holds."""
        cache = self._caches.get(endpoint_id)
        if cache is None or not hashes:
            return 0.0
        blocks = cache.blocks
        if hashes[0] not in blocks:
            return 0.0
        low, high = 1, len(hashes)
        if hashes[-1] in blocks:
            low = high
        while low < high:
            middle = (low + high + 1) >> 1
            if hashes[middle - 1] in blocks:
                low = middle
            else:
                high = middle - 1
        gaps = cache.gaps - blocks[hashes[low - 1]]
        share = low / len(hashes)
        return share * GAP_CONFIDENCE**gaps if gaps else share

    def holders(self, hashes: Sequence[int], count: int) -> list[EndpointId]:
        """Return up to `count` endpoints that hold the longest known prefix."""
        holders = self._holders
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high + 1) >> 1
            if hashes[middle - 1] in holders:
                low = middle
            else:
                high = middle - 1
        if low == 0:
            return []
        found = holders[hashes[low - 1]]
        return [endpoint_id for endpoint_id, _ in zip(found, range(count), strict=False)]

    def _cache(self, endpoint_id: EndpointId) -> _Cache:
        """Return an endpoint's cache."""
        cache = self._caches.get(endpoint_id)
        if cache is None:
            cache = self._caches[endpoint_id] = _Cache()
        return cache

    def _forget(self, endpoint_id: EndpointId, cache: _Cache, blocks: Sequence[int]) -> None:
        """Drop blocks from an endpoint's cache."""
        for block in blocks:
            if cache.blocks.pop(block, None) is None:
                continue
            holders = self._holders[block]
            del holders[endpoint_id]
            if not holders:
                del self._holders[block]
