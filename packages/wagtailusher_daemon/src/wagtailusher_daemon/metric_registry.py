"""A registry of metrics with a common name prefix."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from wagtailusher_http import CallerBudget, Headers, Response


class MetricRegistry:
    """Registers and renders the metrics of one process."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self.registry = Registry()
        self._held_bytes = self.gauge(
            "held_caller_bytes", "Bytes held for callers: requests, and answers not sent yet"
        )
        self._gave_way = self.counter(
            "callers_gave_way", "Callers refused or disconnected for want of room, by phase"
        )

    def counter(self, name: str, doc: str) -> Counter:
        """Register a counter; `_total` is appended to its name."""
        return Counter(f"{self._prefix}_{name}_total", doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge."""
        return Gauge(f"{self._prefix}_{name}", doc, registry=self.registry)

    def histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        """Register a histogram."""
        return Histogram(f"{self._prefix}_{name}", doc, registry=self.registry, buckets=buckets)

    def render(self, accept: str) -> Response:
        """Return the metrics in the format that the scraper accepts."""
        content, headers = render(self.registry, [accept])
        return Response(headers=Headers(headers.items()), body=content)

    def set_callers(self, budget: CallerBudget, closed_unused_count: int) -> None:
        """Set what callers hold, and how many gave way."""
        self._held_bytes.set({}, budget.held_bytes)
        for phase, count in budget.gave_way_counts.items():
            self._gave_way.set({"phase": str(phase)}, count)
        self._gave_way.set({"phase": "unused"}, closed_unused_count)
