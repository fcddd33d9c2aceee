"""The decider that places requests on endpoints for one entry VM."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from random import Random

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, PublishedVm, RequestId, VmId
from wagtailusher_placement.baselines import Chooser
from wagtailusher_placement.endpoints import (
    Choice,
    EndOfWork,
    EndpointInfo,
    EndpointState,
    EndpointView,
    PlacementRequest,
)
from wagtailusher_placement.leases import LeaseGrant, LeaseRecall, LeaseRequest
from wagtailusher_placement.reports import CacheEvent, LoadReport
from wagtailusher_placement.scoring import choose_by_score
from wagtailusher_placement.steward import steward_of
from wagtailusher_placement.tracked import Pool, TrackedEndpoint


class PlacementDecider:
    """Chooses endpoints and keeps account of this node's work at them."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        failure_domain_id: FailureDomainId,
        seed: int,
        choose: Chooser = choose_by_score,
    ) -> None:
        """Start without endpoints."""
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._generator = Random(seed)
        self._choose = choose
        self._tracked: dict[EndpointId, TrackedEndpoint] = {}
        self._pools: dict[PoolId, Pool] = {}
        self._drained: frozenset[FailureDomainId] = frozenset()
        self._placed: dict[RequestId, TrackedEndpoint] = {}
        self._published: tuple[PublishedVm, ...] = ()
        self._starts = 0

    def update_endpoints(self, endpoints: Iterable[EndpointInfo], now_ms: int) -> None:
        """Take over the published endpoints; work in flight keeps its account."""
        tracked: dict[EndpointId, TrackedEndpoint] = {}
        pools: dict[PoolId, Pool] = {}
        for info in endpoints:
            item = self._tracked.get(info.endpoint_id) or TrackedEndpoint(info)
            item.info = info
            item.drained = info.failure_domain_id in self._drained
            tracked[info.endpoint_id] = item
            for pool_id in info.pool_ids:
                pools.setdefault(pool_id, Pool(pool_id)).members[info.endpoint_id] = item
        self._tracked = tracked
        self._pools = pools

    def update_drained_domains(self, domains: Iterable[FailureDomainId], now_ms: int) -> None:
        """Take over the failure domains that operators took out."""
        self._drained = frozenset(domains)
        for item in self._tracked.values():
            item.drained = item.info.failure_domain_id in self._drained

    def update_published(self, vms: Iterable[PublishedVm], now_ms: int, version: int = 0) -> None:
        """Take over the published list of VMs."""
        self._published = tuple(vms)

    def observe_report(self, report: LoadReport, now_ms: int) -> None:
        """Take in an endpoint's load."""
        item = self._tracked.get(report.endpoint_id)
        if item is None:
            return
        item.report_at_ms = report.reported_at_ms
        item.reported_count = report.running + report.waiting

    def observe_cache_event(self, event: CacheEvent, now_ms: int) -> None:
        """Take in a change of an endpoint's prefix cache."""

    def choose(self, request: PlacementRequest, now_ms: int) -> Choice | None:
        """Return the endpoint for a request, or None when nothing may take it now."""
        pool = self._pools.get(request.pool_id)
        if pool is None:
            return None
        scores = self._choose(pool, request, self._generator, now_ms)
        if not scores:
            return None
        best = pool.members[scores[0].endpoint_id]
        return Choice(
            request_id=request.request_id,
            endpoint_id=best.info.endpoint_id,
            address=best.info.address,
            candidates=scores,
        )

    def start(self, choice: Choice, request: PlacementRequest, now_ms: int) -> None:
        """Account a request to the endpoint that was chosen for it."""
        item = self._tracked[choice.endpoint_id]
        self._starts += 1
        item.last_start = self._starts
        item.in_flight += 1
        self._placed[request.request_id] = item

    def may_send(self, request_id: RequestId, now_ms: int) -> bool:
        """Return whether the request may still go out; ask right before its first byte."""
        item = self._placed.get(request_id)
        if item is None or item.drained or item.info.state is EndpointState.LEAVING:
            return False
        return item.in_flight <= item.allowed

    def first_token(self, request_id: RequestId, now_ms: int) -> None:
        """Note that the answer to a request began."""

    def progress(self, request_id: RequestId, tokens: int, now_ms: int) -> None:
        """Note further tokens of an answer."""

    def finish(self, request_id: RequestId, end: EndOfWork, now_ms: int) -> None:
        """Close a request's account; unknown requests are ignored."""
        item = self._placed.pop(request_id, None)
        if item is not None:
            item.in_flight -= 1

    def lease_requests(
        self, demand: Mapping[PoolId, Mapping[int, int]], now_ms: int
    ) -> tuple[LeaseRequest, ...]:
        """Return the lease requests to send now, given the demand by pool and tier."""
        return ()

    def apply_grant(self, grant: LeaseGrant, now_ms: int) -> None:
        """Take over a steward's grant."""

    def apply_recall(self, recall: LeaseRecall, now_ms: int) -> None:
        """Give up the lease on an endpoint that turned cold."""

    def steward_id(self, endpoint_id: EndpointId) -> VmId | None:
        """Return the VM to which lease requests for an endpoint go."""
        item = self._tracked.get(endpoint_id)
        return None if item is None else steward_of(item.info, self._published)

    def steward_hint(self, pool_id: PoolId, now_ms: int) -> VmId | None:
        """Return a peer that may place a request of this pool when this node may not."""
        return None

    def view(self, now_ms: int) -> tuple[EndpointView, ...]:
        """Return what this node believes about every endpoint."""
        return tuple(
            EndpointView(
                endpoint_id=item.info.endpoint_id,
                failure_domain_id=item.info.failure_domain_id,
                state=item.info.state,
                in_flight=item.in_flight,
                own_tokens=item.own_tokens,
                allowed=item.allowed,
                cold=False,
                drained=item.drained,
                ejected=False,
                slowness=1.0,
                report_age_ms=None if item.report_at_ms is None else now_ms - item.report_at_ms,
            )
            for item in self._tracked.values()
        )
