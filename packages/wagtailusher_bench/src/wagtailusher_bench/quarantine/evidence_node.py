"""Suspects are spread to all VMs, and each VM intersects them; uses the real decider."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from wagtailusher_bench.quarantine.const import (
    MAX_DATAGRAMS,
    REPEAT_MS,
    REPEAT_PEERS,
    SPREAD_PEERS,
)
from wagtailusher_bench.quarantine.links import Links
from wagtailusher_bench.quarantine.node import sample
from wagtailusher_core import EndpointId, first_by_rendezvous
from wagtailusher_quarantine import (
    DEFAULT_INNOCENT_MS,
    QuarantineDecider,
    QuarantineLimits,
    QuarantineSummary,
    Suspect,
)


class EvidenceNode:
    """Sends evidence as the gateway's `QuarantineExchange` does."""

    def __init__(self, vm_id: str, links: Links, rng: Random) -> None:
        """Start without evidence."""
        self._vm_id = vm_id
        self._links = links
        self._random = rng
        self._repeated_ms = 0
        self._decider = QuarantineDecider(
            limits=QuarantineLimits(request_innocent_ms=DEFAULT_INNOCENT_MS)
        )

    @property
    def state(self) -> object:
        """Return the decider."""
        return self._decider

    def admit(self, prints: tuple[str, ...], now_ms: int, then: Callable[[bool], None]) -> None:
        """Refuse what is held or quarantined, apart from a probe that is due here."""
        refused = [item for item in prints if self._decider.is_quarantined(item, now_ms)]
        for item in refused:
            self._decider.record_refused(item, now_ms)
        may_send = all(self._may_probe(item, now_ms) for item in refused)
        if may_send:
            for item in refused:
                self._decider.try_probe(item, now_ms)
        then(may_send)

    def _may_probe(self, item: str, now_ms: int) -> bool:
        if not self._decider.is_probe_due(item, now_ms):
            return False
        live = (self._vm_id, *self._links.live_peers(self._vm_id))
        return first_by_rendezvous(item, live) == self._vm_id

    def record_crash(self, suspects: Iterable[Suspect], endpoint_id: str, now_ms: int) -> None:
        """Record the crash and tell all peers at once."""
        self._decider.record_suspects(suspects, EndpointId(endpoint_id), now_ms)
        self._spread(self._links.live_peers(self._vm_id), now_ms)

    def record_complete(self, prints: tuple[str, ...], now_ms: int) -> None:
        """Record a complete answer."""
        for item in prints:
            self._decider.record_success(item, now_ms)

    def receive(self, sender: str, summary: QuarantineSummary, now_ms: int) -> None:
        """Merge a peer's evidence."""
        self._decider.merge(summary, now_ms, told_by=sender)

    def greet(self, vm_id: str, now_ms: int) -> None:
        """Send the evidence to a new VM."""
        if not self._decider.is_empty:
            self._links.send(self._vm_id, [vm_id], self._decider.summary(now_ms))

    def tick(self, now_ms: int) -> None:
        """Spread evidence that is new, or repeat what is refused."""
        if self._decider.is_empty:
            return
        peers = self._links.live_peers(self._vm_id)
        refused = self._decider.refused_fingerprints(now_ms)
        if self._decider.has_unsent_evidence(now_ms):
            self._spread(sample(self._random, peers, SPREAD_PEERS), now_ms)
        elif refused and now_ms - self._repeated_ms >= REPEAT_MS:
            self._repeated_ms = now_ms
            targets = sample(self._random, peers, REPEAT_PEERS)
            self._links.send(self._vm_id, targets, self._decider.summary(now_ms))

    def _spread(self, targets: list[str], now_ms: int) -> None:
        for _ in range(MAX_DATAGRAMS):
            if not targets or not self._decider.has_unsent_evidence(now_ms):
                return
            self._links.send(self._vm_id, targets, self._decider.summary(now_ms))
