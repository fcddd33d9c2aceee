"""Requests, refusals and limits of admission."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_admission.const import (
    DEFAULT_FAIRNESS_ALLOWANCE_MS,
    DEFAULT_IDLE_CLASS_LIMIT,
    DEFAULT_MIN_SHARE,
    DEFAULT_POOL_QUEUE_LIMIT,
    DEFAULT_RESERVE_INTERVAL_STARTS,
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
)
from wagtailusher_core import ClassKey, ErrorCode, PoolId, RequestId
from wagtailusher_settings.policy import DeadlineBehaviour


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingRequest:
    """A request that waits for its start.

    `deadline_ms` is the latest start that still meets the target. With `answer_by_ms`, the time
    by which the answer has to begin, the learned time from start to first answer is subtracted
    from it; the earlier of both deadlines applies.
    """

    request_id: RequestId
    key: ClassKey
    pool_id: PoolId
    tier: int
    arrived_ms: int
    deadline_ms: int
    deadline_behaviour: DeadlineBehaviour = DeadlineBehaviour.FAIL_FAST
    weight: float = 1.0
    share: float = 0.0
    queue_limit: int = DEFAULT_POOL_QUEUE_LIMIT
    in_flight_quota: int | None = None
    expected_service_ms: int = 0
    answer_by_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The refusal of a request that was never sent."""

    request_id: RequestId
    code: ErrorCode
    retry_after_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionLimits:
    """Limits of a decider.

    A pool has `pool_queue_limit` shared queue slots and one slot of its own for each waiting
    class. One start in `reserve_interval_starts` may be reserved for a class whose share is
    overdue.
    """

    pool_queue_limit: int = DEFAULT_POOL_QUEUE_LIMIT
    reserve_interval_starts: int = DEFAULT_RESERVE_INTERVAL_STARTS
    min_share: float = DEFAULT_MIN_SHARE
    fairness_allowance_ms: float = DEFAULT_FAIRNESS_ALLOWANCE_MS
    idle_class_limit: int = DEFAULT_IDLE_CLASS_LIMIT
    min_retry_after_ms: int = MIN_RETRY_AFTER_MS
    max_retry_after_ms: int = MAX_RETRY_AFTER_MS
