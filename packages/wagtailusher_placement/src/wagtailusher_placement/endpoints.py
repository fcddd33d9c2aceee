"""Published endpoint data, and the requests and results of placement."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from wagtailusher_core import ClassKey, EndpointId, FailureDomainId, PoolId, RequestId


class EndpointState(StrEnum):
    """An endpoint's published state."""

    LIVE = "live"
    LEAVING = "leaving"


class EndpointKind(StrEnum):
    """What an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


class AttemptResult(StrEnum):
    """How an attempt at an endpoint ended."""

    COMPLETED = "completed"
    REFUSED = "refused"
    FAILED = "failed"
    CRASHED = "crashed"
    CANCELLED = "cancelled"
    CLOSED = "closed"
    """A kept connection ended before the answer, and the endpoint's process is still the same."""
    SILENT = "silent"
    BROKEN = "broken"
    """A stream contained bytes that are not its own behind its first event."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointInfo:
    """An endpoint as published; the address is `host:port`."""

    endpoint_id: EndpointId
    pool_ids: frozenset[PoolId]
    failure_domain_id: FailureDomainId
    address: str
    state: EndpointState = EndpointState.LIVE
    kind: EndpointKind = EndpointKind.ENGINE
    concurrency_limit: int = 32
    cold_limit: int = 1
    checks_fencing: bool = False
    honours_priority: bool = False
    resumes_streams: bool = False

    @property
    def has_cold_start(self) -> bool:
        """Return whether the endpoint's limit is lower while it is cold."""
        return self.cold_limit < self.concurrency_limit


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementRequest:
    """A request that needs an endpoint."""

    request_id: RequestId
    pool_id: PoolId
    tier: int
    key: ClassKey
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    prefix_hashes: tuple[int, ...] = ()
    excluded: frozenset[EndpointId] = frozenset()


class CandidateScore(NamedTuple):
    """A compared endpoint with the parts of its score; the lowest score is chosen."""

    endpoint_id: EndpointId
    score: float
    own_tokens: float = 0.0
    reported_tokens: float = 0.0
    prompt_tokens: float = 0.0
    cached_tokens: float = 0.0
    slowness: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The endpoint chosen for a request, with the candidates that were compared, best first."""

    request_id: RequestId
    endpoint_id: EndpointId
    address: str
    candidates: tuple[CandidateScore, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointView:
    """This node's current view of an endpoint."""

    endpoint_id: EndpointId
    failure_domain_id: FailureDomainId
    state: EndpointState
    in_flight: int
    own_tokens: float
    allowed: int
    cold: bool
    drained: bool
    ejected: bool
    slowness: float
    report_age_ms: int | None
    opens_in_ms: int | None = 0
    """Time until the endpoint takes another request by what it stated; None if it leaves."""
