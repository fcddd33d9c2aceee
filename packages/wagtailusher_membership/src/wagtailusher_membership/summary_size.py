"""Keeps summaries within a datagram."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

from wagtailusher_membership.encoded_size import bound_encoded_bytes
from wagtailusher_wire import DemandSummary, PoolDemand, RoomSummary
from wagtailusher_wire.const import MAX_VM_ID_BYTES

_ROOM_WORDS = 5
_DEMAND_WORDS = 6
_POOL_WORDS = 5
_CLASS_WORDS = 3


def bound_pools(
    pools: Iterable[PoolDemand], *, max_pools: int, max_bytes: int
) -> tuple[PoolDemand, ...]:
    """Return the busiest pools that fit, without their classes."""
    max_bytes -= bound_encoded_bytes(_DEMAND_WORDS, "x" * MAX_VM_ID_BYTES)
    kept: list[PoolDemand] = []
    bare = [replace(pool, classes=()) for pool in pools]
    for pool in sorted(bare, key=lambda pool: -_work(pool))[:max_pools]:
        max_bytes -= _pool_bytes(pool)
        if max_bytes < 0:
            break
        kept.append(pool)
    return tuple(kept)


def take_rooms(rooms: Iterable[RoomSummary], max_bytes: int) -> Iterator[RoomSummary]:
    """Yield rooms for as long as they fit."""
    for room in rooms:
        max_bytes -= bound_encoded_bytes(_ROOM_WORDS, room.vm_id)
        if max_bytes < 0:
            return
        yield room


def take_demands(demands: Iterable[DemandSummary], max_bytes: int) -> Iterator[DemandSummary]:
    """Yield demands for as long as they fit."""
    for demand in demands:
        max_bytes -= _demand_bytes(demand)
        if max_bytes < 0:
            return
        yield demand


def _demand_bytes(demand: DemandSummary) -> int:
    """Return a bound of a demand's size in a message."""
    fixed = bound_encoded_bytes(_DEMAND_WORDS, demand.vm_id)
    return fixed + sum(map(_pool_bytes, demand.pools))


def _pool_bytes(pool: PoolDemand) -> int:
    """Return a bound of a pool's size in a message."""
    tiers = len(pool.queued_by_tier) + len(pool.in_flight_by_tier)
    classes = sum(
        bound_encoded_bytes(_CLASS_WORDS, demand.workspace_id, demand.class_id)
        for demand in pool.classes
    )
    return classes + bound_encoded_bytes(_POOL_WORDS + tiers // 2 + 2, pool.pool_id)


def _work(pool: PoolDemand) -> int:
    """Return a pool's requests."""
    return sum(pool.queued_by_tier) + sum(pool.in_flight_by_tier)
