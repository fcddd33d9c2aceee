"""Metrics of the entry daemon; labels are bounded and names carry units."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_daemon.const import MS_PER_S
from wagtailusher_http import Headers, Response

_LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.75, 1.1, 1.5, 2.5, 5.0, 10.0, 30.0, float("inf"))


class EntryMetrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Register every metric."""
        self.registry = Registry()
        self.requests = self._counter("requests", "Requests by tier and outcome")
        self.refusals = self._counter("refusals", "Refusals by code and outcome")
        self.targets = self._counter("target", "Requests by tier and whether the target was met")
        self.retries = self._counter("attempts_failed", "Attempts without a whole answer, by end")
        self.forwards = self._counter("forwards", "Requests handed to another VM, by reason")
        self.peer_errors = self._counter("peer_errors", "Peer messages refused, by code")
        self.first_token_s = Histogram(
            "wagtailusher_first_token_seconds",
            "Time to the first part of the answer, by tier",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.held = self._gauge("requests_held", "Requests queued or in flight")
        self.revision = self._gauge("settings_revision", "Number of the revision in force")

    def _counter(self, name: str, doc: str) -> Counter:
        """Register a counter."""
        return Counter(f"wagtailusher_{name}_total", doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge."""
        return Gauge(f"wagtailusher_{name}", doc, registry=self.registry)

    def count_refusal(self, code: ErrorCode, outcome: Outcome) -> None:
        """Count an error answer."""
        self.refusals.inc({"code": str(code), "outcome": str(outcome)})

    def count_answer(self, tier: int, first_token_ms: int, *, met: bool) -> None:
        """Count a whole answer and whether its class's target was met."""
        label = str(tier)
        self.requests.inc({"tier": label, "outcome": str(Outcome.COMPLETED)})
        self.targets.inc({"tier": label, "target": "met" if met else "missed"})
        self.first_token_s.observe({"tier": label}, first_token_ms / MS_PER_S)

    def render(self, accept: str) -> Response:
        """Return the metrics in the format that the scraper accepts."""
        content, headers = render(self.registry, [accept])
        return Response(headers=Headers(headers.items()), body=content)
