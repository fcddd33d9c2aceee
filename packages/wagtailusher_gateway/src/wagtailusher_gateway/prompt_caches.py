"""Which endpoints hold the shared parts of a prompt, as far as all VMs compute it alike.

Answers bursts of requests with long shared parts: each part that is read at more engines than
its demand needs takes the time in which these could read prompts of their own.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass, field

from wagtailusher_core import EndpointId, FailureDomainId, rank_by_rendezvous
from wagtailusher_gateway.endpoint_registry import TrackedEndpoint
from wagtailusher_gateway.engine_rates import EngineRate
from wagtailusher_gateway.models import Endpoint, RequestTerms, Service

CACHED_CHANCE_BY_RANK = (0.9, 0.5)
"""Chance that the first and the second endpoint by rendezvous rank have a shared prompt cached."""


def cache_doubt(terms: RequestTerms, uncached_tokens: int) -> float:
    """Return how uncertain it is that the shared parts are cached: 1 for an even chance."""
    shared_tokens = terms.prompt_tokens - terms.own_prompt_tokens
    if shared_tokens <= 0:
        return 0.0
    missing_share = (uncached_tokens - terms.own_prompt_tokens) / shared_tokens
    return 1.0 - abs(1.0 - 2.0 * min(1.0, max(0.0, missing_share)))


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheRanking:
    """The endpoints that all VMs prefer for a prompt's shared parts, in the same order."""

    ranked: tuple[Endpoint, ...] = ()
    penalties_ms: Mapping[EndpointId, float] = field(default_factory=dict)
    """What each endpoint costs as it is meant for other kinds of requests."""
    near_domain_id: FailureDomainId | None = None
    """Failure domain whose endpoints go first, as the others are farther than it saves."""

    def preferred_ids(self, usable_ids: Container[EndpointId]) -> list[EndpointId]:
        """Return which usable endpoints probably have the parts cached, likeliest first."""
        usable = [item for item in self.ranked if item.endpoint_id in usable_ids]
        if self.near_domain_id is not None:
            near = [item for item in usable if item.failure_domain_id == self.near_domain_id]
            usable = near or usable
        usable = [item for item in usable if not self.penalties_ms[item.endpoint_id]] or usable
        return [item.endpoint_id for item in usable[: len(CACHED_CHANCE_BY_RANK)]]

    def cached_chances(self, usable_ids: Container[EndpointId]) -> dict[EndpointId, float]:
        """Return the chance of a cached last part for the preferred ones among the usable."""
        return dict(zip(self.preferred_ids(usable_ids), CACHED_CHANCE_BY_RANK, strict=False))


def rank_for_prompt(
    service: Service,
    terms: RequestTerms,
    usable: list[TrackedEndpoint],
    penalties_ms: Mapping[EndpointId, float],
    *,
    rate: EngineRate,
    own_domain_id: FailureDomainId,
    remote_cost_ms: float,
) -> CacheRanking:
    """Return the endpoints by rendezvous rank for a shared prompt, which is the same on all VMs.

    They are ranked over all failure domains if an engine of a typical `rate` takes longer to read
    the part again than another domain costs; each domain would otherwise read it once.
    """
    if service.engine is None or not terms.shared_parts:
        return CacheRanking()
    endpoints = {
        item.endpoint.endpoint_id: item.endpoint
        for item in usable
        if item.endpoint.endpoint_id in penalties_ms
    }
    part = terms.shared_parts[-1]
    ranked = rank_by_rendezvous(part.part_id, endpoints)
    is_worth_distance = rate.prompt_ms(part.tokens) > remote_cost_ms
    return CacheRanking(
        ranked=tuple(endpoints[EndpointId(endpoint_id)] for endpoint_id in ranked),
        penalties_ms=penalties_ms,
        near_domain_id=None if is_worth_distance else own_domain_id,
    )
