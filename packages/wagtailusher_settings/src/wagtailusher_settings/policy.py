"""Effective values that the deciders read, and the overrides they are resolved from."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields
from enum import Enum, StrEnum
from typing import Any, Final

from wagtailusher_core import ClassKey, FailureDomainId, PoolId
from wagtailusher_settings.const import (
    DEFAULT_ADDRESS_LIFETIME_MS,
    DEFAULT_ANSWER_TARGET_MS,
    DEFAULT_BETWEEN_TOKENS_TARGET_MS,
    DEFAULT_FIRST_TOKEN_TARGET_MS,
    DEFAULT_MAX_ATTEMPTS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_QUEUE_LIMIT,
    DEFAULT_SHARE,
    DEFAULT_SHUTDOWN_GRACE_MS,
    DEFAULT_SILENCE_TIMEOUT_MS,
    DEFAULT_TICKET_LIFETIME_MS,
    DEFAULT_TIER,
    DEFAULT_TRACE_SAMPLE_SHARE,
    DEFAULT_WEIGHT,
)


class DeadlineBehaviour(StrEnum):
    """What happens to a request that can no longer meet its target."""

    FAIL_FAST = "fail_fast"
    SERVE_LATE = "serve_late"


class Unset(Enum):
    """The marker of a value that is inherited."""

    UNSET = "unset"


UNSET: Final = Unset.UNSET


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassPolicy:
    """Every effective value of one class on one route of one workspace."""

    key: ClassKey
    route_id: str
    tier: int
    pool_ids: tuple[PoolId, ...]
    first_token_target_ms: int
    between_tokens_target_ms: int
    answer_target_ms: int
    deadline_behaviour: DeadlineBehaviour
    repeatable: bool
    queue_limit: int
    in_flight_quota: int | None
    share: float
    weight: float
    max_attempts: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPolicy:
    """Values that apply to every VM of the fleet."""

    drained_domains: frozenset[FailureDomainId] = frozenset()
    shutdown_grace_ms: int = DEFAULT_SHUTDOWN_GRACE_MS
    address_lifetime_ms: int = DEFAULT_ADDRESS_LIFETIME_MS
    silence_timeout_ms: int = DEFAULT_SILENCE_TIMEOUT_MS
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    ticket_lifetime_ms: int = DEFAULT_TICKET_LIFETIME_MS
    trace_sample_share: float = DEFAULT_TRACE_SAMPLE_SHARE


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyOverrides:
    """The policy values set at one level of the tree."""

    tier: int | Unset = UNSET
    first_token_target_ms: int | Unset = UNSET
    between_tokens_target_ms: int | Unset = UNSET
    answer_target_ms: int | Unset = UNSET
    deadline_behaviour: DeadlineBehaviour | Unset = UNSET
    repeatable: bool | Unset = UNSET
    queue_limit: int | Unset = UNSET
    in_flight_quota: int | Unset | None = UNSET
    share: float | Unset = UNSET
    weight: float | Unset = UNSET
    max_attempts: int | Unset = UNSET

    def set_values(self) -> Iterator[tuple[str, Any]]:
        """Yield the name and value of each override."""
        for name in POLICY_KEYS:
            value = getattr(self, name)
            if value is not UNSET:
                yield name, value


POLICY_KEYS: Final = tuple(field.name for field in fields(PolicyOverrides))
FLEET_KEYS: Final = tuple(field.name for field in fields(FleetPolicy))

NO_OVERRIDES: Final = PolicyOverrides()
DEFAULT_POLICY: Final = PolicyOverrides(
    tier=DEFAULT_TIER,
    first_token_target_ms=DEFAULT_FIRST_TOKEN_TARGET_MS,
    between_tokens_target_ms=DEFAULT_BETWEEN_TOKENS_TARGET_MS,
    answer_target_ms=DEFAULT_ANSWER_TARGET_MS,
    deadline_behaviour=DeadlineBehaviour.FAIL_FAST,
    repeatable=True,
    queue_limit=DEFAULT_QUEUE_LIMIT,
    in_flight_quota=None,
    share=DEFAULT_SHARE,
    weight=DEFAULT_WEIGHT,
    max_attempts=DEFAULT_MAX_ATTEMPTS,
)
