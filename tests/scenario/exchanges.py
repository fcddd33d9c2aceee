"""Requests in progress at a scenario's node, and their class policies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

from tests.scenario.calls import Attempt, Reply
from tests.scenario.steps import ClassSpec
from wagtailusher_core import ClassId, ClassKey, PoolId, WorkspaceId
from wagtailusher_settings import ClassPolicy, DeadlineBehaviour

WORKSPACE = WorkspaceId("w")
BETWEEN_TOKENS_TARGET_MS = 100

ReplyCallback = Callable[[Reply], None]


@dataclass(slots=True)
class Exchange:
    """A request in progress at a node, with its current attempt and the sender's callback."""

    attempt: Attempt
    on_reply: ReplyCallback
    attempt_number: int = 0
    endpoint: str = ""
    last_activity_ms: float = 0.0
    token_count: int = 0
    hops: int = 0


def fingerprint_of(attempt: Attempt) -> str:
    """Return the fingerprint of a request's body."""
    return sha256(attempt.body).hexdigest()


def policy_of(spec: ClassSpec) -> ClassPolicy:
    """Return the policy of a scenario's class."""
    behaviour = DeadlineBehaviour.FAIL_FAST
    if spec.served_late:
        behaviour = DeadlineBehaviour.SERVE_LATE
    return ClassPolicy(
        key=ClassKey(WORKSPACE, ClassId(spec.name)),
        route_id=spec.pool,
        tier=spec.tier,
        pool_ids=(PoolId(spec.pool),),
        first_token_target_ms=spec.target_ms,
        between_tokens_target_ms=BETWEEN_TOKENS_TARGET_MS,
        answer_target_ms=spec.target_ms,
        deadline_behaviour=behaviour,
        repeatable=spec.repeatable,
        queue_limit=spec.queue_limit,
        in_flight_quota=None,
        share=spec.share_percent / 100,
        weight=1.0,
        max_attempts=3,
    )
