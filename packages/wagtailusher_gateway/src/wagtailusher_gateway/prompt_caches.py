"""Which endpoints hold the shared parts of a prompt, as far as all VMs compute it alike."""

from __future__ import annotations

from wagtailusher_core import EndpointId, rank_by_rendezvous
from wagtailusher_gateway.endpoint_registry import TrackedEndpoint
from wagtailusher_gateway.models import Endpoint, RequestTerms, Service


def cache_doubt(terms: RequestTerms, uncached_tokens: int) -> float:
    """Return how uncertain it is that the shared parts are cached: 1 for an even chance."""
    shared_tokens = terms.prompt_tokens - terms.own_prompt_tokens
    if shared_tokens <= 0:
        return 0.0
    missing_share = (uncached_tokens - terms.own_prompt_tokens) / shared_tokens
    return 1.0 - abs(1.0 - 2.0 * min(1.0, max(0.0, missing_share)))


def rank_for_prompt(
    service: Service,
    terms: RequestTerms,
    usable: list[TrackedEndpoint],
    penalties: dict[EndpointId, float],
) -> list[Endpoint]:
    """Return the endpoints by rendezvous rank for a shared prompt, which is the same on all VMs."""
    if service.engine is None or not terms.shared_parts:
        return []
    endpoints = {
        item.endpoint.endpoint_id: item.endpoint
        for item in usable
        if item.endpoint.endpoint_id in penalties
    }
    ranked = rank_by_rendezvous(terms.shared_parts[-1].part_id, endpoints)
    return [endpoints[EndpointId(endpoint_id)] for endpoint_id in ranked]
