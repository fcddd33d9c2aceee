"""Selection of the peer to hand requests to when this node has no credits."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wagtailusher_core import EndpointId, ErrorCode, PoolId, VmId
from wagtailusher_placement import EndpointInfo, PlacementDecider
from wagtailusher_router.actions import HandoverCandidate
from wagtailusher_router.const import (
    HANDOVER_RETRY_MS,
    HANDOVER_WAIT_MS,
    MAX_HOPS_BEFORE_HAND_OVER,
)
from wagtailusher_router.tracked_requests import Phase, TrackedRequest

_REFUSALS_TO_HAND_OVER = frozenset({ErrorCode.QUEUE_FULL, ErrorCode.SHED})


class Handover:
    """Finds the pools without credits at this node, and peers that may have some."""

    def __init__(self, placement: PlacementDecider) -> None:
        self._placement = placement
        self._pools_by_endpoint: dict[EndpointId, frozenset[PoolId]] = {}

    def update_endpoints(self, endpoints: Iterable[EndpointInfo]) -> None:
        """Replace the tracked endpoints."""
        self._pools_by_endpoint = {info.endpoint_id: info.pool_ids for info in endpoints}

    def peer_for_waiting(self, tracked: TrackedRequest, now_ms: int) -> VmId | None:
        """Return the peer for a request that waited too long without credits, or None."""
        if now_ms - tracked.pending.arrived_ms < HANDOVER_WAIT_MS:
            return None
        return self._find_peer(tracked, now_ms)

    def peer_for_refused(
        self, tracked: TrackedRequest, code: ErrorCode, now_ms: int
    ) -> VmId | None:
        """Return the peer for a request that this node would refuse, or None."""
        if code not in _REFUSALS_TO_HAND_OVER:
            return None
        return self._find_peer(tracked, now_ms)

    def due_candidates(
        self, leaders: Iterable[TrackedRequest], now_ms: int
    ) -> Iterator[HandoverCandidate]:
        """Yield the requests whose right to run is to be handed over, and record the try."""
        for tracked in leaders:
            peer_id = self._peer_for_right_to_run(tracked, now_ms)
            if peer_id is not None:
                tracked.handover_tried_ms = now_ms
                yield HandoverCandidate(request_id=tracked.request_id, peer_id=peer_id)

    def _peer_for_right_to_run(self, tracked: TrackedRequest, now_ms: int) -> VmId | None:
        """Return the peer to hand the right to run to, or None; retries are spaced out."""
        if (
            tracked.phase is not Phase.QUEUED
            or tracked.classified.hop_count > MAX_HOPS_BEFORE_HAND_OVER
        ):
            return None
        since_ms = tracked.handover_tried_ms
        if since_ms is not None and now_ms - since_ms < HANDOVER_RETRY_MS:
            return None
        pool_id = tracked.pending.pool_id
        if now_ms - tracked.pending.arrived_ms < HANDOVER_WAIT_MS or self._has_credits(
            pool_id, now_ms
        ):
            return None
        return self._placement.random_peer_steward(pool_id, now_ms)

    def _find_peer(self, tracked: TrackedRequest, now_ms: int) -> VmId | None:
        """Return a peer that may have credits, or None; a request is handed over at most once."""
        if not tracked.may_repeat or tracked.was_sent:
            return None
        if tracked.classified.hop_count:
            return None
        if self._has_credits(tracked.pending.pool_id, now_ms):
            return None
        return self._placement.random_peer_steward(tracked.pending.pool_id, now_ms)

    def _has_credits(self, pool_id: PoolId, now_ms: int) -> bool:
        """Return whether this node has credits on any endpoint of a pool."""
        return any(
            view.allowed > 0
            and pool_id in self._pools_by_endpoint.get(view.endpoint_id, frozenset())
            for view in self._placement.endpoint_views(now_ms)
        )
