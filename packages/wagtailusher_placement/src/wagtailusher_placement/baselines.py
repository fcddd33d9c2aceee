"""Choosers to compare against: random, round robin, least in flight and least reported."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from wagtailusher_placement.endpoints import CandidateScore, PlacementRequest
from wagtailusher_placement.tracked import Pool, TrackedEndpoint

Chooser = Callable[[Pool, PlacementRequest, Random, int], tuple[CandidateScore, ...]]
"""Returns the scores of the candidates that were compared, best first."""


def choose_random(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose any endpoint that has room."""
    candidates = pool.eligible(request, now_ms)
    if not candidates:
        return ()
    return (_scored(candidates[int(generator.random() * len(candidates))], 0.0),)


def choose_round_robin(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose the endpoint whose last start by this node is longest ago."""
    return _least(pool.eligible(request, now_ms), lambda item: float(item.last_start))


def choose_least_in_flight(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose the endpoint with the least work in flight from this node."""
    return _least(pool.eligible(request, now_ms), lambda item: float(item.in_flight))


def choose_least_reported(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose the endpoint whose last report showed the least work, however old it is."""
    return _least(pool.eligible(request, now_ms), lambda item: float(item.reported_count))


def _least(
    candidates: Sequence[TrackedEndpoint], rate: Callable[[TrackedEndpoint], float]
) -> tuple[CandidateScore, ...]:
    """Return the candidate with the least rating; ties fall to the lesser name."""
    if not candidates:
        return ()
    best = min(candidates, key=lambda item: (rate(item), item.info.endpoint_id))
    return (_scored(best, rate(best)),)


def _scored(item: TrackedEndpoint, score: float) -> CandidateScore:
    """Return a candidate with its score."""
    return CandidateScore(item.info.endpoint_id, score)
