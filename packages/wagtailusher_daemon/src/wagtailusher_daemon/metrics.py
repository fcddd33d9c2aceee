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
        self.requests = Counter(
            "wagtailusher_requests_total", "Requests by tier and outcome", registry=self.registry
        )
        self.refusals = Counter(
            "wagtailusher_refusals_total", "Refusals by code and outcome", registry=self.registry
        )
        self.targets = Counter(
            "wagtailusher_target_total",
            "Requests by tier and whether the latency target was met",
            registry=self.registry,
        )
        self.retries = Counter(
            "wagtailusher_attempts_failed_total",
            "Attempts that ended without a whole answer, by end",
            registry=self.registry,
        )
        self.forwards = Counter(
            "wagtailusher_forwards_total",
            "Requests handed over to another VM, by reason",
            registry=self.registry,
        )
        self.peer_errors = Counter(
            "wagtailusher_peer_errors_total",
            "Peer messages refused, by code",
            registry=self.registry,
        )
        self.first_token_s = Histogram(
            "wagtailusher_first_token_seconds",
            "Time to the first part of the answer, by tier",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.held = Gauge(
            "wagtailusher_requests_held", "Requests queued or in flight", registry=self.registry
        )
        self.revision = Gauge(
            "wagtailusher_settings_revision",
            "Number of the settings revision in force",
            registry=self.registry,
        )

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
