"""Rates at which engines read prompts and produce tokens, as every decision uses them."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId

INITIAL_PROMPT_TOKENS_PER_MS = 45.0
"""Prompt tokens per ms of an engine of which nothing is known; half of a fast engine's rate, so that
the first requests after a start don't queue beyond their targets at a slow one."""

INITIAL_STEP_MS = 5.0
"""Time of a decoding step of an engine of which nothing is known."""

INITIAL_STEP_MS_PER_REQUEST = 0.05
"""Time that each running request adds to such a step."""

INITIAL_FIRST_EVENT_MS = 20.0
"""Time between the end of reading a prompt and the first event, of an unknown engine."""

INITIAL_QUIET_GAP_MS = 40.0
"""Time between two events of a stream at an unknown engine that reads no prompts."""

INITIAL_BUSY_GAP_MS = 500.0
"""The same while it reads prompts all the time: some chunks of a prompt between two events."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRate:
    """How fast one engine works, as far as it was observed."""

    prompt_tokens_per_ms: float = INITIAL_PROMPT_TOKENS_PER_MS
    step_ms: float = INITIAL_STEP_MS
    """Time of a decoding step without load."""
    step_ms_per_request: float = INITIAL_STEP_MS_PER_REQUEST
    first_event_ms: float = INITIAL_FIRST_EVENT_MS
    """Fixed part of the time to the first event."""
    quiet_gap_ms: float = INITIAL_QUIET_GAP_MS
    """Time between two events of a stream while the engine reads no prompts."""
    busy_gap_ms: float = INITIAL_BUSY_GAP_MS
    """The same while it reads prompts all the time."""

    def prompt_ms(self, tokens: float) -> float:
        """Return the time in ms in which the engine reads prompt tokens."""
        return tokens / self.prompt_tokens_per_ms

    def token_step_ms(self, running: int) -> float:
        """Return the time in ms between two tokens of a request among `running` ones."""
        return self.step_ms + self.step_ms_per_request * running


class EngineRates:
    """The rates of all engines that this VM knows."""

    def rate(self, service: str, endpoint_id: EndpointId, now_ms: int) -> EngineRate:
        """Return an engine's rate, its service's if it was not observed."""
        return EngineRate()

    def service_rate(self, service: str, now_ms: int) -> EngineRate:
        """Return the rate of a typical engine of a service."""
        return EngineRate()
