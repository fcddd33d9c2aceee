"""Builds node specs of a fleet, spread over failure domains in five regions."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_bench.fleet.network import NodeSpec
from wagtailusher_core import FailureDomainId, PublishedVm, VmId

REGIONS = 5
_MIN_DOMAINS = 3
DOMAINS_BY_SIZE = {9: 5, 50: 10, 370: 20}


def make_node_specs(size: int) -> list[NodeSpec]:
    """Return the specs of a fleet of `size` nodes."""
    domains = DOMAINS_BY_SIZE.get(size, max(_MIN_DOMAINS, size // 5))
    return [
        NodeSpec(
            vm_id=VmId(f"vm-{index:04d}"),
            failure_domain_id=FailureDomainId(f"domain-{index % domains:02d}"),
            region=index % domains % REGIONS,
        )
        for index in range(size)
    ]


def publish(node_specs: Iterable[NodeSpec]) -> tuple[PublishedVm, ...]:
    """Return the platform's list of VMs for nodes."""
    return tuple(
        PublishedVm(
            vm_id=node_spec.vm_id,
            address=f"10.{node_spec.region}.0.1:80",
            peer_address=node_spec.address,
            failure_domain_id=node_spec.failure_domain_id,
        )
        for node_spec in node_specs
    )
