"""Record of one request, for its log line and the metrics."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import logging

from wagtailusher_core import VmId
from wagtailusher_gateway.delivery import DeliveryState
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import FleetView, RequestTerms, Route, Workspace
from wagtailusher_gateway.quarantine_exchange import Refusal
from wagtailusher_gateway.reservation import Reservation
from wagtailusher_gateway.stream_version_exchange import KnownVersion

_LOGGER = logging.getLogger(__name__)


class RequestRecord:
    """Collects what was decided on one request, on which inputs, and how it ended."""

    def __init__(
        self,
        terms: RequestTerms,
        view: FleetView,
        metrics: GatewayMetrics,
        clock_ms: Callable[[], int],
    ) -> None:
        self._terms = terms
        self._view = view
        self._metrics = metrics
        self._clock_ms = clock_ms
        self._arrived_ms = clock_ms()
        self._route: Route | None = None
        self._service = ""
        self._workspace: Workspace | None = None
        self._rank: int | None = None
        self._known_version: KnownVersion | None = None
        self._reservation: Reservation | None = None
        self._sends = 0
        self._reserved_ms = self._arrived_ms
        self._first_ms: int | None = None
        self._status = 0
        self._break_reason: str | None = None
        self._is_complete = False
        self._longest_gap_ms = 0
        self._answer_fields: dict[str, int | bool] = {}
        self._quarantine: Refusal | None = None
        self._forward_fields: dict[str, str] = {}

    def record_quarantine(self, refusal: Refusal) -> None:
        """Record what the request is accused of, from which crashes, and who told them."""
        self._quarantine = refusal

    def record_route(
        self, route: Route, service: str, workspace: Workspace | None, rank: int
    ) -> None:
        """Record the route, the service, the workspace and the rank."""
        self._route = route
        self._service = service
        self._workspace = workspace
        self._rank = rank

    def record_stream_version(self, known: KnownVersion) -> None:
        """Record at which version a resumed stream began, and who told it."""
        self._known_version = known

    def record_forwarded_to(self, vm_id: VmId) -> None:
        """Record the VM that took the request."""
        self._forward_fields = {"forwarded_to": vm_id}

    def record_forwarded_by(self, vm_id: VmId) -> None:
        """Record the VM that handed the request on to this one."""
        self._forward_fields = {"forwarded_by": vm_id}

    def record_reservation(self, reservation: Reservation, now_ms: int) -> None:
        """Record the endpoint reserved for the next send."""
        self._reservation = reservation
        self._sends += 1
        self._reserved_ms = now_ms
        self._answer_fields = {}

    def record_attempt_failure(
        self,
        reservation: Reservation,
        reason: str,
        state: DeliveryState,
        answer_fields: Mapping[str, int | bool],
    ) -> None:
        """Log and count an attempt without a usable answer."""
        self._metrics.attempts_failed.inc({"service": self._service})
        _LOGGER.info(
            "Request: attempt at %s failed: %s",
            reservation.endpoint.endpoint_id,
            reason,
            extra={
                "event": "attempt_failed",
                "request": self._terms.attempt_id,
                "endpoint": reservation.endpoint.endpoint_id,
                "software_version": reservation.endpoint.software_version,
                "is_cold": reservation.is_cold,
                "state": str(state),
                **answer_fields,
                **self._view_fields(),
            },
        )

    def record_answer_fields(self, answer_fields: Mapping[str, int | bool]) -> None:
        """Record which connection delivered the answer, and what delimits its body."""
        self._answer_fields = dict(answer_fields)

    def record_answer(self, status: int) -> None:
        """Record the complete answer of an endpoint and log the request."""
        self._status = status
        self._first_ms = self._clock_ms()
        self._log_end("answered" if status < 400 else "endpoint_error")

    def record_first_event(self, status: int, now_ms: int) -> None:
        """Record the first event of a stream."""
        self._status = status
        self._first_ms = now_ms
        reservation = self._reservation
        if reservation is not None and reservation.prefill_tokens:
            seen_ms = now_ms - self._reserved_ms
            self._metrics.count_first_event(self._service, reservation.expected_first_ms, seen_ms)

    def record_stream_complete(self, longest_gap_ms: int) -> None:
        """Record that a stream was complete, with its longest gap between events in ms."""
        self._is_complete = True
        self._longest_gap_ms = longest_gap_ms

    def record_stream_broken(self, reason: str) -> None:
        """Record why a stream was aborted."""
        self._break_reason = reason

    def record_stream_end(self, event_count: int) -> None:
        """Log the request after the end of its stream."""
        if self._is_complete:
            outcome = "answered"
        else:
            outcome = "broken" if self._break_reason is not None else "caller_left"
        self._log_end(outcome, events=event_count, reason=self._break_reason)

    def record_refusal(self, refusal: RefusedError) -> None:
        """Log and count a refusal by the gateway."""
        self._status = refusal.status
        self._metrics.refusals.inc({"code": str(refusal.code), "outcome": str(refusal.outcome)})
        self._log_end(
            "refused",
            code=str(refusal.code),
            ran=str(refusal.outcome),
            reason=refusal.message,
            retry_after_ms=refusal.retry_after_ms,
        )

    def record_caller_left(self) -> None:
        """Log that the caller disconnected before an answer."""
        self._log_end("caller_left")

    def _reservation_fields(self) -> dict[str, str | int | bool]:
        """Return the log fields of the last reservation and the inputs of its choice."""
        reservation = self._reservation
        if reservation is None:
            return {}
        return {
            "endpoint": reservation.endpoint.endpoint_id,
            "software_version": reservation.endpoint.software_version,
            "is_cold": reservation.is_cold,
            "cost_ms": round(reservation.cost_ms),
            "prompt_tokens": reservation.prefill_tokens,
            "waiting_tokens": reservation.waiting_tokens,
            "running": reservation.running,
            "own_running": reservation.own_running,
            "load_age_ms": reservation.load_age_ms,
            "expected_first_ms": round(reservation.expected_first_ms),
        }

    def _version_fields(self) -> dict[str, str | int]:
        """Return the log fields of the version at which a resumed stream began."""
        known = self._known_version
        if known is None:
            return {}
        return {
            "required_version": known.software_version,
            "version_told_by": known.told_by,
            "version_age_ms": known.age_ms,
        }

    def _quarantine_fields(self) -> dict[str, object]:
        """Return the log fields that tell what a request is accused of, and by whom."""
        refusal = self._quarantine
        if refusal is None:
            return {}
        return {
            "quarantined": refusal.fingerprint,
            "quarantine_crashed": refusal.endpoint_ids,
            "quarantine_told_by": refusal.told_by,
            "quarantine_crash_age_ms": refusal.age_ms,
        }

    def _view_fields(self) -> dict[str, int | None]:
        """Return the log fields for the version and age of the view used for decisions."""
        configuration = self._view.configuration
        return {
            "config_version": configuration.version if configuration is not None else None,
            "view_revision": self._view.revision,
            "view_age_ms": self._arrived_ms - self._view.confirmed_ms,
        }

    @property
    def _is_late(self) -> bool:
        """Return whether the first answer or a gap between events exceeded the route's target."""
        route = self._route
        if route is None or self._first_ms is None:
            return False
        if route.target_ms and self._first_ms - self._arrived_ms > route.target_ms:
            return True
        return bool(route.pause_target_ms) and self._longest_gap_ms > route.pause_target_ms

    def _log_end(self, outcome: str, **details: object) -> None:
        """Log the request's final line."""
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
                "workspace": self._workspace.workspace_id if self._workspace else None,
                "rank": self._rank,
                "resumes": self._terms.resumes_id,
                **self._version_fields(),
                **self._quarantine_fields(),
                **self._reservation_fields(),
                **self._answer_fields,
                **self._forward_fields,
                "status": self._status,
                "sends": self._sends,
                "wait_ms": self._reserved_ms - self._arrived_ms,
                "first_ms": self._first_ms - self._arrived_ms if self._first_ms else None,
                "total_ms": now_ms - self._arrived_ms,
                "pause_ms": self._longest_gap_ms,
                **self._view_fields(),
                **{name: value for name, value in details.items() if value is not None},
            },
        )
