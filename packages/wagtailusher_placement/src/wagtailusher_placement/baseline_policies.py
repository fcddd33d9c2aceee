"""Reference placement policies: random, round robin, least in flight and least reported."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from wagtailusher_placement.endpoints import CandidateScore, PlacementRequest
from wagtailusher_placement.tracked_endpoint import Pool, TrackedEndpoint

Chooser = Callable[[Pool, PlacementRequest, Random, int], tuple[CandidateScore, ...]]
"""Placement policy: returns the scores of the compared candidates, best first."""


def choose_random(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose any endpoint that can accept the request, at random."""
    candidates = pool.eligible(request, now_ms)
    if not candidates:
        return ()
    return (_scored(candidates[int(generator.random() * len(candidates))], 0.0),)


def choose_round_robin(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose the endpoint on which this node least recently started a request."""
    return _min_by(
        pool.eligible(request, now_ms), lambda endpoint: float(endpoint.last_start_number)
    )


def choose_least_in_flight(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose the endpoint with the fewest requests in flight from this node."""
    return _min_by(pool.eligible(request, now_ms), lambda endpoint: float(endpoint.in_flight))


def choose_least_reported(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Choose the endpoint with the fewest requests in its last report, however old it is."""
    return _min_by(pool.eligible(request, now_ms), lambda endpoint: float(endpoint.reported_count))


def _min_by(
    candidates: Sequence[TrackedEndpoint], rating: Callable[[TrackedEndpoint], float]
) -> tuple[CandidateScore, ...]:
    """Return the candidate with the least rating; equal ratings are ordered by endpoint id."""
    if not candidates:
        return ()
    best = min(candidates, key=lambda endpoint: (rating(endpoint), endpoint.info.endpoint_id))
    return (_scored(best, rating(best)),)


def _scored(endpoint: TrackedEndpoint, score: float) -> CandidateScore:
    return CandidateScore(endpoint.info.endpoint_id, score)
