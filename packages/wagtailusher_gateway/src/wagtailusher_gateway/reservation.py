"""A slot that this VM holds at an endpoint."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_gateway.models import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """A slot that this VM reserved at an endpoint; it must be released."""

    endpoint: Endpoint
    prefill_tokens: int
    memory_tokens: int
    is_cold: bool
    cost_ms: float
    """Expected delay plus penalties, by which the endpoint was chosen."""
    waiting_tokens: int
    """Prompt tokens assumed to be queued at the endpoint when it was chosen."""
    running: int
    """Requests assumed to run at the endpoint when it was chosen."""
    own_running: int
    """Those among them that this VM sent."""
    load_age_ms: int
    """Age of the oldest peer's report that the assumed load is based on; 0 without any."""
    expected_first_ms: float = 0.0
    """Time in which an engine's first event is expected, by its observed rate."""
    output_tokens: int = 0
    """Largest number of tokens of the answer."""
    cache_doubt: float = 0.0
    """Between 0 and 1, how uncertain it is which tokens of the prompt the endpoint has cached."""
