"""Division of a node's demand over the endpoints of a pool."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wagtailusher_core import EndpointId
from wagtailusher_placement.tracked_endpoint import TrackedEndpoint


def spread_demand(
    by_tier: Mapping[int, int], endpoints: Iterable[TrackedEndpoint], now_ms: int
) -> dict[EndpointId, list[int]]:
    """Divide a pool's demand over its endpoints: in-flight work where it is, the rest by limit.

    The remainder is assigned in turn in the order of the endpoints. That order differs between
    nodes but is stable on each, so that credits don't move needlessly.
    """
    members = [
        endpoint
        for endpoint in endpoints
        if endpoint.in_service and now_ms >= endpoint.health.ejected_until_ms and _weight(endpoint)
    ]
    spread = {endpoint.info.endpoint_id: list(endpoint.in_flight_by_tier) for endpoint in members}
    if not members:
        return spread
    total_weight = sum(_weight(endpoint) for endpoint in members)
    turn = 0
    for tier, wanted in by_tier.items():
        queued = max(0, wanted - sum(endpoint.in_flight_by_tier[tier] for endpoint in members))
        left = queued
        for endpoint in members:
            part = queued * _weight(endpoint) // total_weight
            spread[endpoint.info.endpoint_id][tier] += part
            left -= part
        for _ in range(left):
            spread[members[turn % len(members)].info.endpoint_id][tier] += 1
            turn += 1
    return spread


def _weight(endpoint: TrackedEndpoint) -> int:
    """Return an endpoint's relative part of the demand."""
    return endpoint.info.cold_limit if endpoint.cold else endpoint.info.concurrency_limit
