"""Accounting of this node's in-flight requests by endpoint, and measurements from them."""

from __future__ import annotations

from wagtailusher_core import RequestId
from wagtailusher_placement.const import (
    COLD_FIRST_TOKEN_FACTOR,
    COLD_FIRST_TOKEN_FLOOR_MS,
    COLD_FIRST_TOKEN_MS,
    COLD_SERVICE_FACTOR,
    COLD_SERVICE_FLOOR_MS,
    FIRST_TOKEN_BASE_TOKENS,
    LENGTH_WEIGHT,
    MAX_SUSPECT_SHARE,
    PACE_SAMPLE_TOKENS,
    REMAINING_OUTPUT_SHARE,
    TIER_COUNT,
    TIMELY_FIRST_TOKEN_FACTOR,
    TIMELY_FIRST_TOKEN_MS,
)
from wagtailusher_placement.endpoints import AttemptResult, EndpointKind, PlacementRequest
from wagtailusher_placement.lengths import LengthEstimator
from wagtailusher_placement.tracked_endpoint import PlacedRequest, Pool, TrackedEndpoint

FAILURES = frozenset(
    {
        AttemptResult.FAILED,
        AttemptResult.CRASHED,
        AttemptResult.SILENT,
        AttemptResult.BROKEN,
        AttemptResult.REFUSED,
    }
)


class InFlightAccounting:
    """Tracks each endpoint's expected work from the requests placed on it."""

    def __init__(self, lengths: LengthEstimator, durations: LengthEstimator) -> None:
        """Use `lengths` (tokens) and `durations` (milliseconds) to learn from completed answers."""
        self._lengths = lengths
        self._durations = durations
        self._placed: dict[RequestId, PlacedRequest] = {}

    def get(self, request_id: RequestId) -> PlacedRequest | None:
        """Return a placed request's state, or None when it is not placed."""
        return self._placed.get(request_id)

    def add_request(
        self,
        endpoint: TrackedEndpoint,
        request: PlacementRequest,
        cached_tokens: float,
        now_ms: int,
    ) -> None:
        """Add a request to an endpoint's in-flight work."""
        expected_tokens = float(request.expected_output_tokens) or self._lengths.estimate(
            request.key
        )
        placed = PlacedRequest(
            endpoint,
            request,
            uncached_tokens=max(0.0, request.prompt_tokens - cached_tokens),
            expected_output_tokens=expected_tokens,
            now_ms=now_ms,
        )
        self._placed[request.request_id] = placed
        endpoint.in_flight += 1
        endpoint.in_flight_by_tier[min(request.tier, TIER_COUNT - 1)] += 1
        endpoint.own_tokens += expected_tokens
        endpoint.mean_request_tokens += LENGTH_WEIGHT * (
            expected_tokens - endpoint.mean_request_tokens
        )
        endpoint.pending_prompt_tokens += placed.uncached_tokens
        endpoint.awaiting_first_token[request.request_id] = placed

    def mark_sent(self, placed: PlacedRequest, now_ms: int) -> None:
        """Mark a request as sent, right before its first byte; later calls have no effect."""
        if placed.sent:
            return
        placed.sent = True
        placed.started_ms = now_ms
        placed.endpoint.sent += 1

    def record_first_token_pace(self, placed: PlacedRequest, now_ms: int) -> float | None:
        """Record a first token; return its pace, or None when it was recorded before."""
        if placed.first_token_at_ms is not None:
            return None
        placed.first_token_at_ms = now_ms
        placed.pace_started_ms = now_ms
        self._finish_prompt(placed)
        pace = first_token_pace(placed, now_ms)
        placed.endpoint.health.first_token.add(pace, now_ms)
        return pace

    def record_progress(self, placed: PlacedRequest, tokens: int, now_ms: int) -> None:
        """Subtract received tokens from the expected remaining output."""
        placed.output_tokens += tokens
        min_remaining = REMAINING_OUTPUT_SHARE * placed.expected_output_tokens
        remaining = max(
            placed.remaining_tokens - tokens, min(min_remaining, placed.remaining_tokens)
        )
        placed.endpoint.own_tokens += remaining - placed.remaining_tokens
        placed.remaining_tokens = remaining
        placed.pace_tokens += tokens
        if placed.pace_tokens >= PACE_SAMPLE_TOKENS:
            pace = (now_ms - placed.pace_started_ms) / placed.pace_tokens
            placed.endpoint.health.between_tokens.add(pace, now_ms)
            placed.pace_tokens = 0
            placed.pace_started_ms = now_ms

    def remove_request(
        self, request_id: RequestId, result: AttemptResult, now_ms: int
    ) -> PlacedRequest | None:
        """Remove a request from its endpoint; return it, or None when it is not placed."""
        placed = self._placed.pop(request_id, None)
        if placed is None:
            return None
        endpoint = placed.endpoint
        self._finish_prompt(placed)
        endpoint.in_flight -= 1
        endpoint.sent -= placed.sent
        endpoint.in_flight_by_tier[min(placed.request.tier, TIER_COUNT - 1)] -= 1
        endpoint.own_tokens = (
            max(0.0, endpoint.own_tokens - placed.remaining_tokens) if endpoint.in_flight else 0.0
        )
        self._update_estimates(placed, result, now_ms)
        return placed

    def _finish_prompt(self, placed: PlacedRequest) -> None:
        """Remove a request's prompt from the endpoint's pending prompt tokens."""
        endpoint = placed.endpoint
        if endpoint.awaiting_first_token.pop(placed.request.request_id, None) is not None:
            endpoint.pending_prompt_tokens -= placed.uncached_tokens
        if not endpoint.awaiting_first_token:
            endpoint.pending_prompt_tokens = 0.0

    def _update_estimates(self, placed: PlacedRequest, result: AttemptResult, now_ms: int) -> None:
        """Update the length and duration estimates and the endpoint's health."""
        if placed.output_tokens:
            complete = result is AttemptResult.COMPLETED
            self._lengths.observe(placed.request.key, placed.output_tokens, complete=complete)
        if result is AttemptResult.COMPLETED:
            self._durations.observe(placed.request.key, now_ms - placed.started_ms)
            placed.endpoint.health.record_success()
        elif result in FAILURES:
            placed.endpoint.health.record_failure()


