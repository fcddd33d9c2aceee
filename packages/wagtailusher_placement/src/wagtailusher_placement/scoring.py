"""Default placement policy: the least expected delay among a few candidates."""

from __future__ import annotations

from operator import attrgetter
from random import Random

from wagtailusher_placement.const import (
    COLD_PENALTY,
    PREFILL_STEPS_PER_TOKEN,
    PREFIX_CANDIDATES,
    REPORT_HALF_LIFE_MS,
    SAMPLE_SIZE,
    TIER_COUNT,
)
from wagtailusher_placement.endpoints import CandidateScore, PlacementRequest
from wagtailusher_placement.tracked_endpoint import Pool, TrackedEndpoint

_by_score = attrgetter("score")


def choose_by_score(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Compare a few random open endpoints and those that hold the prompt's longest prefix."""
    if pool.full_until_change:
        return ()
    candidates = pool.sample(request, SAMPLE_SIZE, generator, now_ms)
    if not candidates:
        return ()
    if request.prefix_hashes:
        _add_prefix_holders(candidates, pool, request, now_ms)
    scores = [_score(endpoint, pool, request, now_ms) for endpoint in candidates]
    scores.sort(key=_by_score)
    return tuple(scores)


def _add_prefix_holders(
    candidates: list[TrackedEndpoint], pool: Pool, request: PlacementRequest, now_ms: int
) -> None:
    """Add open endpoints that hold the prompt's longest cached prefix."""
    for endpoint_id in pool.prefixes.endpoints_with_prefix(
        request.prefix_hashes, PREFIX_CANDIDATES
    ):
        endpoint = pool.members.get(endpoint_id)
        if endpoint is None or endpoint in candidates or endpoint_id in request.excluded:
            continue
        if endpoint.is_open(now_ms):
            candidates.append(endpoint)


def _score(
    endpoint: TrackedEndpoint, pool: Pool, request: PlacementRequest, now_ms: int
) -> CandidateScore:
    """Return the expected delay at an endpoint in decoding steps.

    The weight of an old report decays towards the mean of the pool's reports, so that its endpoint
    looks neither empty nor full. A cold endpoint is preferred for low tiers, to warm up on them.
    """
    info = endpoint.info
    others = pool.mean_others_tokens
    if endpoint.report_at_ms is not None:
        trust = 0.5 ** (max(0, now_ms - endpoint.report_at_ms) / REPORT_HALF_LIFE_MS)
        others += trust * (endpoint.others_tokens - others)
    prompt = float(request.prompt_tokens)
    cached = 0.0
    if request.prefix_hashes:
        cached = prompt * pool.prefixes.cached_share(info.endpoint_id, request.prefix_hashes)
    prefill = (endpoint.pending_prompt_tokens + prompt - cached) * PREFILL_STEPS_PER_TOKEN
    queued = (endpoint.own_tokens + others) / (info.concurrency_limit or 1)
    slowness = endpoint.health.slowness
    if endpoint.cold:
        slowness *= 1.0 + COLD_PENALTY * (1.0 - request.tier / (TIER_COUNT - 1))
    score = (prefill + queued + 1.0) * slowness + endpoint.kv_steps + endpoint.remote_steps
    return CandidateScore(
        info.endpoint_id, score, endpoint.own_tokens, others, prompt, cached, slowness
    )
