"""Index of the prompt prefixes that endpoints probably hold in their caches."""

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
    """One endpoint's prefix blocks, least recently stored first, with the gap count at storing."""

    __slots__ = ("blocks", "gaps", "last_sequence")

    def __init__(self) -> None:
        self.blocks: dict[int, int] = {}
        self.gaps = 0
        self.last_sequence: int | None = None


class PrefixIndex:
    """Maps chained block hashes to the endpoints that hold them.

    Each hash covers the prompt up to its block, so an endpoint with a block has those before it.
    A gap in an endpoint's events halves the confidence in the blocks stored before it.
    """

    def __init__(
        self,
        *,
        max_per_endpoint: int = MAX_PREFIXES_PER_ENDPOINT,
        max_total: int = MAX_PREFIXES,
    ) -> None:
        """Limit the blocks of each endpoint, and the total, which endpoints share equally."""
        self._max_per_endpoint = max_per_endpoint
        self._max_total = max_total
        self._caches: dict[EndpointId, _Cache] = {}
        self._endpoints_by_block: dict[int, dict[EndpointId, None]] = {}

    def observe(self, event: CacheEvent) -> None:
        """Apply a cache event; of one that arrives out of order only the removals apply."""
        cache = self._get_cache(event.endpoint_id)
        last_sequence = cache.last_sequence
        if last_sequence is not None and event.sequence <= last_sequence:
            if event.sequence < last_sequence:
                self._remove_blocks(event.endpoint_id, cache, event.removed)
            return
        if last_sequence is not None and event.sequence > last_sequence + 1:
            cache.gaps += 1
        cache.last_sequence = event.sequence
        if event.cleared:
            self._remove_blocks(event.endpoint_id, cache, tuple(cache.blocks))
        self._remove_blocks(event.endpoint_id, cache, event.removed)
        self.add_blocks(event.endpoint_id, event.stored)

    def add_blocks(self, endpoint_id: EndpointId, hashes: Sequence[int]) -> None:
        """Add blocks that an endpoint stored or was just sent."""
        cache = self._get_cache(endpoint_id)
        if hashes and cache.blocks.get(hashes[-1]) == cache.gaps:
            return
        for block in reversed(hashes):
            cache.blocks.pop(block, None)
            cache.blocks[block] = cache.gaps
            self._endpoints_by_block.setdefault(block, {})[endpoint_id] = None
        fair_part = self._max_total // len(self._caches)
        excess = len(cache.blocks) - min(self._max_per_endpoint, fair_part)
        if excess > 0:
            oldest = [block for block, _ in zip(cache.blocks, range(excess), strict=False)]
            self._remove_blocks(endpoint_id, cache, oldest)

    def clear(self, endpoint_id: EndpointId) -> None:
        """Remove all blocks of an endpoint, as after a restart."""
        cache = self._caches.pop(endpoint_id, None)
        if cache is not None:
            self._remove_blocks(endpoint_id, cache, tuple(cache.blocks))

    def cached_share(self, endpoint_id: EndpointId, hashes: Sequence[int]) -> float:
        """Return the share of a prompt, from 0 to 1, that an endpoint probably has cached."""
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

    def endpoints_with_prefix(self, hashes: Sequence[int], count: int) -> list[EndpointId]:
        """Return up to `count` endpoints that hold the longest prefix held by any endpoint."""
        endpoints_by_block = self._endpoints_by_block
        low, high = 0, len(hashes)
        while low < high:
            middle = (low + high + 1) >> 1
            if hashes[middle - 1] in endpoints_by_block:
                low = middle
            else:
                high = middle - 1
        if low == 0:
            return []
        endpoint_ids = endpoints_by_block[hashes[low - 1]]
        return [endpoint_id for endpoint_id, _ in zip(endpoint_ids, range(count), strict=False)]

    def _get_cache(self, endpoint_id: EndpointId) -> _Cache:
        """Return an endpoint's cache; create it on first use."""
        cache = self._caches.get(endpoint_id)
        if cache is None:
            cache = self._caches[endpoint_id] = _Cache()
        return cache

    def _remove_blocks(self, endpoint_id: EndpointId, cache: _Cache, blocks: Sequence[int]) -> None:
        """Remove blocks from an endpoint's cache."""
        for block in blocks:
            if cache.blocks.pop(block, None) is None:
                continue
            endpoints = self._endpoints_by_block[block]
            del endpoints[endpoint_id]
            if not endpoints:
                del self._endpoints_by_block[block]
