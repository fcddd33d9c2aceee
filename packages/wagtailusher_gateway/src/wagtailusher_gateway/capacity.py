"""Tells whether another request fits at an endpoint: its slots, prefill queue and memory.

Answers loads at which engines have more prompts to read than time, as when a part of them is lost.
Requests wait in several queues at several VMs, so that a place which becomes free goes to whoever
asks first; the prefill queue's cap is therefore lower for less urgent requests.
"""

from __future__ import annotations

from wagtailusher_gateway.const import KV_SHARE, PREFILL_CAP_MS
from wagtailusher_gateway.contention import FreePlaces
from wagtailusher_gateway.endpoint_registry import Load
from wagtailusher_gateway.engine_rates import EngineRate
from wagtailusher_gateway.models import Configuration, Endpoint, RequestTerms, Service
from wagtailusher_gateway.routes import rank_counts

PLAIN_ENDPOINT_QUEUE = 1
"""Requests that a plain endpoint may get beyond its slots; keeps it busy between two requests."""

URGENT_CAP_STEP = 0.5
"""By which part of the cap a service's prefill queue may be longer for requests of a more urgent
rank; engines read their prompts first."""

MAX_CAP_STEPS = 2
"""Most such steps."""


class PrefillCaps:
    """The caps of services' prefill queues by the rank of a request."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._rank_counts: dict[str, int] = {}

    def update(self, configuration: Configuration | None) -> None:
        """Learn the ranks that requests for each service may have."""
        if configuration is not None and configuration is not self._configuration:
            self._configuration = configuration
            self._rank_counts = rank_counts(configuration)

    def cap_tokens(self, service: str, rank: int, rate: EngineRate) -> float:
        """Return the queued prompt tokens from which a request gets no place at an engine."""
        less_urgent_ranks = max(0, self._rank_counts.get(service, 0) - 1 - rank)
        factor = 1.0 + URGENT_CAP_STEP * min(MAX_CAP_STEPS, less_urgent_ranks)
        return factor * PREFILL_CAP_MS * rate.prompt_tokens_per_ms


def memory_tokens(terms: RequestTerms) -> int:
    """Return the unshared tokens that a request holds in an engine's memory."""
    return terms.own_prompt_tokens + terms.max_output_tokens


def has_capacity(
    endpoint: Endpoint, service: Service, terms: RequestTerms, load: Load, cap_tokens: float
) -> bool:
    """Return whether one more request fits into an endpoint's slots, prefill queue and memory."""
    engine = service.engine
    if engine is None:
        return load.requests < endpoint.slots + PLAIN_ENDPOINT_QUEUE
    if load.requests >= endpoint.slots:
        return False
    if load.requests and load.prefill_tokens > cap_tokens:
        return False
    used_tokens = load.memory_tokens + memory_tokens(terms)
    return not load.requests or used_tokens <= engine.memory_tokens * KV_SHARE


def count_free_places(
    endpoint: Endpoint, terms: RequestTerms, load: Load, cap_tokens: float
) -> FreePlaces:
    """Return how many requests like this one fit into an engine's slots and prefill queue."""
    free_slots = endpoint.slots - load.requests
    room_tokens = max(0.0, cap_tokens - load.prefill_tokens)
    by_prefill = 1 + int(room_tokens / max(1, terms.prompt_tokens))
    return FreePlaces(
        count=max(1, min(free_slots, by_prefill)),
        share=min(free_slots / endpoint.slots, room_tokens / cap_tokens),
    )
