"""Keeps long prompts and long answers on different engines; answers bursts of either.

An engine reads prompts in chunks between the tokens of its running requests, so that each long
prompt stretches the pauses of every stream there. The engines of a service are split between both
kinds of work in proportion to demand, as each VM sees it.
"""

from __future__ import annotations

from collections.abc import Sequence
import math

from wagtailusher_core import EndpointId, rank_by_rendezvous
from wagtailusher_gateway.const import PREFILL_TOKENS_PER_MS
from wagtailusher_gateway.models import RequestTerms

LONG_PROMPT_TOKENS = 2_500
"""Tokens from which a prompt counts as long; more than one chunk of an engine's reading."""

PROMPT_PER_OUTPUT = 10
"""Prompt tokens for each output token from which a request is mostly reading."""

STEP_MS = 3.9
"""Time of an engine's step without requests; from the users' sheets."""

STEP_MS_PER_REQUEST = 0.047
"""Time that each running request adds to a step; from the users' sheets."""

PROMPT_HEADROOM = 2.5
"""Factor on the work of long prompts, which come to wait well before their engines are full."""

SHARED_MISS = 0.4
"""Part of shared prompt tokens taken as read anew when demand is estimated."""

DEMAND_MEMORY_MS = 4_000.0
"""Time constant of the estimate of demand; about as long as a burst."""

PRIOR_WORK_MS = 200.0
"""Work of each kind that the estimate starts from; a few requests."""

LANE_COST_MS = 120.0
"""Handicap of the engines for long prompts; the delay at which spilling over serves better."""

_ORDER_KEY = "lanes"


def is_prompt_heavy(terms: RequestTerms) -> bool:
    """Tell whether a request is mostly reading."""
    if terms.prompt_tokens < LONG_PROMPT_TOKENS:
        return False
    return terms.prompt_tokens >= PROMPT_PER_OUTPUT * terms.max_output_tokens


def work_ms(terms: RequestTerms, batch_requests: int) -> float:
    """Return the engine time that a request takes, in ms, when the engine's batch is full."""
    shared = sum(part.tokens for part in terms.shared_parts)
    read = terms.own_prompt_tokens + SHARED_MISS * shared
    token_ms = STEP_MS / max(1, batch_requests) + STEP_MS_PER_REQUEST
    return read / PREFILL_TOKENS_PER_MS + terms.max_output_tokens * token_ms


class Lanes:
    """One VM's estimate of how much work of each kind a service gets."""

    def __init__(self) -> None:
        """Start with equal parts."""
        self._prompt_ms = PRIOR_WORK_MS
        self._answer_ms = PRIOR_WORK_MS
        self._at_ms = 0
        self._known: tuple[EndpointId, ...] = ()
        self._ordered: list[EndpointId] = []

    def note(self, terms: RequestTerms, batch_requests: int, now_ms: int) -> None:
        """Count a request."""
        keep = math.exp(-max(0, now_ms - self._at_ms) / DEMAND_MEMORY_MS)
        self._at_ms = now_ms
        self._prompt_ms = PRIOR_WORK_MS + (self._prompt_ms - PRIOR_WORK_MS) * keep
        self._answer_ms = PRIOR_WORK_MS + (self._answer_ms - PRIOR_WORK_MS) * keep
        if is_prompt_heavy(terms):
            self._prompt_ms += PROMPT_HEADROOM * work_ms(terms, batch_requests)
        else:
            self._answer_ms += work_ms(terms, batch_requests)

    def boundary(self, engine_count: int) -> float:
        """Return how many engines are for long prompts; each kind has one at least."""
        if engine_count < 2:
            return engine_count / 2
        share = self._prompt_ms / (self._prompt_ms + self._answer_ms)
        return min(engine_count - 1.0, max(1.0, share * engine_count))

    def handicaps_ms(
        self, terms: RequestTerms, engine_ids: Sequence[EndpointId]
    ) -> dict[EndpointId, float]:
        """Return the engines that a request may use, with each one's handicap in ms.

        All VMs order the engines alike. Long prompts stay on their own engines, as one of them
        makes every stream beside it late; other requests may spill over, and near the boundary,
        where the VMs' estimates differ, their handicap grows gradually.
        """
        ordered = self._order(tuple(engine_ids))
        boundary = self.boundary(len(ordered))
        if is_prompt_heavy(terms):
            return {engine_id: 0.0 for at, engine_id in enumerate(ordered) if at < boundary}
        return {
            engine_id: LANE_COST_MS * min(1.0, max(0.0, boundary - at))
            for at, engine_id in enumerate(ordered)
        }

    def _order(self, engine_ids: tuple[EndpointId, ...]) -> list[EndpointId]:
        """Return the engines in the order on which all VMs agree."""
        if engine_ids != self._known:
            self._known = engine_ids
            ordered = rank_by_rendezvous(_ORDER_KEY, engine_ids)
            self._ordered = [EndpointId(engine_id) for engine_id in ordered]
        return self._ordered
