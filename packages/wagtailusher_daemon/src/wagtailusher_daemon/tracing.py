"""Tracing of requests with W3C trace context propagation."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.trace import Span, SpanContext, TraceFlags, TraceState, format_trace_id
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from wagtailusher_core import VmId
from wagtailusher_daemon.const import HEADER_TRACE
from wagtailusher_http import Headers

_TRACE_ID_BITS = 128
_SPAN_ID_BITS = 64


class Tracing:
    """Creates spans for a sampled share of requests and for those whose caller samples them."""

    def __init__(
        self,
        vm_id: VmId,
        *,
        trace_file: str,
        otlp_address: str,
        seed: int,
        sample_share: Callable[[], float],
    ) -> None:
        """Export to a file, an OTLP collector, both or neither; an empty name means no export."""
        self._provider = TracerProvider(
            resource=Resource.create(
                {"service.name": "wagtailusher", "service.instance.id": vm_id}
            ),
            shutdown_on_exit=False,
        )
        if trace_file:
            self._provider.add_span_processor(BatchSpanProcessor(_file_exporter(trace_file)))
        if otlp_address:
            exporter = OTLPSpanExporter(endpoint=f"http://{otlp_address}/v1/traces")
            self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._exports = bool(trace_file or otlp_address)
        self._tracer = self._provider.get_tracer("wagtailusher")
        self._propagator = TraceContextTextMapPropagator()
        self._generator = Random(seed)
        self._sample_share = sample_share

    def begin(self, headers: Headers, name: str) -> Span:
        """Return the server span of a request, which records only when it is sampled."""
        traceparent = headers.get(HEADER_TRACE)
        context = self._propagator.extract({HEADER_TRACE: traceparent} if traceparent else {})
        parent = trace.get_current_span(context).get_span_context()
        if not self._exports or not self._is_sampled(parent):
            return trace.NonRecordingSpan(self._unsampled_context(parent))
        return self._tracer.start_span(name, context=context, kind=trace.SpanKind.SERVER)

    def start_child_span(self, parent: Span, name: str) -> Span:
        """Start a child span; a parent that does not record is returned itself."""
        if not parent.is_recording():
            return parent
        return self._tracer.start_span(name, context=trace.set_span_in_context(parent))

    def close(self) -> None:
        """Export the remaining spans and shut down."""
        self._provider.shutdown()

    def _is_sampled(self, parent: SpanContext) -> bool:
        """Return whether a request's spans are recorded: as its caller decided, else at random."""
        if parent.is_valid:
            return parent.trace_flags.sampled
        return self._generator.random() < self._sample_share()

    def _unsampled_context(self, parent: SpanContext) -> SpanContext:
        """Return a context with a trace identifier for a request that is not sampled."""
        return SpanContext(
            trace_id=parent.trace_id or self._generator.getrandbits(_TRACE_ID_BITS) or 1,
            span_id=self._generator.getrandbits(_SPAN_ID_BITS) or 1,
            is_remote=False,
            trace_flags=TraceFlags(parent.trace_flags),
            trace_state=TraceState(),
        )


def trace_id_of(span: Span) -> str:
    """Return a span's trace identifier as hexadecimal text."""
    return format_trace_id(span.get_span_context().trace_id)


def traceparent_of(span: Span) -> str:
    """Return the `traceparent` header of a span."""
    context = span.get_span_context()
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-{int(context.trace_flags):02x}"


def _file_exporter(path: str) -> ConsoleSpanExporter:
    """Return an exporter that appends one JSON object per line to a file."""
    stream = open(path, "a", encoding="utf-8")  # noqa: SIM115
    return ConsoleSpanExporter(out=stream, formatter=lambda span: span.to_json(indent=None) + "\n")
