"""Splits a service's engines between prompt-heavy and output-heavy requests.

An engine prefills prompts in chunks between the decoding steps of its running requests, so that
each long prompt lengthens the gaps between tokens of every stream there. The engines of a service
are split between both kinds of requests in proportion to the demand that each VM sees.
"""

from __future__ import annotations

from collections.abc import Sequence
import math

from wagtailusher_core import EndpointId, rank_by_rendezvous
from wagtailusher_gateway.engine_rates import EngineRate
from wagtailusher_gateway.models import RequestTerms

LONG_PROMPT_TOKENS = 2_500
"""Tokens from which a prompt counts as long; more than one prefill chunk of an engine."""

MIN_PROMPT_OUTPUT_RATIO = 10
"""Prompt tokens per output token from which a request is prompt-heavy."""

PROMPT_HEADROOM = 2.5
"""Factor on the work of long prompts, which queue up well before their engines are full."""

SHARED_PREFILL_SHARE = 0.4
"""Share of the shared prompt tokens that is assumed to be prefilled again in demand estimates."""

DEMAND_MEMORY_MS = 4_000.0
"""Decay time constant of the demand estimate; about as long as a burst."""

INITIAL_WORK_MS = 200.0
"""Work of each kind that the estimate starts from and decays to; a few requests."""

PARTITION_COST_MS = 120.0
"""Least cost penalty for other requests at engines for long prompts; the delay from which it is
better to use them anyway."""

_ORDER_KEY = "lanes"


def is_prompt_heavy(terms: RequestTerms) -> bool:
    """Return whether a request consists mostly of prefill."""
    if terms.prompt_tokens < LONG_PROMPT_TOKENS:
        return False
    return terms.prompt_tokens >= MIN_PROMPT_OUTPUT_RATIO * terms.max_output_tokens


def estimate_work_ms(terms: RequestTerms, batch_requests: int, rate: EngineRate) -> float:
    """Return the engine time, in ms, that a request takes when the engine's batch is full."""
    shared = sum(part.tokens for part in terms.shared_parts)
    prefill_tokens = terms.own_prompt_tokens + SHARED_PREFILL_SHARE * shared
    token_ms = rate.step_ms / max(1, batch_requests) + rate.step_ms_per_request
    return rate.prompt_ms(prefill_tokens) + terms.max_output_tokens * token_ms


class EnginePartition:
    """One VM's estimate of a service's demand of each kind, which sets the partition."""

    def __init__(self) -> None:
        self._prompt_ms = INITIAL_WORK_MS
        self._output_ms = INITIAL_WORK_MS
        self._updated_ms = 0
        self._engine_ids: tuple[EndpointId, ...] = ()
        self._ordered: list[EndpointId] = []

    def record_demand(
        self, terms: RequestTerms, batch_requests: int, rate: EngineRate, now_ms: int
    ) -> None:
        """Add a request's work, at the rate of a typical engine, to the decayed estimate."""
        decay = math.exp(-max(0, now_ms - self._updated_ms) / DEMAND_MEMORY_MS)
        self._updated_ms = now_ms
        self._prompt_ms = INITIAL_WORK_MS + (self._prompt_ms - INITIAL_WORK_MS) * decay
        self._output_ms = INITIAL_WORK_MS + (self._output_ms - INITIAL_WORK_MS) * decay
        work_ms = estimate_work_ms(terms, batch_requests, rate)
        if is_prompt_heavy(terms):
            self._prompt_ms += PROMPT_HEADROOM * work_ms
        else:
            self._output_ms += work_ms

    def reading_cost_ms(
        self, terms: RequestTerms, rate: EngineRate, vm_count: int, engine_count: int, now_ms: int
    ) -> float:
        """Return by how many ms engines for long prompts lengthen another request's answer.

        They read prompts for a part of the time that follows from the demand of all VMs, and
        between two events of its answer if another one comes before the last was read.
        """
        decay = math.exp(-max(0, now_ms - self._updated_ms) / DEMAND_MEMORY_MS)
        own_ms = (self._prompt_ms - INITIAL_WORK_MS) * decay / PROMPT_HEADROOM
        engines = max(1.0, self.boundary(engine_count))
        reading_share = min(1.0, own_ms * max(1, vm_count) / (DEMAND_MEMORY_MS * engines))
        longer_ms = max(0.0, rate.busy_gap_ms - rate.quiet_gap_ms)
        cost_ms = reading_share**2 * longer_ms * rate.event_count(terms.max_output_tokens)
        return max(PARTITION_COST_MS, cost_ms)

    def boundary(self, engine_count: int) -> float:
        """Return the number of engines for long prompts; each kind has at least one.

        The number may be fractional; a single engine is shared by both kinds.
        """
        if engine_count < 2:
            return engine_count / 2
        share = self._prompt_ms / (self._prompt_ms + self._output_ms)
        return min(engine_count - 1.0, max(1.0, share * engine_count))

    def penalties_ms(
        self,
        terms: RequestTerms,
        engine_ids: Sequence[EndpointId],
        limited_ids: frozenset[EndpointId] = frozenset(),
        reading_cost_ms: float = PARTITION_COST_MS,
    ) -> dict[EndpointId, float]:
        """Return the engines that a request may use, with the cost penalty of each in ms.

        Engines that name a limit are in neither part while there are others: each may take any
        request that its limit allows.
        """
        free_ids = [engine_id for engine_id in engine_ids if engine_id not in limited_ids]
        if not free_ids:
            return self._part_penalties_ms(terms, engine_ids, reading_cost_ms)
        outside = dict.fromkeys(limited_ids.intersection(engine_ids), 0.0)
        return self._part_penalties_ms(terms, free_ids, reading_cost_ms) | outside

    def _part_penalties_ms(
        self, terms: RequestTerms, engine_ids: Sequence[EndpointId], reading_cost_ms: float
    ) -> dict[EndpointId, float]:
        """Return the penalties by the partition of engines.

        All VMs order the engines alike. Long prompts stay in their partition, because a single one
        delays every stream on its engine. Other requests may use those engines at a penalty, which
        grows gradually near the boundary, where the estimates of the VMs differ.
        """
        ordered = self._order(tuple(engine_ids))
        boundary = self.boundary(len(ordered))
        if is_prompt_heavy(terms):
            return {engine_id: 0.0 for index, engine_id in enumerate(ordered) if index < boundary}
        return {
            engine_id: reading_cost_ms * min(1.0, max(0.0, boundary - index))
            for index, engine_id in enumerate(ordered)
        }

    def _order(self, engine_ids: tuple[EndpointId, ...]) -> list[EndpointId]:
        """Return the engines in rendezvous order, which is the same on all VMs."""
        if engine_ids != self._engine_ids:
            self._engine_ids = engine_ids
            ordered = rank_by_rendezvous(_ORDER_KEY, engine_ids)
            self._ordered = [EndpointId(engine_id) for engine_id in ordered]
        return self._ordered
