"""How long the load of endpoints is expected to delay a request."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_gateway.const import RUNNING_COST_MS
from wagtailusher_gateway.endpoint_registry import Load
from wagtailusher_gateway.engine_rates import EngineRate
from wagtailusher_gateway.models import Endpoint, Service

REPREFILL_WEIGHT_MAX = 6.0
"""Largest weight of prefilling a shared part again; at a busy endpoint this delays all queued
requests."""

REPREFILL_WAIT_MS = 40.0
"""Mean wait for prefill that adds 1 to that weight; about the prefill time of one shared part."""

DECODE_COST_SHARE = 0.5
"""Weight of a delay behind the first event, for which callers wait longest."""

PLAIN_REQUEST_COST_MS = 60.0
"""Delay at a plain endpoint whose slots are all in use; a few service times."""


def reprefill_weight(loads: Iterable[Load], rate: EngineRate) -> float:
    """Return the weight of prefilling a shared part again; it grows with the queued prefill.

    `rate` is that of a typical engine.
    """
    queued_tokens = [load.prefill_tokens for load in loads]
    mean_wait_ms = rate.prompt_ms(sum(queued_tokens) / len(queued_tokens))
    return min(REPREFILL_WEIGHT_MAX, 1.0 + mean_wait_ms / REPREFILL_WAIT_MS)


def delay_ms(
    service: Service, endpoint: Endpoint, load: Load, rate: EngineRate, output_tokens: int = 0
) -> float:
    """Return by how many ms the load of an endpoint is expected to delay a new request.

    Each running request at an engine lengthens every step in which it produces its tokens.
    """
    if service.engine is None:
        return PLAIN_REQUEST_COST_MS * load.requests / max(1, endpoint.slots)
    output_ms = DECODE_COST_SHARE * rate.step_ms_per_request * output_tokens
    return rate.prompt_ms(load.prefill_tokens) + max(RUNNING_COST_MS, output_ms) * load.requests
