"""The exchange of leases between this node as a holder and the stewards, itself included."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from wagtailusher_core import FailureDomainId, PoolId, PublishedVm, VmId
from wagtailusher_placement import (
    EndpointInfo,
    LeaseGrant,
    LeaseRequest,
    LoadReport,
    PlacementDecider,
    StewardDecider,
)
from wagtailusher_router.actions import SendLeaseRecall, SendLeaseRequest


class LeaseExchange:
    """Asks stewards for credits; what this node is steward of is settled without a message."""

    def __init__(self, vm_id: VmId, placement: PlacementDecider, steward: StewardDecider) -> None:
        """Start without endpoints or VMs."""
        self._vm_id = vm_id
        self._placement = placement
        self._steward = steward
        self._endpoints: tuple[EndpointInfo, ...] = ()
        self._published: tuple[PublishedVm, ...] = ()
        self._version = 0

    def update_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: int) -> None:
        """Take over the published endpoints."""
        self._endpoints = endpoints
        self._steward.update_published(self._published, endpoints, now_ms, self._version)

    def update_published(
        self,
        published: tuple[PublishedVm, ...],
        version: int,
        now_ms: int,
        read_started_ms: int | None = None,
    ) -> None:
        """Take over the published list of entry VMs, whose reading began at a time."""
        self._published = published
        self._version = version
        self._placement.update_published(published, now_ms, version, read_started_ms)
        self._steward.update_published(published, self._endpoints, now_ms, version, read_started_ms)

    def update_drained_domains(self, domains: frozenset[FailureDomainId], now_ms: int) -> None:
        """Take over the failure domains that operators took out."""
        self._steward.update_drained_domains(domains, now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Take over an endpoint's load report."""
        self._steward.observe_report(report, now_ms)

    def renew(
        self, demand: Mapping[PoolId, Mapping[int, int]], now_ms: int
    ) -> Iterator[SendLeaseRequest]:
        """Yield the requests for credits that other stewards are to be sent."""
        for request in self._placement.lease_requests(demand, now_ms):
            grant = self._steward.grant_lease(request, now_ms)
            if grant is not None:
                self._placement.apply_grant(grant, now_ms)
                continue
            steward_id = self._placement.steward_id(request.endpoint_id)
            if steward_id is not None:
                yield SendLeaseRequest(steward_id=steward_id, request=request)

    def recalls(self, now_ms: int) -> Iterator[SendLeaseRecall]:
        """Yield the recalls of leases on endpoints that turned cold; own ones apply at once."""
        for recall in self._steward.tick(now_ms):
            if recall.node_id == self._vm_id:
                self._placement.apply_recall(recall, now_ms)
            else:
                yield SendLeaseRecall(recall=recall)

    def grant(self, request: LeaseRequest, now_ms: int) -> LeaseGrant | None:
        """Return the credits for another node, or None when this VM is not the steward."""
        return self._steward.grant_lease(request, now_ms)
