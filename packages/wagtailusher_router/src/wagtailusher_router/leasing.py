"""Lease exchange between this node as a holder and the stewards, itself included."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, PublishedVm, VmId
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
    """Requests credits from stewards; this node's own steward is called directly."""

    def __init__(self, vm_id: VmId, placement: PlacementDecider, steward: StewardDecider) -> None:
        self._vm_id = vm_id
        self._placement = placement
        self._steward = steward
        self._endpoints: tuple[EndpointInfo, ...] = ()
        self._published: tuple[PublishedVm, ...] = ()
        self._version = 0

    def update_endpoints(self, endpoints: tuple[EndpointInfo, ...], now_ms: int) -> None:
        """Replace the published endpoints."""
        self._endpoints = endpoints
        self._steward.update_published(self._published, endpoints, now_ms, self._version)

    def update_published(
        self,
        published: tuple[PublishedVm, ...],
        version: int,
        now_ms: int,
        read_started_ms: int | None = None,
    ) -> None:
        """Apply the published list of entry VMs; `read_started_ms` is when its read began."""
        self._published = published
        self._version = version
        self._placement.update_published(published, now_ms, version, read_started_ms)
        self._steward.update_published(published, self._endpoints, now_ms, version, read_started_ms)

    def update_drained_domains(self, domains: frozenset[FailureDomainId], now_ms: int) -> None:
        """Replace the set of failure domains that operators drained."""
        self._steward.update_drained_domains(domains, now_ms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Apply an endpoint's load report."""
        self._steward.observe_report(report, now_ms)

    def observe_refused_connection(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Apply an endpoint's refusal of a connection."""
        self._placement.observe_refused_connection(endpoint_id, now_ms)
        self._steward.observe_refused_connection(endpoint_id, now_ms)

    def due_requests(
        self, demand: Mapping[PoolId, Mapping[int, int]], now_ms: int
    ) -> Iterator[SendLeaseRequest]:
        """Yield the lease requests to send to other stewards."""
        for request in self._placement.lease_requests(demand, now_ms):
            grant = self._steward.grant_lease(request, now_ms)
            if grant is not None:
                self._placement.apply_grant(grant, now_ms)
                continue
            steward_id = self._placement.steward_id(request.endpoint_id)
            if steward_id is not None:
                yield SendLeaseRequest(steward_id=steward_id, request=request)

    def due_recalls(self, now_ms: int) -> Iterator[SendLeaseRecall]:
        """Yield the recalls to send to other nodes; apply this node's own at once."""
        for recall in self._steward.tick(now_ms):
            if recall.node_id == self._vm_id:
                self._placement.apply_recall(recall, now_ms)
            else:
                yield SendLeaseRecall(recall=recall)

    def grant_credits(self, request: LeaseRequest, now_ms: int) -> LeaseGrant | None:
        """Return the grant for another node's request, or None when there is none."""
        return self._steward.grant_lease(request, now_ms)
