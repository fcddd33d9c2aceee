"""Builds deciders, endpoint lists and requests of a given size."""

from __future__ import annotations

from collections.abc import Sequence

from wagtailusher_admission import AdmissionDecider, PendingRequest
from wagtailusher_core import (
    ClassId,
    ClassKey,
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    PublishedVm,
    RequestId,
    VmId,
    WorkspaceId,
)
from wagtailusher_placement import (
    EndpointInfo,
    LeaseLimits,
    PlacementDecider,
    PlacementRequest,
    StewardDecider,
)

VM_ID = VmId("vm-0")
POOLS = 6
DOMAINS = 20
CONCURRENCY = 32
QUEUED_WORKSPACES = 50
DEADLINE_MS = 60_000
LIST_VERSION = 1
LIMITS = LeaseLimits(requests_per_second=1_000_000)


def make_endpoints(count: int) -> tuple[EndpointInfo, ...]:
    """Return endpoints spread evenly over pools and failure domains."""
    return tuple(
        EndpointInfo(
            endpoint_id=EndpointId(f"endpoint-{index:05d}"),
            pool_ids=frozenset({PoolId(f"model-{index % POOLS}")}),
            failure_domain_id=FailureDomainId(f"domain-{index % DOMAINS:02d}"),
            address=f"10.0.{index // 250}.{index % 250}:8000",
            concurrency_limit=CONCURRENCY,
            cold_limit=CONCURRENCY,
        )
        for index in range(count)
    )


def make_vms() -> tuple[PublishedVm, ...]:
    """Return a published list that contains only the measured VM."""
    vm = PublishedVm(
        vm_id=VM_ID,
        address="10.0.0.1:80",
        peer_address="10.0.0.1:81",
        failure_domain_id=FailureDomainId("domain-00"),
    )
    return (vm,)


def make_placement(endpoints: Sequence[EndpointInfo]) -> PlacementDecider:
    """Return a placement decider with the given endpoints."""
    decider = PlacementDecider(
        vm_id=VM_ID,
        failure_domain_id=FailureDomainId("domain-00"),
        seed=1,
        limits=LIMITS,
        incarnation=Incarnation(1),
    )
    decider.update_endpoints(endpoints, 0)
    return decider


def make_steward(endpoints: Sequence[EndpointInfo]) -> StewardDecider:
    """Return a steward of all given endpoints."""
    steward = StewardDecider(vm_id=VM_ID, limits=LIMITS, incarnation=Incarnation(1))
    steward.update_published(make_vms(), endpoints, 0, LIST_VERSION)
    return steward


def make_request(number: int) -> PlacementRequest:
    """Return a placement request whose pool, tier and workspace depend on `number`."""
    return PlacementRequest(
        request_id=RequestId(f"request-{number}"),
        pool_id=PoolId(f"model-{number % POOLS}"),
        tier=number % 7,
        key=ClassKey(WorkspaceId(f"workspace-{number % 50}"), ClassId("advice")),
        prompt_tokens=500,
        expected_output_tokens=100,
        prefix_hashes=(),
        excluded=frozenset(),
    )


def make_admission(queued: int) -> AdmissionDecider:
    """Return an admission decider with queued requests of many workspaces."""
    decider = AdmissionDecider()
    for number in range(queued):
        workspace_id = WorkspaceId(f"workspace-{number % QUEUED_WORKSPACES}")
        request = PendingRequest(
            request_id=RequestId(f"request-{number}"),
            key=ClassKey(workspace_id, ClassId("advice")),
            pool_id=PoolId(f"model-{number % POOLS}"),
            tier=number % 7,
            arrived_ms=0,
            deadline_ms=DEADLINE_MS,
            queue_limit=queued,
        )
        decider.enqueue(request, 0)
    return decider
