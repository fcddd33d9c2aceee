"""Tells which endpoints fail part of their work; answers endpoints that only look healthy."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
import math
from statistics import median_low

OUTCOME_MEMORY_MS = 3_000.0
"""Time constant with which outcomes are forgotten; a few heartbeats of an endpoint."""

PRIOR_ANSWERS = 4.0
"""Good answers taken for granted, so that one failure says little."""

TOLERATED_SHARE = 0.15
"""Failures beyond the usual share that say nothing; chance alone brings them among few requests."""

FAILING_COST_MS = 2_000.0
"""Handicap per share of failures beyond that; a failed answer costs more than a late one."""


@dataclass(slots=True)
class Outcomes:
    """Answers and failures of one endpoint lately, the older the less."""

    answers: float = 0.0
    failures: float = 0.0
    at_ms: int = 0

    def add(self, now_ms: int, *, failed: bool) -> None:
        """Note the end of a request."""
        self.answers, self.failures = self.recent(now_ms)
        self.at_ms = now_ms
        if failed:
            self.failures += 1.0
        else:
            self.answers += 1.0

    def recent(self, now_ms: int) -> tuple[float, float]:
        """Return answers and failures as they count now."""
        keep = math.exp(-max(0, now_ms - self.at_ms) / OUTCOME_MEMORY_MS)
        return self.answers * keep, self.failures * keep


def failing_share(answers: float, failures: float) -> float:
    """Return the part of requests that an endpoint is expected to fail, 0 to 1."""
    return failures / (answers + failures + PRIOR_ANSWERS)


def failing_costs_ms(shares: Iterable[float]) -> list[float]:
    """Return each endpoint's handicap, in ms, for failing more than the median of its service.

    What all endpoints fail alike is the requests' fault or can't be avoided.
    """
    listed = list(shares)
    if not listed:
        return []
    tolerated = median_low(listed) + TOLERATED_SHARE
    return [FAILING_COST_MS * max(0.0, share - tolerated) for share in listed]
