"""Hands requests to a peer that has credits when this node has none."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import EndpointId, ErrorCode, PoolId, VmId
from wagtailusher_placement import EndpointInfo, PlacementDecider
from wagtailusher_router.const import (
    HANDOVER_WAIT_MS,
    MAX_HOPS_BEFORE_HAND_OVER,
    STRANDED_RETRY_MS,
)
from wagtailusher_router.flights import Flight, Phase

_REFUSALS_THAT_A_PEER_MAY_AVERT = frozenset({ErrorCode.QUEUE_FULL, ErrorCode.SHED})


class Handover:
    """Knows which pools this node may not use at present, and who may."""

    def __init__(self, placement: PlacementDecider) -> None:
        """Start without endpoints."""
        self._placement = placement
        self._pools_of: dict[EndpointId, frozenset[PoolId]] = {}

    def update_endpoints(self, endpoints: Iterable[EndpointInfo]) -> None:
        """Take over the published endpoints."""
        self._pools_of = {info.endpoint_id: info.pool_ids for info in endpoints}

    def peer_instead_of_waiting(self, flight: Flight, now_ms: int) -> VmId | None:
        """Return the peer for a request that waited in vain."""
        if now_ms - flight.pending.arrived_ms < HANDOVER_WAIT_MS:
            return None
        return self._peer_for(flight, now_ms)

    def peer_instead_of_refusal(self, flight: Flight, code: ErrorCode, now_ms: int) -> VmId | None:
        """Return the peer for a request that this node would refuse."""
        if code not in _REFUSALS_THAT_A_PEER_MAY_AVERT:
            return None
        return self._peer_for(flight, now_ms)

    def peer_for_stranded(self, flight: Flight, now_ms: int) -> VmId | None:
        """Return the peer that may take the right to run over, now and then."""
        if flight.phase is not Phase.QUEUED or flight.arrival.hop_count > MAX_HOPS_BEFORE_HAND_OVER:
            return None
        since_ms = flight.stranded_at_ms
        if since_ms is not None and now_ms - since_ms < STRANDED_RETRY_MS:
            return None
        pool_id = flight.pending.pool_id
        if now_ms - flight.pending.arrived_ms < HANDOVER_WAIT_MS or self._has_credits(
            pool_id, now_ms
        ):
            return None
        return self._placement.random_peer_steward(pool_id, now_ms)

    def _peer_for(self, flight: Flight, now_ms: int) -> VmId | None:
        """Return a peer that may have credits; a request is handed over once at most."""
        if not flight.may_repeat or flight.ever_sent:
            return None
        if flight.arrival.hop_count:
            return None
        if self._has_credits(flight.pending.pool_id, now_ms):
            return None
        return self._placement.random_peer_steward(flight.pending.pool_id, now_ms)

    def _has_credits(self, pool_id: PoolId, now_ms: int) -> bool:
        """Tell whether this node may use any endpoint of a pool."""
        return any(
            view.allowed > 0 and pool_id in self._pools_of.get(view.endpoint_id, frozenset())
            for view in self._placement.endpoint_views(now_ms)
        )
