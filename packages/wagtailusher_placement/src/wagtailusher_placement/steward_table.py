"""Selection of an endpoint's steward from the published list that all VMs share."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import (
    FailureDomainId,
    Incarnation,
    PublishedState,
    PublishedVm,
    VmId,
    first_by_rendezvous,
)
from wagtailusher_placement.const import EPOCH_INCARNATION_BITS, EPOCH_INCARNATION_UNIT_MS
from wagtailusher_placement.endpoints import EndpointInfo


class StewardTable:
    """The live VMs of one published list, by failure domain."""

    __slots__ = ("_all", "_by_domain")

    def __init__(self, published_vms: Iterable[PublishedVm]) -> None:
        self._all: list[VmId] = []
        self._by_domain: dict[FailureDomainId, list[VmId]] = {}
        for vm in published_vms:
            if vm.state is PublishedState.LIVE:
                self._all.append(vm.vm_id)
                self._by_domain.setdefault(vm.failure_domain_id, []).append(vm.vm_id)

    def find_steward(self, endpoint: EndpointInfo) -> VmId | None:
        """Return the steward, from the endpoint's failure domain if that has a live VM, or None."""
        candidates = self._by_domain.get(endpoint.failure_domain_id, self._all)
        winner = first_by_rendezvous(endpoint.endpoint_id, candidates)
        return None if winner is None else VmId(winner)


def find_steward(endpoint: EndpointInfo, published_vms: Iterable[PublishedVm]) -> VmId | None:
    """Return the VM that is an endpoint's steward, or None when no VM is live."""
    return StewardTable(published_vms).find_steward(endpoint)


def steward_epoch(*, list_version: int, incarnation: Incarnation) -> int:
    """Return a number that grows from steward to steward of an endpoint, without stored state.

    The steward changes only with the published list, so a later steward became active at a higher
    list version; a restart of the same VM has a later incarnation.
    """
    ticks = incarnation // EPOCH_INCARNATION_UNIT_MS
    return (list_version << EPOCH_INCARNATION_BITS) | (ticks % (1 << EPOCH_INCARNATION_BITS))
