"""Turns the times of one answer's events into observations of its engine's rates."""

from __future__ import annotations

from collections.abc import Callable

from wagtailusher_gateway.engine_rates import EngineRates, FirstEvent
from wagtailusher_gateway.reservation import Reservation

BUSY_QUEUE_TOKENS = 4_000
"""Prompt tokens queued at an engine from which it has one to read in every step."""


class AnswerTiming:
    """Observes one attempt; does nothing at endpoints that read no prompts."""

    __slots__ = (
        "_event_count",
        "_event_ms",
        "_queued_tokens",
        "_rates",
        "_reservation",
        "_running",
        "_was_busy",
        "_was_quiet",
    )

    def __init__(
        self,
        rates: EngineRates,
        reservation: Reservation,
        queued_tokens: Callable[[int], int],
        running: Callable[[int], int] = lambda now_ms: 0,
    ) -> None:
        """`queued_tokens` and `running` return what is believed of the endpoint's load.

        These are the prompt tokens that are queued there, and all its requests.
        """
        self._rates = rates
        self._reservation = reservation
        self._queued_tokens = queued_tokens
        self._running = running
        self._event_ms: int | None = None
        self._event_count = 0
        self._was_quiet = False
        self._was_busy = False

    @property
    def _is_observed(self) -> bool:
        """Return whether the endpoint is an engine that is not in cold start."""
        return self._reservation.prefill_tokens > 0 and not self._reservation.is_cold

    def record_events(self, count: int, sent_ms: int, now_ms: int) -> None:
        """Record that events arrived together."""
        if not self._is_observed:
            return
        endpoint = self._reservation.endpoint
        service, endpoint_id = endpoint.service, endpoint.endpoint_id
        queued_tokens = self._queued_tokens(now_ms)
        is_quiet, is_busy = queued_tokens <= 0, queued_tokens >= BUSY_QUEUE_TOKENS
        if self._event_ms is None:
            event = self._first_event(now_ms - sent_ms)
            self._rates.record_first_event(service, endpoint_id, event, now_ms)
        elif (is_quiet and self._was_quiet) or (is_busy and self._was_busy):
            gap_ms = (now_ms - self._event_ms) / count
            self._rates.record_gap(
                service,
                endpoint_id,
                gap_ms,
                now_ms,
                is_busy=is_busy,
                running=self._running(now_ms),
            )
        self._event_ms, self._was_quiet, self._was_busy = now_ms, is_quiet, is_busy
        self._event_count += count

    def record_complete(self, now_ms: int) -> None:
        """Record that the answer is complete."""
        if self._is_observed and self._event_count:
            service = self._reservation.endpoint.service
            tokens = self._reservation.output_tokens
            self._rates.record_output(service, tokens, self._event_count, now_ms)

    def _first_event(self, elapsed_ms: int) -> FirstEvent:
        return FirstEvent(
            elapsed_ms=elapsed_ms,
            own_tokens=self._reservation.prefill_tokens,
            queued_tokens=self._reservation.waiting_tokens,
            doubt=self._reservation.cache_doubt,
        )
