"""Metrics of the entry daemon; label values are bounded and names carry units."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_daemon.const import MS_PER_S
from wagtailusher_daemon.metric_registry import MetricRegistry

_LATENCY_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.75, 1.1, 1.5, 2.5, 5.0, 10.0, 30.0, float("inf"))


class EntryMetrics(MetricRegistry):
    """The metrics of one entry daemon."""

    def __init__(self) -> None:
        super().__init__("wagtailusher")
        self.requests = self.counter("requests", "Requests by tier and outcome")
        self.refusals = self.counter("refusals", "Refusals by code and outcome")
        self.targets = self.counter("target", "Requests by tier and whether the target was met")
        self.unsuccessful_attempts = self.counter(
            "attempts_failed", "Attempts without a whole answer, by end"
        )
        self.forwards = self.counter("forwards", "Requests handed to another VM, by reason")
        self.peer_errors = self.counter("peer_errors", "Peer messages refused, by code")
        self.first_token_s = self.histogram(
            "first_token_seconds",
            "Time to the first part of the answer, by tier",
            _LATENCY_BUCKETS_S,
        )
        self.held = self.gauge("requests_held", "Requests queued or in flight")
        self.revision = self.gauge("settings_revision", "Number of the revision in force")

    def count_refusal(self, code: ErrorCode, outcome: Outcome) -> None:
        """Count an error response."""
        self.refusals.inc({"code": str(code), "outcome": str(outcome)})

    def count_answer(self, tier: int, first_token_ms: int, *, met: bool) -> None:
        """Count a complete answer, its time to the first token, and whether its target was met."""
        label = str(tier)
        self.requests.inc({"tier": label, "outcome": str(Outcome.COMPLETED)})
        self.targets.inc({"tier": label, "target": "met" if met else "missed"})
        self.first_token_s.observe({"tier": label}, first_token_ms / MS_PER_S)
