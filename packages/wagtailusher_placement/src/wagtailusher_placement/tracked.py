"""The mutable state that a node keeps for each endpoint and pool."""

from __future__ import annotations

from wagtailusher_core import EndpointId, PoolId
from wagtailusher_placement.endpoints import EndpointInfo, EndpointState, PlacementRequest


class TrackedEndpoint:
    """What this node knows of one endpoint."""

    __slots__ = (
        "allowed",
        "drained",
        "in_flight",
        "info",
        "last_start",
        "own_tokens",
        "report_at_ms",
        "reported_count",
    )

    def __init__(self, info: EndpointInfo) -> None:
        """Start without work."""
        self.info = info
        self.allowed = info.concurrency_limit
        self.drained = False
        self.in_flight = 0
        self.last_start = 0
        self.own_tokens = 0.0
        self.report_at_ms: int | None = None
        self.reported_count = 0

    def is_open(self, now_ms: int) -> bool:
        """Return whether another request may be started now."""
        if self.drained or self.info.state is EndpointState.LEAVING:
            return False
        return self.in_flight < self.allowed


class Pool:
    """The endpoints of one pool."""

    __slots__ = ("members", "pool_id")

    def __init__(self, pool_id: PoolId) -> None:
        """Start empty."""
        self.pool_id = pool_id
        self.members: dict[EndpointId, TrackedEndpoint] = {}

    def eligible(self, request: PlacementRequest, now_ms: int) -> list[TrackedEndpoint]:
        """Return every endpoint that may take the request now."""
        excluded = request.excluded
        return [
            item
            for item in self.members.values()
            if item.is_open(now_ms) and item.info.endpoint_id not in excluded
        ]
