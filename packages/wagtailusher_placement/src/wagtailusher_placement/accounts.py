"""The account of this node's work at the endpoints, and what it tells about them."""

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
from wagtailusher_placement.tracked import PlacedWork, Pool, TrackedEndpoint

FAILURES = frozenset(
    {AttemptResult.FAILED, AttemptResult.CRASHED, AttemptResult.SILENT, AttemptResult.REFUSED}
)


class WorkAccounts:
    """Keeps each endpoint's expected work in step with the requests placed there."""

    def __init__(self, lengths: LengthEstimator, durations: LengthEstimator) -> None:
        """Start without work; answers' lengths and durations are taught to the estimators."""
        self._lengths = lengths
        self._durations = durations
        self._placed: dict[RequestId, PlacedWork] = {}

    def get(self, request_id: RequestId) -> PlacedWork | None:
        """Return the account of a request, or None when it is not placed."""
        return self._placed.get(request_id)

    def open(
        self, item: TrackedEndpoint, request: PlacementRequest, cached_tokens: float, now_ms: int
    ) -> None:
        """Add a request to an endpoint's work."""
        expected = float(request.expected_output_tokens) or self._lengths.expected(request.key)
        work = PlacedWork(
            item,
            request,
            uncached_tokens=max(0.0, request.prompt_tokens - cached_tokens),
            expected_output_tokens=expected,
            now_ms=now_ms,
        )
        self._placed[request.request_id] = work
        item.in_flight += 1
        item.by_tier[min(request.tier, TIER_COUNT - 1)] += 1
        item.own_tokens += expected
        item.mean_work_tokens += LENGTH_WEIGHT * (expected - item.mean_work_tokens)
        item.pending_prompt += work.uncached_tokens
        item.waiting[request.request_id] = work

    def mark_sent(self, work: PlacedWork, now_ms: int) -> None:
        """Note that a request's first byte goes out."""
        if work.sent:
            return
        work.sent = True
        work.started_ms = now_ms
        work.endpoint.sent += 1

    def begin_answer(self, work: PlacedWork, now_ms: int) -> float | None:
        """Note a first token; return its pace, or None when it was noted before."""
        if work.first_token_at_ms is not None:
            return None
        work.first_token_at_ms = now_ms
        work.pace_from_ms = now_ms
        self._prompt_done(work)
        pace = pace_of(work, now_ms)
        work.endpoint.health.first_token.add(pace, now_ms)
        return pace

    def record_progress(self, work: PlacedWork, tokens: int, now_ms: int) -> None:
        """Take tokens off the work that is left."""
        work.output_tokens += tokens
        least = REMAINING_OUTPUT_SHARE * work.expected_output_tokens
        left = max(work.left_tokens - tokens, min(least, work.left_tokens))
        work.endpoint.own_tokens += left - work.left_tokens
        work.left_tokens = left
        work.pace_tokens += tokens
        if work.pace_tokens >= PACE_SAMPLE_TOKENS:
            pace = (now_ms - work.pace_from_ms) / work.pace_tokens
            work.endpoint.health.between_tokens.add(pace, now_ms)
            work.pace_tokens = 0
            work.pace_from_ms = now_ms

    def close(self, request_id: RequestId, end: AttemptResult, now_ms: int) -> PlacedWork | None:
        """Take a request off its endpoint; return it, or None when it is not placed."""
        work = self._placed.pop(request_id, None)
        if work is None:
            return None
        item = work.endpoint
        self._prompt_done(work)
        item.in_flight -= 1
        item.sent -= work.sent
        item.by_tier[min(work.request.tier, TIER_COUNT - 1)] -= 1
        item.own_tokens = max(0.0, item.own_tokens - work.left_tokens) if item.in_flight else 0.0
        self._learn(work, end, now_ms)
        return work

    def _prompt_done(self, work: PlacedWork) -> None:
        """Take a prompt off the endpoint's pending ones."""
        item = work.endpoint
        if item.waiting.pop(work.request.request_id, None) is not None:
            item.pending_prompt -= work.uncached_tokens
        if not item.waiting:
            item.pending_prompt = 0.0

    def _learn(self, work: PlacedWork, end: AttemptResult, now_ms: int) -> None:
        """Learn an answer's length, and whether the endpoint works."""
        if work.output_tokens:
            whole = end is AttemptResult.COMPLETED
            self._lengths.observe(work.request.key, work.output_tokens, whole=whole)
        if end is AttemptResult.COMPLETED:
            self._durations.observe(work.request.key, now_ms - work.started_ms)
            work.endpoint.health.succeeded()
        elif end in FAILURES:
            work.endpoint.health.failed()


def pace_of(work: PlacedWork, now_ms: int) -> float:
    """Return the time to the first token per prompt token, with a fixed part for each request."""
    elapsed_ms = max(0, now_ms - work.started_ms)
    if work.endpoint.info.kind is EndpointKind.SERVICE:
        return float(elapsed_ms)
    return elapsed_ms / (FIRST_TOKEN_BASE_TOKENS + work.uncached_tokens)


def is_timely(work: PlacedWork, pool: Pool | None, now_ms: int) -> bool:
    """Return whether a first token came as from an endpoint that can bear its work."""
    elapsed_ms = now_ms - work.started_ms
    if elapsed_ms <= TIMELY_FIRST_TOKEN_MS:
        return True
    if pool is None or pool.typical_pace is None:
        return elapsed_ms <= COLD_FIRST_TOKEN_MS
    return pace_of(work, now_ms) <= TIMELY_FIRST_TOKEN_FACTOR * pool.typical_pace


def seems_cold(work: PlacedWork, pool: Pool | None, now_ms: int) -> bool:
    """Return whether a first token takes so much longer than usual that the endpoint is cold.

    Only a part of a pool may be found cold this way, as a common cause slows all of it.
    """
    floor_ms, factor = COLD_FIRST_TOKEN_FLOOR_MS, COLD_FIRST_TOKEN_FACTOR
    if work.endpoint.info.kind is EndpointKind.SERVICE:
        floor_ms, factor = COLD_SERVICE_FLOOR_MS, COLD_SERVICE_FACTOR
    if pool is None or pool.typical_pace is None or now_ms - work.started_ms <= floor_ms:
        return False
    if pace_of(work, now_ms) <= factor * pool.typical_pace:
        return False
    suspects = sum(1 for item in pool.items if item.cold)
    return suspects < max(1, int(len(pool.items) * MAX_SUSPECT_SHARE))
