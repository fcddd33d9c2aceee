"""Detects endpoints that fail a part of their requests although their health checks pass."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
import math
from statistics import median_low

OUTCOME_MEMORY_MS = 3_000.0
"""Decay time constant of outcomes; a few heartbeat intervals of an endpoint."""

PRIOR_ANSWERS = 4.0
"""Successful requests assumed in advance, so that a single failure has little weight."""

TOLERATED_FAILURE_RATE = 0.15
"""Failure rate above the median that is tolerated; with few requests it can arise by chance."""

FAILURE_PENALTY_MS = 2_000.0
"""Cost penalty for a failure rate of 1 beyond that; a failed answer costs more than a late one."""


@dataclass(slots=True)
class Outcomes:
    """Exponentially decayed counts of one endpoint's successful and failed requests."""

    answers: float = 0.0
    failures: float = 0.0
    updated_ms: int = 0

    def add(self, now_ms: int, *, failed: bool) -> None:
        """Record the end of a request."""
        self.answers, self.failures = self.recent(now_ms)
        self.updated_ms = now_ms
        if failed:
            self.failures += 1.0
        else:
            self.answers += 1.0

    def recent(self, now_ms: int) -> tuple[float, float]:
        """Return the successful and failed requests, decayed to the given time."""
        decay = math.exp(-max(0, now_ms - self.updated_ms) / OUTCOME_MEMORY_MS)
        return self.answers * decay, self.failures * decay


def expected_failure_rate(answers: float, failures: float) -> float:
    """Return the share of requests that an endpoint is expected to fail, from 0 to 1."""
    return failures / (answers + failures + PRIOR_ANSWERS)


def failure_penalties_ms(shares: Iterable[float]) -> list[float]:
    """Return each endpoint's cost penalty, in ms, for failing more than the median of its service.

    Failures that all endpoints share are caused by the requests or can't be avoided.
    """
    listed = list(shares)
    if not listed:
        return []
    tolerated = median_low(listed) + TOLERATED_FAILURE_RATE
    return [FAILURE_PENALTY_MS * max(0.0, share - tolerated) for share in listed]
