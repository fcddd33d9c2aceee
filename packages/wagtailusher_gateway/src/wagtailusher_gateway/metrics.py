"""Metrics of the gateway; label values are bounded and names include units."""

from __future__ import annotations

from wagtailusher_daemon.metric_registry import MetricRegistry
from wagtailusher_gateway.admission import Admission
from wagtailusher_gateway.cache_beliefs import CacheBelief
from wagtailusher_gateway.const import LATENCY_BUCKETS_S, MS_PER_S
from wagtailusher_gateway.engine_rates import EngineRates
from wagtailusher_gateway.models import FleetView, Route
from wagtailusher_http import BufferBudget

AS_EXPECTED = 1.5
"""Factor up to which a first event counts as expected; by more, a queue that fits its target does
not."""


class GatewayMetrics(MetricRegistry):
    """The metrics of one process."""

    def __init__(self) -> None:
        super().__init__("wagtailusher_gateway")
        self.requests = self.counter("requests", "Requests by rank and outcome")
        self.refusals = self.counter("refusals", "Answers of the gateway's own, by code")
        self.attempts_failed = self.counter("attempts_failed", "Sends without a usable answer")
        self.stream_versions = self.counter(
            "stream_versions", "Records of streams' software versions, by what happened to them"
        )
        self._add_fleet_counters()
        self._add_engine_metrics()
        self.peer_errors = self.counter("peer_errors", "Peer messages refused, by code")
        self.platform_calls = self.counter("platform_calls", "Calls to the platform, by outcome")
        self.dropped_log_lines = self.counter("dropped_log_lines", "Log lines dropped, by kind")
        self.first_answer_s = self.histogram(
            "first_answer_seconds",
            "Time to the answer or its first event, by rank",
            LATENCY_BUCKETS_S,
        )
        self.buffered_bytes = self.gauge(
            "buffered_answer_bytes", "Bytes held for answers that are read whole"
        )
        self.answers_evicted = self.counter(
            "answers_evicted", "Answers dropped as the largest above the budget for buffered bytes"
        )
        self._add_queue_metrics()
        self.in_flight = self.gauge("requests_in_flight", "Requests that were read, not answered")
        self.members = self.gauge("members", "VMs whose heartbeats arrive")
        self.knows_fleet = self.gauge(
            "knows_fleet",
            "1 if this VM uses its share of fleet-wide limits, 0 while it knows no peer",
        )
        self.endpoints = self.gauge("endpoints", "Endpoints by state")
        self.view_age_ms = self.gauge("view_age_milliseconds", "Age of the view of the platform")
        self.store_epoch = self.gauge(
            "store_epoch", "Epoch of the store; rises when it comes back from an older copy"
        )
        self.configuration = self.gauge("configuration_version", "Configuration in force")

    def _add_queue_metrics(self) -> None:
        """Add the metrics of the queues and of workspaces' shares."""
        self.waiting = self.gauge("requests_waiting", "Requests that wait for a place")
        self.queue_refusals = self.counter(
            "queue_refusals", "Requests that the queues refused, by cause"
        )
        self.contended = self.gauge(
            "contended_pools", "Services and ranks for which workspaces compete"
        )

    def _add_fleet_counters(self) -> None:
        """Add the counters of what VMs tell each other of endpoints and the view."""
        self.quarantine = self.counter(
            "quarantine", "Requests that crash endpoints, by what happened to them"
        )
        self.liveness = self.counter(
            "endpoint_liveness", "Endpoints found suspected, unresponsive or responsive, by state"
        )
        self.limits = self.counter(
            "endpoint_limits", "Limits that endpoints name in answers, by what happened to them"
        )
        self.statements = self.counter(
            "endpoint_statements", "Endpoints that leave or want no requests, by what they stated"
        )
        self.forwarded = self.counter(
            "forwarded", "Requests handed on to another VM, by what became of them"
        )
        self.view_changes = self.counter(
            "view_changes", "Changes told by the elected reader, by what this VM did with them"
        )

    def _add_engine_metrics(self) -> None:
        """Add the metrics of engines' rates."""
        self.prompt_rate = self.gauge(
            "engine_prompt_tokens_per_second", "Observed reading rate of a typical engine"
        )
        self.first_events = self.counter(
            "first_events", "First events of engines' answers, by when they were expected"
        )
        self.shared_tokens = self.counter(
            "shared_prompt_tokens", "Tokens of shared parts, by what was believed and found"
        )

    def count_first_event(self, service: str, expected_ms: float, seen_ms: int) -> None:
        """Count the first event of an engine's answer."""
        ratio = seen_ms / max(1.0, expected_ms)
        found = "later" if ratio > AS_EXPECTED else "as_expected"
        self.first_events.inc(
            {"service": service, "found": "sooner" if ratio < 1 / AS_EXPECTED else found}
        )

    def set_queues(self, admission: Admission, now_ms: int) -> None:
        """Set the gauges of the queues and of workspaces' shares."""
        self.waiting.set({}, admission.count)
        self.contended.set({}, admission.shares.count_contended(now_ms))
        for cause, count in admission.refusals.items():
            self.queue_refusals.set({"cause": str(cause)}, count)

    def set_fleet(self, members: int, knows_fleet: bool) -> None:
        """Set the gauges of the fleet."""
        self.members.set({}, members)
        self.knows_fleet.set({}, int(knows_fleet))

    def count_shared_tokens(self, service: str, belief: CacheBelief, seen_ms: int) -> None:
        """Count the tokens of a prompt's shared parts."""
        labels = {"believed": str(belief.source), "found": str(belief.find(seen_ms))}
        self.shared_tokens.add({"service": service, **labels}, belief.shared_tokens)

    def set_buffers(self, budget: BufferBudget) -> None:
        """Set what is held of endpoints' answers."""
        self.buffered_bytes.set({}, budget.held_bytes)
        self.answers_evicted.set({}, budget.evicted_count)

    def set_view(self, view: FleetView, rates: EngineRates, now_ms: int) -> None:
        """Set the gauges of the view of the platform, and of its engines' typical rates."""
        for service, rate in rates.service_rates(now_ms):
            self.prompt_rate.set({"service": service}, rate.prompt_tokens_per_ms * MS_PER_S)
        self.store_epoch.set({}, view.epoch)
        self.view_age_ms.set({}, now_ms - view.confirmed_ms)
        draining = sum(item.is_draining for item in view.endpoints.values())
        self.endpoints.set({"state": "draining"}, draining)
        self.endpoints.set({"state": "ready"}, len(view.endpoints) - draining)

    def count_request(
        self, route: Route | None, outcome: str, first_ms: int | None, arrived_ms: int
    ) -> None:
        """Count a request that got its final answer."""
        rank = str(route.rank) if route is not None else "none"
        self.requests.inc({"rank": rank, "outcome": outcome})
        if first_ms is not None:
            self.first_answer_s.observe({"rank": rank}, (first_ms - arrived_ms) / MS_PER_S)
