"""Messages about endpoints that crash, fall silent, name a limit or leave."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId

NEVER_MS = 0xFFFFFFFF
"""Age of what never happened."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineEntry:
    """The endpoints that a request or a prompt part crashed, its quarantine or a complete answer.

    The fields behind the age are missing in messages of older builds.
    """

    fingerprint: str
    endpoint_ids: tuple[EndpointId, ...]
    quarantined: bool
    age_ms: int
    carriers: tuple[str, ...] = ()
    has_begun: bool = False
    completed: bool = False
    probes: int = 0
    idle_ms: int = NEVER_MS


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineSummary:
    """The fingerprints of requests that crash endpoints, as known to the sender."""

    entries: tuple[QuarantineEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LivenessEntry:
    """Whether an endpoint accepts the sender's connections, and for how long it has been silent."""

    endpoint_id: EndpointId
    incarnation: int
    is_responsive: bool
    silent_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LivenessSummary:
    """The endpoints that do not accept the sender's connections, or do so again."""

    entries: tuple[LivenessEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitEntry:
    """The requests that an endpoint takes from all VMs together, as its newest answer said."""

    endpoint_id: EndpointId
    incarnation: int
    has_limit: bool
    limit_per_1000_s: int
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitSummary:
    """The limits that endpoints named, or ceased to name, as known to the sender."""

    entries: tuple[LimitEntry, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementEntry:
    """What an endpoint stated in an answer; a receiver ignores the statements it doesn't know."""

    endpoint_id: EndpointId
    incarnation: int
    statement: str
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementSummary:
    """What endpoints stated about further requests, as known to the sender."""

    entries: tuple[StatementEntry, ...]
