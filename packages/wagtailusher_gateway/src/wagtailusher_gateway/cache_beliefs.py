"""Compares what was believed of endpoints' prompt caches with what first events tell.

Answers loads at which caches lose parts sooner than assumed, or keep them longer: an operator sees
it in what was believed and found.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MIN_PART_MS = 40.0
"""Time for reading a part from which its reading is told from other delays."""


class CacheSource(StrEnum):
    """Why an endpoint was believed to have a part cached, or not."""

    USED = "used"
    """This VM sent the part there lately."""
    FIRST = "first"
    """All VMs prefer the endpoint for the part."""
    SECOND = "second"
    """They prefer it after the first."""
    NONE = "none"


SOURCE_BY_RANK = (CacheSource.FIRST, CacheSource.SECOND)


class CacheFinding(StrEnum):
    """What the first event told of a part."""

    CACHED = "cached"
    READ_AGAIN = "read_again"
    UNCLEAR = "unclear"


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheBelief:
    """What was believed of a shared part when its request was placed."""

    source: CacheSource
    shared_tokens: int
    shared_ms: float
    """Time in which the endpoint reads the shared parts."""
    cached_first_ms: float
    """Time to the first event if they are cached."""
    queue_ms: float
    """Part of it in which the prompts queued ahead are read."""

    def find(self, seen_ms: float) -> CacheFinding:
        """Return what the time to the first event tells.

        Nothing if the queue, which is known less well than the part, takes longer than the part.
        """
        if self.shared_ms < MIN_PART_MS or self.queue_ms > self.shared_ms:
            return CacheFinding.UNCLEAR
        if seen_ms <= self.cached_first_ms + self.shared_ms / 2:
            return CacheFinding.CACHED
        return CacheFinding.READ_AGAIN
