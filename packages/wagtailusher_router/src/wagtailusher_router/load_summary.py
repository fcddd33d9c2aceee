"""What a node tells the others of its load."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from wagtailusher_core import ClassKey, PoolId
from wagtailusher_router.flights import Flight, Phase

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


def summarize_load(flights: Iterable[Flight]) -> tuple[PoolLoad, ...]:
    """Return the load by pool; only classes with a quota are told one by one."""
    by_pool: defaultdict[PoolId, list[Flight]] = defaultdict(list)
    for flight in flights:
        by_pool[flight.pending.pool_id].append(flight)
    return tuple(_pool_load(pool_id, held) for pool_id, held in by_pool.items())


def _pool_load(pool_id: PoolId, flights: list[Flight]) -> PoolLoad:
    """Return one pool's load."""
    queued = [flight for flight in flights if flight.phase is Phase.QUEUED]
    in_flight = [flight for flight in flights if flight.phase is not Phase.QUEUED]
    with_quota = {
        flight.pending.key
        for flight in flights
        if flight.arrival.policy.in_flight_quota is not None
    }
    queued_by_class = Counter(flight.pending.key for flight in queued)
    in_flight_by_class = Counter(flight.pending.key for flight in in_flight)
    return PoolLoad(
        pool_id=pool_id,
        queued_by_tier=_by_tier(queued),
        in_flight_by_tier=_by_tier(in_flight),
        classes=tuple(
            ClassLoad(key=key, queued=queued_by_class[key], in_flight=in_flight_by_class[key])
            for key in sorted(with_quota)
        ),
    )


def _by_tier(flights: Iterable[Flight]) -> tuple[int, ...]:
    """Return the number of requests of each tier."""
    counts = Counter(flight.pending.tier for flight in flights)
    return tuple(counts[tier] for tier in range(TIER_COUNT))
