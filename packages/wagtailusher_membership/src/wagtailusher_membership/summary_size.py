"""Keeps summaries within a datagram."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import replace

from wagtailusher_membership.packed_size import bound_packed_bytes
from wagtailusher_wire import ClassDemand, DemandSummary, PoolDemand, RoomSummary
from wagtailusher_wire.const import MAX_VM_ID_BYTES

_ROOM_WORDS = 5
_DEMAND_WORDS = 5
_POOL_WORDS = 4
_CLASS_WORDS = 3


def bound_pools(
    pools: Iterable[PoolDemand], *, max_pools: int, max_classes: int, max_bytes: int
) -> tuple[PoolDemand, ...]:
    """Return the busiest pools with the busiest classes that fit; the rest isn't claimed."""
    max_bytes -= bound_packed_bytes(_DEMAND_WORDS, "x" * MAX_VM_ID_BYTES)
    bare: list[PoolDemand] = []
    busiest: list[PoolDemand] = []
    for pool in sorted(pools, key=lambda pool: -_work(pool))[:max_pools]:
        without_classes = replace(pool, classes=())
        max_bytes -= _pool_bytes(without_classes)
        if max_bytes < 0:
            break
        bare.append(without_classes)
        busiest.append(pool)
    ranked = sorted(
        ((index, demand) for index, pool in enumerate(busiest) for demand in pool.classes),
        key=lambda pair: -(pair[1].queued + pair[1].in_flight),
    )
    kept: list[list[ClassDemand]] = [[] for _ in busiest]
    for index, demand in ranked[:max_classes]:
        max_bytes -= _class_bytes(demand)
        if max_bytes < 0:
            break
        kept[index].append(demand)
    return tuple(
        replace(pool, classes=tuple(demands)) for pool, demands in zip(bare, kept, strict=True)
    )


def take_rooms(rooms: Iterable[RoomSummary], max_bytes: int) -> Iterator[RoomSummary]:
    """Yield rooms for as long as they fit."""
    for room in rooms:
        max_bytes -= bound_packed_bytes(_ROOM_WORDS, room.vm_id)
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
    fixed = bound_packed_bytes(_DEMAND_WORDS, demand.vm_id)
    return fixed + sum(map(_pool_bytes, demand.pools))


def _pool_bytes(pool: PoolDemand) -> int:
    """Return a bound of a pool's size in a message."""
    tiers = len(pool.queued_by_tier) + len(pool.in_flight_by_tier)
    fixed = bound_packed_bytes(_POOL_WORDS + tiers // 2 + 2, pool.pool_id)
    return fixed + sum(map(_class_bytes, pool.classes))


def _class_bytes(demand: ClassDemand) -> int:
    """Return a bound of a class's size in a message."""
    return bound_packed_bytes(_CLASS_WORDS, demand.workspace_id, demand.class_id)


def _work(pool: PoolDemand) -> int:
    """Return a pool's requests."""
    return sum(pool.queued_by_tier) + sum(pool.in_flight_by_tier)
