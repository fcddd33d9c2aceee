"""What a choice of an endpoint compared: the candidates, their terms, and why others are out."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.endpoint_registry import Load, TrackedEndpoint
from wagtailusher_gateway.models import FleetView, RequestTerms, Service

TIE_BREAK_MS = 1.0
"""Largest random number that is added to a cost, so that equal endpoints take turns."""


class Barrier(StrEnum):
    """Why an endpoint is no candidate for a request."""

    DRAINING = "draining"
    EVACUATED = "evacuated"
    OTHER_VERSION = "other software version"
    WAITING = "wants no requests"
    SILENT = "silent"
    LEAVING = "may leave"
    EJECTED = "ejected"
    PARTITION = "not for long prompts"
    FULL = "full"
    NO_OWN_PLACE = "brittle, its places are other VMs'"
    LIMITED = "limited"
    COLD_LIMIT = "cold limit"
    FOR_MORE_URGENT = "limited, more urgent requests wait"
    FOR_OTHER_VMS = "left to other VMs"


Candidate = tuple[TrackedEndpoint, Load, bool]
"""An endpoint with capacity, its load, and whether it is in cold start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """A request for which an endpoint is chosen, and what is known at that moment."""

    service: Service
    terms: RequestTerms
    view: FleetView
    vm_ids: tuple[VmId, ...]
    now_ms: int
    rank: int
    excluded: frozenset[EndpointId] = frozenset()
    """Endpoints that are used only if no other one has capacity."""
    software_version: str | None = None
    """Version that the endpoint must have, if any."""
    may_use_limited: bool = True
    """Whether endpoints that name a limit may be used."""


@dataclass(slots=True, kw_only=True)
class CandidateTerms:
    """The terms of which a candidate's cost is the sum."""

    candidate: Candidate
    delay_ms: float
    """By how long its load delays the request."""
    missing_tokens: int
    """Tokens of the shared parts that it is believed to miss."""
    missing_ms: float
    """What reading these costs, in the time of the endpoint and all that queue there."""
    partition_ms: float
    failure_ms: float
    cold_ms: float
    domain_ms: float
    tie_break_ms: float
    """Random number below `TIE_BREAK_MS`."""

    @property
    def endpoint_id(self) -> EndpointId:
        """Return the candidate's identifier."""
        return self.candidate[0].endpoint.endpoint_id

    @property
    def total_ms(self) -> float:
        """Return the cost without its random part."""
        penalties_ms = self.partition_ms + self.failure_ms + self.cold_ms + self.domain_ms
        return self.delay_ms + self.missing_ms + penalties_ms

    @property
    def cost_ms(self) -> float:
        """Return the cost; the candidate with the lowest one is chosen."""
        return self.tie_break_ms + self.total_ms


def without_excluded(
    candidates: list[Candidate], excluded: frozenset[EndpointId]
) -> list[Candidate]:
    """Return the candidates that are not excluded, all if there are no others."""
    if not excluded:
        return candidates
    return [item for item in candidates if item[0].endpoint.endpoint_id not in excluded] or (
        candidates
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The endpoint chosen for a request, what it was compared with, and what was left out."""

    usable: Sequence[TrackedEndpoint]
    barriers: Mapping[EndpointId, Barrier]
    """Why the usable endpoints that are no candidates are none."""
    candidates: Sequence[CandidateTerms] = ()
    best: CandidateTerms | None = None
    """None if no endpoint has capacity."""
    cached_chances: Mapping[EndpointId, float] = field(default_factory=dict)
    uncached_tokens: int = 0
    """Prompt tokens that the chosen endpoint is believed to have to read."""
