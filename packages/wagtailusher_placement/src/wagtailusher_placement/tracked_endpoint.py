"""Mutable state that a node keeps for each request, endpoint and pool."""

from __future__ import annotations

from random import Random

from wagtailusher_core import EndpointId, Incarnation, PoolId, RequestId, VmId
from wagtailusher_placement.cold_start import ColdStart
from wagtailusher_placement.const import DEFAULT_OUTPUT_TOKENS, NEVER_MS, TIER_COUNT
from wagtailusher_placement.endpoints import EndpointInfo, EndpointState, PlacementRequest
from wagtailusher_placement.prefix import PrefixIndex
from wagtailusher_placement.stragglers import EndpointHealth


class PlacedRequest:
    """A request at an endpoint, from the choice of the endpoint to its end."""

    __slots__ = (
        "endpoint",
        "expected_output_tokens",
        "first_token_at_ms",
        "pace_started_ms",
        "pace_tokens",
        "remaining_tokens",
        "output_tokens",
        "request",
        "sent",
        "started_ms",
        "uncached_tokens",
    )

    def __init__(
        self,
        endpoint: TrackedEndpoint,
        request: PlacementRequest,
        *,
        uncached_tokens: float,
        expected_output_tokens: float,
        now_ms: int,
    ) -> None:
        self.endpoint = endpoint
        self.request = request
        self.started_ms = now_ms
        self.sent = False
        self.uncached_tokens = uncached_tokens
        self.expected_output_tokens = expected_output_tokens
        self.remaining_tokens = expected_output_tokens
        self.output_tokens = 0
        self.first_token_at_ms: int | None = None
        self.pace_started_ms = now_ms
        self.pace_tokens = 0


class TrackedEndpoint:
    """This node's state of one endpoint: load, health, warmth and lease."""

    __slots__ = (
        "applied_at_ms",
        "applied_sequence",
        "in_flight_by_tier",
        "cold",
        "credits",
        "doubted_until_ms",
        "drained",
        "fallback_ms",
        "good_first_tokens",
        "health",
        "in_flight",
        "in_service",
        "is_silent",
        "incarnation",
        "info",
        "kv_steps",
        "last_request_ms",
        "last_start_number",
        "lease_until_ms",
        "stated_until_ms",
        "min_sequence",
        "local_cold_start",
        "mean_request_tokens",
        "others_tokens",
        "must_confirm",
        "own_tokens",
        "pending_prompt_tokens",
        "published",
        "remote_steps",
        "report_at_ms",
        "reported_count",
        "sent",
        "sent_requests",
        "local_share",
        "steward_epoch",
        "steward_id",
        "suspects_cold",
        "awaiting_first_token",
    )

    def __init__(self, info: EndpointInfo) -> None:
        """Start without load or credits; `cold` is None while it is unknown."""
        self.info = info
        self.published = True
        self.drained = False
        self.doubted_until_ms = 0
        self.is_silent = False
        self.stated_until_ms = 0
        self.in_service = False
        self.health = EndpointHealth()
        self.in_flight = 0
        self.sent = 0
        self.last_start_number = 0
        self.in_flight_by_tier = [0] * TIER_COUNT
        self.own_tokens = 0.0
        self.mean_request_tokens = DEFAULT_OUTPUT_TOKENS
        self.pending_prompt_tokens = 0.0
        self.awaiting_first_token: dict[RequestId, PlacedRequest] = {}
        self.report_at_ms: int | None = None
        self.reported_count = 0
        self.others_tokens = 0.0
        self.kv_steps = 0.0
        self.remote_steps = 0.0
        self.incarnation: Incarnation | None = None
        self.cold: bool | None = None
        self.suspects_cold = False
        self.good_first_tokens = 0
        self.local_cold_start: ColdStart | None = None
        self.credits = 0
        self.lease_until_ms = 0
        self.fallback_ms = NEVER_MS
        self.local_share = 0
        self.applied_at_ms: int | None = None
        self.applied_sequence = 0
        self.min_sequence = 0
        self.must_confirm = False
        self.steward_epoch = 0
        self.steward_id: VmId | None = None
        self.last_request_ms: int | None = None
        self.sent_requests: dict[int, int] = {}

    def allowed(self, now_ms: int) -> int:
        """Return how many requests this node may have in flight now."""
        if self.is_silent or now_ms < self.doubted_until_ms:
            return 0
        if now_ms < self.lease_until_ms:
            return self.credits
        return self.local_share if now_ms >= self.fallback_ms else 0

    def update_service(self) -> None:
        """Recompute whether the endpoint may get new requests at all."""
        is_live = self.info.state is EndpointState.LIVE
        self.in_service = self.published and not self.drained and is_live

    def is_open(self, now_ms: int) -> bool:
        """Return whether another request may be started now."""
        if not self.in_service or now_ms < self.health.ejected_until_ms:
            return False
        if self.is_silent or now_ms < max(self.doubted_until_ms, self.stated_until_ms):
            return False
        if now_ms < self.lease_until_ms:
            return self.in_flight < self.credits
        return now_ms >= self.fallback_ms and self.in_flight < self.local_share

    def void_lease(self, next_sequence: int) -> None:
        """Void the lease; only grants for requests from `next_sequence` on are applied."""
        self.credits = 0
        self.lease_until_ms = 0
        self.fallback_ms = NEVER_MS
        self.cold = True
        self.min_sequence = next_sequence


