"""Summary of a node's load that is sent to its peers."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from wagtailusher_core import ClassKey, PoolId
from wagtailusher_router.tracked_requests import Phase, TrackedRequest

TIER_COUNT = 7


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassLoad:
    """One class's requests at this node."""

    key: ClassKey
    queued: int
    in_flight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolLoad:
    """One pool's requests at this node, the highest tier first."""

    pool_id: PoolId
    queued_by_tier: tuple[int, ...]
    in_flight_by_tier: tuple[int, ...]
    classes: tuple[ClassLoad, ...]


def summarize_load(tracked_requests: Iterable[TrackedRequest]) -> tuple[PoolLoad, ...]:
    """Return the load by pool; only classes with a quota are listed individually."""
    by_pool: defaultdict[PoolId, list[TrackedRequest]] = defaultdict(list)
    for tracked in tracked_requests:
        by_pool[tracked.pending.pool_id].append(tracked)
    return tuple(_pool_load(pool_id, held) for pool_id, held in by_pool.items())


def _pool_load(pool_id: PoolId, tracked_requests: list[TrackedRequest]) -> PoolLoad:
    """Return one pool's load."""
    queued = [tracked for tracked in tracked_requests if tracked.phase is Phase.QUEUED]
    in_flight = [tracked for tracked in tracked_requests if tracked.phase is not Phase.QUEUED]
    with_quota = {
        tracked.pending.key
        for tracked in tracked_requests
        if tracked.classified.policy.in_flight_quota is not None
    }
    queued_by_class = Counter(tracked.pending.key for tracked in queued)
    in_flight_by_class = Counter(tracked.pending.key for tracked in in_flight)
    return PoolLoad(
        pool_id=pool_id,
        queued_by_tier=_by_tier(queued),
        in_flight_by_tier=_by_tier(in_flight),
        classes=tuple(
            ClassLoad(key=key, queued=queued_by_class[key], in_flight=in_flight_by_class[key])
            for key in sorted(with_quota)
        ),
    )


def _by_tier(tracked_requests: Iterable[TrackedRequest]) -> tuple[int, ...]:
    """Return the number of requests of each tier."""
    counts = Counter(tracked.pending.tier for tracked in tracked_requests)
    return tuple(counts[tier] for tier in range(TIER_COUNT))
