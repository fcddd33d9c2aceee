"""Selects summaries that fit a datagram."""

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
    """Return the pools with the most requests that fit max_bytes, without their classes."""
    max_bytes -= bound_encoded_bytes(_DEMAND_WORDS, "x" * MAX_VM_ID_BYTES)
    selected: list[PoolDemand] = []
    without_classes = [replace(pool, classes=()) for pool in pools]
    for pool in sorted(without_classes, key=lambda pool: -_request_count(pool))[:max_pools]:
        max_bytes -= _pool_bytes(pool)
        if max_bytes < 0:
            break
        selected.append(pool)
    return tuple(selected)


def select_rooms(rooms: Iterable[RoomSummary], max_bytes: int) -> Iterator[RoomSummary]:
    """Yield room summaries in order until the next one would exceed max_bytes."""
    for room in rooms:
        max_bytes -= bound_encoded_bytes(_ROOM_WORDS, room.vm_id)
        if max_bytes < 0:
            return
        yield room


def select_demands(demands: Iterable[DemandSummary], max_bytes: int) -> Iterator[DemandSummary]:
    """Yield demand summaries in order until the next one would exceed max_bytes."""
    for demand in demands:
        max_bytes -= _demand_bytes(demand)
        if max_bytes < 0:
            return
        yield demand


def _demand_bytes(demand: DemandSummary) -> int:
    """Return an upper bound of a demand summary's encoded size."""
    fixed = bound_encoded_bytes(_DEMAND_WORDS, demand.vm_id)
    return fixed + sum(map(_pool_bytes, demand.pools))


def _pool_bytes(pool: PoolDemand) -> int:
    """Return an upper bound of a pool's encoded size."""
    tiers = len(pool.queued_by_tier) + len(pool.in_flight_by_tier)
    classes = sum(
        bound_encoded_bytes(_CLASS_WORDS, demand.workspace_id, demand.class_id)
        for demand in pool.classes
    )
    return classes + bound_encoded_bytes(_POOL_WORDS + tiers // 2 + 2, pool.pool_id)


def _request_count(pool: PoolDemand) -> int:
    return sum(pool.queued_by_tier) + sum(pool.in_flight_by_tier)
