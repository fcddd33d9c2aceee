"""Metrics of the gateway; labels are bounded and names carry units."""

from __future__ import annotations

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from wagtailusher_gateway.const import LATENCY_BUCKETS_S, MS_PER_S
from wagtailusher_gateway.models import Route
from wagtailusher_http import Headers, Response


class GatewayMetrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        """Register every metric."""
        self.registry = Registry()
        self.requests = self._counter("requests", "Requests by rank and outcome")
        self.refusals = self._counter("refusals", "Answers of the gateway's own, by code")
        self.attempts_failed = self._counter("attempts_failed", "Sends without a usable answer")
        self.peer_errors = self._counter("peer_errors", "Peer messages refused, by code")
        self.platform_calls = self._counter("platform_calls", "Calls to the platform, by outcome")
        self.dropped_log_lines = self._counter("dropped_log_lines", "Log lines dropped, by kind")
        self.first_answer_s = Histogram(
            "wagtailusher_gateway_first_answer_seconds",
            "Time to the answer or its first event, by rank",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.waiting = self._gauge("requests_waiting", "Requests that wait for a place")
        self.in_flight = self._gauge("requests_in_flight", "Requests that were read, not answered")
        self.members = self._gauge("members", "VMs whose beats arrive")
        self.endpoints = self._gauge("endpoints", "Endpoints by state")
        self.view_age_ms = self._gauge("view_age_milliseconds", "Age of the view of the platform")
        self.configuration = self._gauge("configuration_version", "Configuration in force")

    def _counter(self, name: str, doc: str) -> Counter:
        """Register a counter."""
        return Counter(f"wagtailusher_gateway_{name}_total", doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge."""
        return Gauge(f"wagtailusher_gateway_{name}", doc, registry=self.registry)

    def count_request(
        self, route: Route | None, outcome: str, first_ms: int | None, arrived_ms: int
    ) -> None:
        """Count a request that got its final answer."""
        rank = str(route.rank) if route is not None else "none"
        self.requests.inc({"rank": rank, "outcome": outcome})
        if first_ms is not None:
            self.first_answer_s.observe({"rank": rank}, (first_ms - arrived_ms) / MS_PER_S)

    def render(self, accept: str) -> Response:
        """Return the metrics in the format that the scraper accepts."""
        content, headers = render(self.registry, [accept])
        return Response(headers=Headers(headers.items()), body=content)
