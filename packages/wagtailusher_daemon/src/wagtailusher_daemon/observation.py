"""Metrics, spans, journal and books of one request, told by its task."""

from __future__ import annotations

from opentelemetry.trace import Span

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_daemon.books import Books
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.journal import AttemptRecord, Journal, RequestRecord
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.tracing import Tracing, trace_id_of, traceparent_of
from wagtailusher_http import Headers
from wagtailusher_placement import AttemptResult
from wagtailusher_router import ClassifiedRequest, Dispatch, Forward


class Observer:
    """Opens the observation of each request."""

    def __init__(
        self, metrics: EntryMetrics, journal: Journal, books: Books, tracing: Tracing
    ) -> None:
        """Tell what happens to all four."""
        self.metrics = metrics
        self.journal = journal
        self.books = books
        self.tracing = tracing

    def begin(self, arrival: ClassifiedRequest, headers: Headers) -> Observation:
        """Open the observation of an arrival."""
        return Observation(self, arrival, self.tracing.begin(headers, "caller"))


class Observation:
    """What is known of one request."""

    def __init__(self, observer: Observer, arrival: ClassifiedRequest, span: Span) -> None:
        """Note the arrival."""
        self._metrics = observer.metrics
        self._journal = observer.journal
        self._books = observer.books
        self._tracing = observer.tracing
        self._span = span
        self._queue_span = observer.tracing.child(span, "queue")
        self._hop_span: Span | None = None
        self.record = RequestRecord(
            trace_id=trace_id_of(span), arrival=arrival, arrived_ms=monotonic_ms()
        )
        self._journal.add(self.record)
        self._set_attributes()

    def _set_attributes(self) -> None:
        """Name the request on its span."""
        policy = self.record.arrival.policy
        self._span.set_attribute("wagtailusher.request_id", self.record.arrival.request_id)
        self._span.set_attribute("wagtailusher.workspace", policy.key.workspace_id)
        self._span.set_attribute("wagtailusher.class", policy.key.class_id)
        self._span.set_attribute("wagtailusher.tier", policy.tier)

    def dispatched(self, dispatch: Dispatch) -> str:
        """Note a decision and return the trace context for the endpoint's hop."""
        self._end_queue_span()
        if self._span.is_recording():
            decision = self._tracing.child(self._span, "decision")
            scores = [f"{item.endpoint_id}={item.score:.1f}" for item in dispatch.choice.candidates]
            decision.set_attribute("wagtailusher.candidates", scores)
            decision.end()
        self._hop_span = self._tracing.child(self._span, "endpoint")
        self._hop_span.set_attribute("wagtailusher.endpoint", dispatch.endpoint_id)
        self.record.state = "running"
        self.record.attempts.append(
            AttemptRecord(
                endpoint_id=dispatch.endpoint_id,
                started_after_ms=self.age_ms,
                candidates=dispatch.choice.candidates,
            )
        )
        self._books.started(dispatch.endpoint_id, self.record.arrival, monotonic_ms())
        return traceparent_of(self._hop_span)

    def record_first_token(self) -> None:
        """Note the beginning of the answer."""
        if self.record.first_token_ms is None:
            self.record.first_token_ms = self.age_ms

    def record_progress(self, events: int) -> None:
        """Note relayed events."""
        self.record.events += events

    def attempt_failed(self, end: AttemptResult) -> None:
        """Note the end of an attempt without a whole answer."""
        self._metrics.retries.inc({"end": str(end)})
        self._end_attempt(str(end), wasted=True)

    def completed(self) -> None:
        """Note a whole answer."""
        self._end_attempt(str(AttemptResult.COMPLETED), wasted=False)
        record = self.record
        record.outcome = Outcome.COMPLETED
        self._finish("completed")
        met = bool(record.target_met)
        policy = record.arrival.policy
        self._books.finished(record.arrival, met=met)
        self._metrics.count_answer(policy.tier, record.first_token_ms or 0, met=met)

    def refused(self, code: ErrorCode, outcome: Outcome) -> None:
        """Note an end without an answer."""
        self.record.code = code
        self.record.outcome = outcome
        self._journal.refuse(self.record, code, outcome, monotonic_ms())
        self._books.finished(self.record.arrival, met=False)
        self._metrics.count_refusal(code, outcome)
        self._finish("refused")

    def forwarded(self, forward: Forward) -> None:
        """Note that another VM took the request over."""
        self.record.forwarded_to = forward.vm_id
        self._metrics.forwards.inc({"reason": str(forward.reason)})
        self._finish("forwarded")

    def caller_left(self) -> None:
        """Note that nobody waits any more."""
        if self.record.total_ms is not None:
            return
        self._end_attempt(str(AttemptResult.CANCELLED), wasted=True)
        self.record.code = ErrorCode.CALLER_LEFT
        self._finish("left")

    def _end_attempt(self, end: str, *, wasted: bool) -> None:
        """Close the attempt in progress."""
        if not self.record.attempts or self.record.attempts[-1].end is not None:
            return
        attempt = self.record.attempts[-1]
        attempt.end = end
        self._books.ended(
            attempt.endpoint_id,
            self.record.arrival,
            events=self.record.events,
            wasted=wasted,
            now_ms=monotonic_ms(),
        )
        if self._hop_span is not None:
            self._hop_span.set_attribute("wagtailusher.end", end)
            self._hop_span.end()

    def _finish(self, state: str) -> None:
        """Close the record and the caller's span."""
        self.record.state = state
        self.record.total_ms = self.age_ms
        self._span.set_attribute("wagtailusher.outcome", str(self.record.outcome))
        if self.record.code is not None:
            self._span.set_attribute("wagtailusher.code", str(self.record.code))
        self._end_queue_span()
        self._span.end()

    def _end_queue_span(self) -> None:
        """Close the span of the wait, once."""
        if self._queue_span.is_recording():
            self._queue_span.end()

    @property
    def age_ms(self) -> int:
        """Return the time since the arrival at this VM."""
        return monotonic_ms() - self.record.arrived_ms
