"""What happened to one request, for its log line and the metrics."""

from __future__ import annotations

from collections.abc import Callable
import logging

from wagtailusher_gateway.delivery import DeliveryState
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import FleetView, RequestTerms, Route
from wagtailusher_gateway.placement import Placed

_LOGGER = logging.getLogger(__name__)


class RequestRecord:
    """Collects the inputs of each decision on one request."""

    def __init__(
        self,
        terms: RequestTerms,
        view: FleetView,
        metrics: GatewayMetrics,
        clock_ms: Callable[[], int],
    ) -> None:
        """Start at the request's arrival."""
        self._terms = terms
        self._view = view
        self._metrics = metrics
        self._clock_ms = clock_ms
        self._arrived_ms = clock_ms()
        self._route: Route | None = None
        self._service = ""
        self._placed: Placed | None = None
        self._sends = 0
        self._placed_ms = self._arrived_ms
        self._first_ms: int | None = None
        self._status = 0
        self._broke: str | None = None
        self._is_whole = False
        self._longest_pause_ms = 0

    def routed(self, route: Route, service: str) -> None:
        """Note the route."""
        self._route = route
        self._service = service

    def placed(self, placed: Placed, now_ms: int) -> None:
        """Note a place."""
        self._placed = placed
        self._sends += 1
        self._placed_ms = now_ms

    def attempt_failed(self, placed: Placed, reason: str, state: DeliveryState) -> None:
        """Log an attempt without a usable answer."""
        self._metrics.attempts_failed.inc({"service": self._service})
        _LOGGER.info(
            "Request: attempt at %s failed: %s",
            placed.endpoint.endpoint_id,
            reason,
            extra={
                "event": "attempt_failed",
                "request": self._terms.attempt_id,
                "endpoint": placed.endpoint.endpoint_id,
                "is_cold": placed.is_cold,
                "state": str(state),
                **self._ages(),
            },
        )

    def answered(self, status: int) -> None:
        """Note a whole answer of an endpoint."""
        self._status = status
        self._first_ms = self._clock_ms()
        self._log_end("answered" if status < 400 else "endpoint_error")

    def began(self, status: int, now_ms: int) -> None:
        """Note the first event of a stream."""
        self._status = status
        self._first_ms = now_ms

    def stream_whole(self, longest_pause_ms: int) -> None:
        """Note that a stream came to its end, and its longest pause between parts."""
        self._is_whole = True
        self._longest_pause_ms = longest_pause_ms

    def stream_broke(self, reason: str) -> None:
        """Note why a stream was broken off."""
        self._broke = reason

    def ended(self, event_count: int) -> None:
        """Log the end of a stream."""
        if self._is_whole:
            outcome = "answered"
        else:
            outcome = "broken" if self._broke is not None else "caller_left"
        self._log_end(outcome, events=event_count, reason=self._broke)

    def refused(self, refusal: RefusedError) -> None:
        """Log an answer of the gateway's own."""
        self._status = refusal.status
        self._metrics.refusals.inc({"code": str(refusal.code), "outcome": str(refusal.outcome)})
        self._log_end(
            "refused",
            code=str(refusal.code),
            ran=str(refusal.outcome),
            reason=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
        )

    def caller_left(self) -> None:
        """Log that the caller left before an answer."""
        self._log_end("caller_left")

    def _place(self) -> dict[str, str | int | bool]:
        """Return the last place and what it was chosen by."""
        placed = self._placed
        if placed is None:
            return {}
        return {
            "endpoint": placed.endpoint.endpoint_id,
            "is_cold": placed.is_cold,
            "cost_ms": round(placed.cost_ms),
            "prompt_tokens": placed.prefill_tokens,
            "waiting_tokens": placed.waiting_tokens,
            "running": placed.running,
        }

    def _ages(self) -> dict[str, int | None]:
        """Return the version and age of the view that was decided on."""
        configuration = self._view.configuration
        return {
            "config_version": configuration.version if configuration is not None else None,
            "view_revision": self._view.revision,
            "view_age_ms": self._arrived_ms - self._view.confirmed_ms,
        }

    @property
    def _is_late(self) -> bool:
        """Tell whether the answer began, or paused, beyond its route's targets."""
        route = self._route
        if route is None or self._first_ms is None:
            return False
        if route.target_ms and self._first_ms - self._arrived_ms > route.target_ms:
            return True
        return bool(route.pause_target_ms) and self._longest_pause_ms > route.pause_target_ms

    def _log_end(self, outcome: str, **details: object) -> None:
        """Log the request's one closing line."""
        now_ms = self._clock_ms()
        route = self._route.name if self._route is not None else ""
        if outcome != "caller_left":
            self._metrics.count_request(self._route, outcome, self._first_ms, self._arrived_ms)
        _LOGGER.info(
            "Request: %s",
            outcome,
            extra={
                "event": "request",
                "went_well": outcome == "answered" and not self._is_late,
                "late": self._is_late,
                "request": self._terms.attempt_id,
                "route": route,
                "service": self._service,
                **self._place(),
                "status": self._status,
                "sends": self._sends,
                "wait_ms": self._placed_ms - self._arrived_ms,
                "first_ms": self._first_ms - self._arrived_ms if self._first_ms else None,
                "total_ms": now_ms - self._arrived_ms,
                "pause_ms": self._longest_pause_ms,
                **self._ages(),
                **{name: value for name, value in details.items() if value is not None},
            },
        )
