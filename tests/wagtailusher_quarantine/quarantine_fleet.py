"""A fleet of quarantine deciders that gossip over lossy links, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wagtailusher_core import EndpointId
from wagtailusher_quarantine import QuarantineDecider, QuarantineLimits

GOSSIP_PERIOD_MS = 200
GOSSIP_FANOUT = 3
LOSS = 0.1
STEP_MS = 20


class QuarantineFleet:
    """Nodes whose callers send one request that crashes every endpoint it reaches."""

    def __init__(self, *, nodes: int, seed: int, limits: QuarantineLimits | None = None) -> None:
        self.rng = Random(seed)
        self.now_ms = 0
        self.nodes = [QuarantineDecider(limits=limits) for _ in range(nodes)]
        self.messages = 0
        self.max_summary_entries = 0
        self._gossip_phases_ms = [self.rng.randrange(GOSSIP_PERIOD_MS) for _ in range(nodes)]

    def advance(self, duration_ms: int) -> None:
        """Advance the time while the nodes gossip."""
        self._advance_until(self.now_ms + duration_ms, lambda: False)

    def advance_until(self, condition: Callable[[], bool], *, limit_ms: int) -> int:
        """Advance the time until a condition holds or limit_ms has passed; return the duration."""
        start_ms = self.now_ms
        self._advance_until(start_ms + limit_ms, condition)
        return self.now_ms - start_ms

    def is_refused_everywhere(self, fingerprint: str) -> bool:
        return all(node.is_quarantined(fingerprint, self.now_ms) for node in self.nodes)

    def crash(self, fingerprints: list[str], endpoint: str, node: QuarantineDecider) -> None:
        """Crash an endpoint while one node's requests are in flight on it."""
        for fingerprint in fingerprints:
            node.record_crash(fingerprint, EndpointId(endpoint), self.now_ms)

    def _advance_until(self, end_ms: int, condition: Callable[[], bool]) -> None:
        while self.now_ms < end_ms and not condition():
            self.now_ms += STEP_MS
            for node, phase_ms in zip(self.nodes, self._gossip_phases_ms, strict=True):
                if (self.now_ms - phase_ms) % GOSSIP_PERIOD_MS < STEP_MS:
                    self._gossip(node)

    def _gossip(self, node: QuarantineDecider) -> None:
        """Send evidence that was not sent often enough to a few random peers."""
        for _ in range(GOSSIP_FANOUT):
            if not node.has_unsent_evidence(self.now_ms):
                return
            summary = node.summary(self.now_ms)
            self.messages += 1
            self.max_summary_entries = max(self.max_summary_entries, len(summary.entries))
            if self.rng.random() >= LOSS:
                self.rng.choice(self.nodes).merge(summary, self.now_ms + 1)