class Pool:
    """The endpoints of one pool."""

    __slots__ = (
        "full_until_change",
        "endpoints",
        "mean_others_tokens",
        "members",
        "pool_id",
        "prefixes",
        "typical_pace",
    )

    def __init__(self, pool_id: PoolId, prefixes: PrefixIndex) -> None:
        self.pool_id = pool_id
        self.prefixes = prefixes
        self.endpoints: list[TrackedEndpoint] = []
        self.members: dict[EndpointId, TrackedEndpoint] = {}
        self.mean_others_tokens = 0.0
        self.typical_pace: float | None = None
        self.full_until_change = False

    def add(self, endpoint: TrackedEndpoint) -> None:
        """Add an endpoint."""
        self.endpoints.append(endpoint)
        self.members[endpoint.info.endpoint_id] = endpoint

    def eligible(self, request: PlacementRequest, now_ms: int) -> list[TrackedEndpoint]:
        """Return every endpoint that can accept the request now."""
        excluded = request.excluded
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.is_open(now_ms) and endpoint.info.endpoint_id not in excluded
        ]

    def sample(
        self, request: PlacementRequest, count: int, generator: Random, now_ms: int
    ) -> list[TrackedEndpoint]:
        """Return up to `count` open endpoints, drawn at random."""
        endpoints = self.endpoints
        size = len(endpoints)
        excluded = request.excluded
        if size <= count:
            return self.eligible(request, now_ms)
        found: list[TrackedEndpoint] = []
        draw = generator.random
        for _ in range(2 * count):
            endpoint = endpoints[int(draw() * size)]
            if endpoint in found or not endpoint.is_open(now_ms):
                continue
            if excluded and endpoint.info.endpoint_id in excluded:
                continue
            found.append(endpoint)
            if len(found) == count:
                return found
        return found or self._scan(request, count, int(generator.random() * size), now_ms)

    def _scan(
        self, request: PlacementRequest, count: int, offset: int, now_ms: int
    ) -> list[TrackedEndpoint]:
        """Return the first open endpoints from an offset on."""
        found: list[TrackedEndpoint] = []
        excluded = request.excluded
        for endpoint in self.endpoints[offset:] + self.endpoints[:offset]:
            if endpoint.is_open(now_ms) and endpoint.info.endpoint_id not in excluded:
                found.append(endpoint)
                if len(found) == count:
                    break
        if not found and not excluded:
            self.full_until_change = True
        return found
