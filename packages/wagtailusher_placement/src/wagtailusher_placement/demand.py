"""Division of a node's demand over the endpoints of a pool."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wagtailusher_core import EndpointId
from wagtailusher_placement.tracked_endpoint import TrackedEndpoint


def spread_demand(
    by_tier: Mapping[int, int], items: Iterable[TrackedEndpoint], now_ms: int
) -> dict[EndpointId, list[int]]:
    """Divide a pool's demand over its endpoints: in-flight work where it is, the rest by limit.

    The remainder is assigned in turn in the order of the items. That order differs between nodes
    but is stable on each, so that credits don't move needlessly.
    """
    members = [
        item
        for item in items
        if item.in_service and now_ms >= item.health.ejected_until_ms and _weight(item)
    ]
    spread = {item.info.endpoint_id: list(item.in_flight_by_tier) for item in members}
    if not members:
        return spread
    total_weight = sum(_weight(item) for item in members)
    turn = 0
    for tier, wanted in by_tier.items():
        queued = max(0, wanted - sum(item.in_flight_by_tier[tier] for item in members))
        left = queued
        for item in members:
            part = queued * _weight(item) // total_weight
            spread[item.info.endpoint_id][tier] += part
            left -= part
        for _ in range(left):
            spread[members[turn % len(members)].info.endpoint_id][tier] += 1
            turn += 1
    return spread


def _weight(item: TrackedEndpoint) -> int:
    """Return an endpoint's relative part of the demand."""
    return item.info.cold_limit if item.cold else item.info.concurrency_limit