def first_token_pace(placed: PlacedRequest, now_ms: int) -> float:
    """Return the milliseconds to the first token per token of uncached prompt plus a fixed count.

    For a plain service, return the elapsed milliseconds.
    """
    elapsed_ms = max(0, now_ms - placed.started_ms)
    if placed.endpoint.info.kind is EndpointKind.SERVICE:
        return float(elapsed_ms)
    return elapsed_ms / (FIRST_TOKEN_BASE_TOKENS + placed.uncached_tokens)


def is_timely(placed: PlacedRequest, pool: Pool | None, now_ms: int) -> bool:
    """Return whether a first token arrived within the time usual for a warm endpoint."""
    elapsed_ms = now_ms - placed.started_ms
    if elapsed_ms <= TIMELY_FIRST_TOKEN_MS:
        return True
    if pool is None or pool.typical_pace is None:
        return elapsed_ms <= COLD_FIRST_TOKEN_MS
    return first_token_pace(placed, now_ms) <= TIMELY_FIRST_TOKEN_FACTOR * pool.typical_pace


def seems_cold(placed: PlacedRequest, pool: Pool | None, now_ms: int) -> bool:
    """Return whether a first token is so late, compared with the pool, as at a cold endpoint.

    Only a share of a pool may be detected as cold this way, as a common cause slows all of it.
    """
    floor_ms, factor = COLD_FIRST_TOKEN_FLOOR_MS, COLD_FIRST_TOKEN_FACTOR
    if placed.endpoint.info.kind is EndpointKind.SERVICE:
        floor_ms, factor = COLD_SERVICE_FLOOR_MS, COLD_SERVICE_FACTOR
    if pool is None or pool.typical_pace is None or now_ms - placed.started_ms <= floor_ms:
        return False
    if first_token_pace(placed, now_ms) <= factor * pool.typical_pace:
        return False
    suspects = sum(1 for endpoint in pool.endpoints if endpoint.cold)
    return suspects < max(1, int(len(pool.endpoints) * MAX_SUSPECT_SHARE))
