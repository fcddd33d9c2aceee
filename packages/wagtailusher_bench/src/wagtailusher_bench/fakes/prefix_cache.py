"""An engine's prefix cache with a limited number of blocks."""

from __future__ import annotations

from collections import OrderedDict


class PrefixCache:
    """Holds prompt blocks and evicts the least recently used."""

    def __init__(self, block_limit: int) -> None:
        self._block_limit = block_limit
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def cached_share(self, prefix_hashes: tuple[int, ...]) -> float:
        """Return the fraction of a prompt's blocks that is cached, counted from its start."""
        if not prefix_hashes:
            return 0.0
        cached = 0
        for block in prefix_hashes:
            if block not in self._blocks:
                break
            cached += 1
        return cached / len(prefix_hashes)

    def store(self, prefix_hashes: tuple[int, ...]) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Store a prompt's blocks; return the newly stored and the evicted ones."""
        stored = tuple(block for block in prefix_hashes if block not in self._blocks)
        for block in reversed(prefix_hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._block_limit:
            removed.append(self._blocks.popitem(last=False)[0])
        return stored, tuple(removed)

    def clear(self) -> None:
        """Remove all blocks, as a restart does."""
        self._blocks.clear()
