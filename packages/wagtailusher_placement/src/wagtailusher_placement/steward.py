"""The steward of an endpoint, which splits its concurrency among the entry VMs."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import EndpointId, PublishedState, PublishedVm, VmId, first_by_rendezvous
from wagtailusher_placement.endpoints import EndpointInfo
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.reports import LoadReport


def steward_of(endpoint: EndpointInfo, published_vms: Iterable[PublishedVm]) -> VmId | None:
    """Return the live VM that is steward, from the endpoint's own failure domain if it has any."""
    live = [vm for vm in published_vms if vm.state is PublishedState.LIVE]
    near = [vm.vm_id for vm in live if vm.failure_domain_id == endpoint.failure_domain_id]
    winner = first_by_rendezvous(endpoint.endpoint_id, near or [vm.vm_id for vm in live])
    return None if winner is None else VmId(winner)


class StewardDecider:
    """Splits the credits of those endpoints whose steward this VM is."""

    def __init__(self, *, vm_id: VmId, limits: LeaseLimits | None = None) -> None:
        """Start without endpoints."""
        self._vm_id = vm_id
        self._limits = limits or LeaseLimits()
        self._vm_count = 1
        self._endpoints: dict[EndpointId, EndpointInfo] = {}

    def update_published(
        self, vms: Iterable[PublishedVm], endpoints: Iterable[EndpointInfo], now_ms: int
    ) -> None:
        """Take over the published lists."""
        published = tuple(vms)
        self._vm_count = max(1, len(published))
        self._endpoints = {
            info.endpoint_id: info
            for info in endpoints
            if steward_of(info, published) == self._vm_id
        }

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Take in an endpoint's load."""

    def request(self, request: LeaseRequest, now_ms: int) -> LeaseGrant | None:
        """Answer a holder's request, or return None when this VM is not the steward."""
        info = self._endpoints.get(request.endpoint_id)
        if info is None:
            return None
        return LeaseGrant(
            steward_id=self._vm_id,
            endpoint_id=request.endpoint_id,
            credits=info.concurrency_limit // self._vm_count,
            lifetime_ms=self._limits.lifetime_ms,
            cold=False,
            sequence=request.sequence,
            steward_epoch=0,
        )

    def tick(self, now_ms: int) -> tuple[LeaseRecall, ...]:
        """Let time pass; the results are to be sent to the holders."""
        return ()
