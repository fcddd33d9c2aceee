"""An engine's cache of prompt prefixes, in limited memory."""

from __future__ import annotations

from collections import OrderedDict


class PrefixCache:
    """Keeps the blocks that were used last."""

    def __init__(self, block_limit: int) -> None:
        """Start empty."""
        self._block_limit = block_limit
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def cached_share(self, prefix_hashes: tuple[int, ...]) -> float:
        """Return the part of a prompt whose leading blocks are cached."""
        if not prefix_hashes:
            return 0.0
        cached = 0
        for block in prefix_hashes:
            if block not in self._blocks:
                break
            cached += 1
        return cached / len(prefix_hashes)

    def store(self, prefix_hashes: tuple[int, ...]) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Take a prompt's blocks in; return those that are new and those that were dropped."""
        stored = tuple(block for block in prefix_hashes if block not in self._blocks)
        for block in reversed(prefix_hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._block_limit:
            removed.append(self._blocks.popitem(last=False)[0])
        return stored, tuple(removed)

    def clear(self) -> None:
        """Drop everything, as a restart does."""
        self._blocks.clear()
