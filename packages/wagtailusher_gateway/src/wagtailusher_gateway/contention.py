"""Limits how many VMs compete for an endpoint's last free places.

All VMs learn of a free place from the same reports, which are older than many requests last. If
each of them took it, the endpoint would get as many requests as there are VMs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wagtailusher_core import EndpointId, VmId, rank_by_rendezvous

CONTENDERS_BY_RANK = (8, 4, 2)
"""VMs that may compete for each free place, by the rank of the request; the last number is for all
less urgent ones too. One VM of two may have no request; urgent requests are run first anyway."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FreePlaces:
    """How many more requests of a kind fit at an endpoint, and which share of it that is."""

    count: int
    share: float


class PlaceContention:
    """This VM's position among all VMs at each endpoint, by rendezvous hashing."""

    def __init__(self, vm_id: VmId, knows_fleet: Callable[[], bool] = lambda: True) -> None:
        """`knows_fleet` returns whether the VMs that share out places are known at all."""
        self._vm_id = vm_id
        self._knows_fleet = knows_fleet
        self._vm_ids: tuple[VmId, ...] = ()
        self._positions: dict[EndpointId, int] = {}
        self._rankings: dict[EndpointId, tuple[VmId, ...]] = {}

    def set_vm_ids(self, vm_ids: tuple[VmId, ...]) -> None:
        """Set the VMs that may send requests, this one included."""
        if vm_ids != self._vm_ids:
            self._vm_ids = vm_ids
            self._positions.clear()
            self._rankings.clear()

    def retain_endpoints(self, endpoint_ids: frozenset[EndpointId]) -> None:
        """Drop the positions at all endpoints but these."""
        for endpoint_id in self._positions.keys() - endpoint_ids:
            del self._positions[endpoint_id]
            self._rankings.pop(endpoint_id, None)

    def may_compete(self, endpoint_id: EndpointId, free_places: FreePlaces, rank: int) -> bool:
        """Return whether this VM is among those that may take one of the free places.

        All VMs may use an idle endpoint. Their number falls with the square of the free share, as
        requests of more VMs meet at one endpoint where few have free places.
        """
        per_place = CONTENDERS_BY_RANK[min(rank, len(CONTENDERS_BY_RANK) - 1)]
        contenders = max(per_place * free_places.count, len(self._vm_ids) * free_places.share**2)
        return self._position(endpoint_id) < contenders

    def own_places(self, endpoint_id: EndpointId, slots: int) -> int:
        """Return this VM's part if the slots of an endpoint are shared out among all VMs.

        A VM that doesn't know its fleet has none.
        """
        if not self._knows_fleet():
            return 0
        count = max(1, len(self._vm_ids))
        return slots // count + (self._position(endpoint_id) < slots % count)

    def place_holders(self, endpoint_id: EndpointId, slots: int) -> tuple[VmId, ...]:
        """Return the VMs that have a part of the slots of an endpoint."""
        if slots >= len(self._vm_ids):
            return self._vm_ids
        return self._ranked(endpoint_id)[:slots]

    def _position(self, endpoint_id: EndpointId) -> int:
        position = self._positions.get(endpoint_id)
        if position is None:
            ranked = self._ranked(endpoint_id)
            position = ranked.index(self._vm_id) if self._vm_id in self._vm_ids else 0
            self._positions[endpoint_id] = position
        return position

    def _ranked(self, endpoint_id: EndpointId) -> tuple[VmId, ...]:
        """Return the VMs in their order at an endpoint."""
        ranked = self._rankings.get(endpoint_id)
        if ranked is None:
            ranked = tuple(VmId(key) for key in rank_by_rendezvous(endpoint_id, self._vm_ids))
            self._rankings[endpoint_id] = ranked
        return ranked
