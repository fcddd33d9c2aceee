"""The mutable state that a node keeps for each endpoint and pool."""

from __future__ import annotations

from random import Random

from wagtailusher_core import EndpointId, Incarnation, PoolId, RequestId, VmId
from wagtailusher_placement.coldstart import ColdStart
from wagtailusher_placement.const import DEFAULT_OUTPUT_TOKENS, NEVER_MS, TIER_COUNT
from wagtailusher_placement.endpoints import EndpointInfo, EndpointState, PlacementRequest
from wagtailusher_placement.prefix import PrefixIndex
from wagtailusher_placement.stragglers import EndpointHealth


class PlacedWork:
    """One request at an endpoint, from the choice to its end."""

    __slots__ = (
        "endpoint",
        "expected_output_tokens",
        "first_token_at_ms",
        "pace_from_ms",
        "pace_tokens",
        "left_tokens",
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
        """Start unsent."""
        self.endpoint = endpoint
        self.request = request
        self.started_ms = now_ms
        self.sent = False
        self.uncached_tokens = uncached_tokens
        self.expected_output_tokens = expected_output_tokens
        self.left_tokens = expected_output_tokens
        self.output_tokens = 0
        self.first_token_at_ms: int | None = None
        self.pace_from_ms = now_ms
        self.pace_tokens = 0


class TrackedEndpoint:
    """What this node knows of one endpoint."""

    __slots__ = (
        "applied_at_ms",
        "applied_sequence",
        "by_tier",
        "cold",
        "credits",
        "drained",
        "fallback_ms",
        "good_first_tokens",
        "health",
        "in_flight",
        "in_service",
        "incarnation",
        "info",
        "kv_steps",
        "last_request_ms",
        "last_start",
        "lease_until_ms",
        "least_sequence",
        "local_start",
        "mean_work_tokens",
        "others_tokens",
        "must_confirm",
        "own_tokens",
        "pending_prompt",
        "published",
        "remote_steps",
        "report_at_ms",
        "reported_count",
        "sent",
        "sent_requests",
        "share",
        "steward_epoch",
        "steward_id",
        "suspects_cold",
        "waiting",
    )

    def __init__(self, info: EndpointInfo) -> None:
        """Start without work, credits or knowledge of the endpoint's warmth."""
        self.info = info
        self.published = True
        self.drained = False
        self.in_service = False
        self.health = EndpointHealth()
        self.in_flight = 0
        self.sent = 0
        self.last_start = 0
        self.by_tier = [0] * TIER_COUNT
        self.own_tokens = 0.0
        self.mean_work_tokens = DEFAULT_OUTPUT_TOKENS
        self.pending_prompt = 0.0
        self.waiting: dict[RequestId, PlacedWork] = {}
        self.report_at_ms: int | None = None
        self.reported_count = 0
        self.others_tokens = 0.0
        self.kv_steps = 0.0
        self.remote_steps = 0.0
        self.incarnation: Incarnation | None = None
        self.cold: bool | None = None
        self.suspects_cold = False
        self.good_first_tokens = 0
        self.local_start: ColdStart | None = None
        self.credits = 0
        self.lease_until_ms = 0
        self.fallback_ms = NEVER_MS
        self.share = 0
        self.applied_at_ms: int | None = None
        self.applied_sequence = 0
        self.least_sequence = 0
        self.must_confirm = False
        self.steward_epoch = 0
        self.steward_id: VmId | None = None
        self.last_request_ms: int | None = None
        self.sent_requests: dict[int, int] = {}

    def allowed(self, now_ms: int) -> int:
        """Return how many requests this node may have in flight now."""
        if now_ms < self.lease_until_ms:
            return self.credits
        return self.share if now_ms >= self.fallback_ms else 0

    def update_service(self) -> None:
        """Derive whether the endpoint may get new work at all."""
        is_live = self.info.state is EndpointState.LIVE
        self.in_service = self.published and not self.drained and is_live

    def is_open(self, now_ms: int) -> bool:
        """Return whether another request may be started now."""
        if not self.in_service or now_ms < self.health.ejected_until_ms:
            return False
        if now_ms < self.lease_until_ms:
            return self.in_flight < self.credits
        return now_ms >= self.fallback_ms and self.in_flight < self.share

    def void_lease(self, next_sequence: int) -> None:
        """Give up the lease; only an answer to a later request counts."""
        self.credits = 0
        self.lease_until_ms = 0
        self.fallback_ms = NEVER_MS
        self.cold = True
        self.least_sequence = next_sequence


class Pool:
    """The endpoints of one pool."""

    __slots__ = (
        "full_until_change",
        "items",
        "mean_others_tokens",
        "members",
        "pool_id",
        "prefixes",
        "typical_pace",
    )

    def __init__(self, pool_id: PoolId, prefixes: PrefixIndex) -> None:
        """Start empty."""
        self.pool_id = pool_id
        self.prefixes = prefixes
        self.items: list[TrackedEndpoint] = []
        self.members: dict[EndpointId, TrackedEndpoint] = {}
        self.mean_others_tokens = 0.0
        self.typical_pace: float | None = None
        self.full_until_change = False

    def add(self, item: TrackedEndpoint) -> None:
        """Add an endpoint."""
        self.items.append(item)
        self.members[item.info.endpoint_id] = item

    def eligible(self, request: PlacementRequest, now_ms: int) -> list[TrackedEndpoint]:
        """Return every endpoint that may take the request now."""
        excluded = request.excluded
        return [
            item
            for item in self.items
            if item.is_open(now_ms) and item.info.endpoint_id not in excluded
        ]

    def sample(
        self, request: PlacementRequest, count: int, generator: Random, now_ms: int
    ) -> list[TrackedEndpoint]:
        """Return up to `count` open endpoints, drawn at random."""
        items = self.items
        size = len(items)
        excluded = request.excluded
        if size <= count:
            return self.eligible(request, now_ms)
        found: list[TrackedEndpoint] = []
        draw = generator.random
        for _ in range(2 * count):
            item = items[int(draw() * size)]
            if item in found or not item.is_open(now_ms):
                continue
            if excluded and item.info.endpoint_id in excluded:
                continue
            found.append(item)
            if len(found) == count:
                return found
        return found or self._scan(request, count, int(generator.random() * size), now_ms)

    def _scan(
        self, request: PlacementRequest, count: int, offset: int, now_ms: int
    ) -> list[TrackedEndpoint]:
        """Return the first open endpoints from an offset on."""
        found: list[TrackedEndpoint] = []
        excluded = request.excluded
        for item in self.items[offset:] + self.items[:offset]:
            if item.is_open(now_ms) and item.info.endpoint_id not in excluded:
                found.append(item)
                if len(found) == count:
                    break
        if not found and not excluded:
            self.full_until_change = True
        return found
