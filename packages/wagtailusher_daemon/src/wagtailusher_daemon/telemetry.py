"""Records metrics, spans, the request log and usage statistics of each request."""

from __future__ import annotations

from opentelemetry.trace import Span

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.request_log import AttemptRecord, RequestLog, RequestRecord
from wagtailusher_daemon.tracing import Tracing, trace_id_of, traceparent_of
from wagtailusher_daemon.usage import UsageStats
from wagtailusher_http import Headers
from wagtailusher_placement import AttemptResult
from wagtailusher_router import ClassifiedRequest, Dispatch, Forward


class TelemetryFactory:
    """Creates the telemetry of each request."""

    def __init__(
        self, metrics: EntryMetrics, request_log: RequestLog, usage: UsageStats, tracing: Tracing
    ) -> None:
        self.metrics = metrics
        self.request_log = request_log
        self.usage = usage
        self.tracing = tracing

    def begin(self, arrival: ClassifiedRequest, headers: Headers) -> RequestTelemetry:
        """Start the telemetry of a request, as part of the trace named in its headers if any."""
        return RequestTelemetry(self, arrival, self.tracing.begin(headers, "caller"))


class RequestTelemetry:
    """Records the events of one request."""

    def __init__(
        self, telemetry_factory: TelemetryFactory, arrival: ClassifiedRequest, span: Span
    ) -> None:
        """Start the spans and add a record to the request log."""
        self._metrics = telemetry_factory.metrics
        self._request_log = telemetry_factory.request_log
        self._usage = telemetry_factory.usage
        self._tracing = telemetry_factory.tracing
        self._span = span
        self._queue_span = telemetry_factory.tracing.start_child_span(span, "queue")
        self._upstream_span: Span | None = None
        self.record = RequestRecord(
            trace_id=trace_id_of(span), arrival=arrival, arrived_ms=monotonic_ms()
        )
        self._request_log.add(self.record)
        self._set_attributes()

    def _set_attributes(self) -> None:
        policy = self.record.arrival.policy
        self._span.set_attribute("wagtailusher.request_id", self.record.arrival.request_id)
        self._span.set_attribute("wagtailusher.workspace", policy.key.workspace_id)
        self._span.set_attribute("wagtailusher.class", policy.key.class_id)
        self._span.set_attribute("wagtailusher.tier", policy.tier)

    def record_dispatch(self, dispatch: Dispatch) -> str:
        """Record a dispatch and return the `traceparent` header for the endpoint."""
        self._end_queue_span()
        if self._span.is_recording():
            decision = self._tracing.start_child_span(self._span, "decision")
            scores = [f"{item.endpoint_id}={item.score:.1f}" for item in dispatch.choice.candidates]
            decision.set_attribute("wagtailusher.candidates", scores)
            decision.end()
        self._upstream_span = self._tracing.start_child_span(self._span, "endpoint")
        self._upstream_span.set_attribute("wagtailusher.endpoint", dispatch.endpoint_id)
        self.record.state = "running"
        self.record.attempts.append(
            AttemptRecord(
                endpoint_id=dispatch.endpoint_id,
                started_after_ms=self.age_ms,
                candidates=dispatch.choice.candidates,
            )
        )
        self._usage.record_start(dispatch.endpoint_id, self.record.arrival, monotonic_ms())
        return traceparent_of(self._upstream_span)

    def record_first_token(self) -> None:
        """Record the time of the answer's first token."""
        if self.record.first_token_ms is None:
            self.record.first_token_ms = self.age_ms

    def record_progress(self, events: int) -> None:
        """Add a number of relayed events."""
        self.record.events += events

    def record_attempt_failure(self, end: AttemptResult) -> None:
        """Record an attempt that ended without a complete answer."""
        self._metrics.unsuccessful_attempts.inc({"end": str(end)})
        self._end_attempt(str(end), wasted=True)

    def record_completion(self) -> None:
        """Record a complete answer."""
        self._end_attempt(str(AttemptResult.COMPLETED), wasted=False)
        record = self.record
        record.outcome = Outcome.COMPLETED
        self._finish("completed")
        met = bool(record.target_met)
        policy = record.arrival.policy
        self._usage.record_request_end(record.arrival, met=met)
        self._metrics.count_answer(policy.tier, record.first_token_ms or 0, met=met)

    def record_refusal(self, code: ErrorCode, outcome: Outcome) -> None:
        """Record a refusal."""
        self.record.code = code
        self.record.outcome = outcome
        self._request_log.add_refusal(self.record, code, outcome, monotonic_ms())
        self._usage.record_request_end(self.record.arrival, met=False)
        self._metrics.count_refusal(code, outcome)
        self._finish("refused")

    def record_forward(self, forward: Forward) -> None:
        """Record that the request was forwarded to another VM."""
        self.record.forwarded_to = forward.vm_id
        self._metrics.forwards.inc({"reason": str(forward.reason)})
        self._finish("forwarded")

    def record_caller_disconnect(self) -> None:
        """Record that the caller disconnected, unless the request has already ended."""
        if self.record.total_ms is not None:
            return
        self._end_attempt(str(AttemptResult.CANCELLED), wasted=True)
        self.record.code = ErrorCode.CALLER_LEFT
        self._finish("left")

    def _end_attempt(self, end: str, *, wasted: bool) -> None:
        """Record the end of the attempt in progress, if any."""
        if not self.record.attempts or self.record.attempts[-1].end is not None:
            return
        attempt = self.record.attempts[-1]
        attempt.end = end
        self._usage.record_end(
            attempt.endpoint_id,
            self.record.arrival,
            events=self.record.events,
            wasted=wasted,
            now_ms=monotonic_ms(),
        )
        if self._upstream_span is not None:
            self._upstream_span.set_attribute("wagtailusher.end", end)
            self._upstream_span.end()

    def _finish(self, state: str) -> None:
        """Complete the record and end the request's span."""
        self.record.state = state
        self.record.total_ms = self.age_ms
        self._span.set_attribute("wagtailusher.outcome", str(self.record.outcome))
        if self.record.code is not None:
            self._span.set_attribute("wagtailusher.code", str(self.record.code))
        self._end_queue_span()
        self._span.end()

    def _end_queue_span(self) -> None:
        """End the queue span unless it has ended."""
        if self._queue_span.is_recording():
            self._queue_span.end()

    @property
    def age_ms(self) -> int:
        """Return the time in ms since the request arrived at this VM."""
        return monotonic_ms() - self.record.arrived_ms
