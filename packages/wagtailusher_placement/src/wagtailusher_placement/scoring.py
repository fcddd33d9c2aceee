"""The project's own choice of an endpoint."""

from __future__ import annotations

from random import Random

from wagtailusher_placement.baselines import choose_least_in_flight
from wagtailusher_placement.endpoints import CandidateScore, PlacementRequest
from wagtailusher_placement.tracked import Pool


def choose_by_score(
    pool: Pool, request: PlacementRequest, generator: Random, now_ms: int
) -> tuple[CandidateScore, ...]:
    """Return the candidates by rising score."""
    return choose_least_in_flight(pool, request, generator, now_ms)
