"""Keeps requests that may crash endpoints apart, so that the guilty one is found."""

from __future__ import annotations

from collections import defaultdict

from wagtailusher_core import EndpointId
from wagtailusher_once import QuarantineDecider, QuarantineStatus
from wagtailusher_router.flights import Flight


class Suspicion:
    """Knows which suspected requests run where."""

    def __init__(self, quarantine: QuarantineDecider) -> None:
        """Start without suspects."""
        self._quarantine = quarantine
        self._running: defaultdict[EndpointId, set[str]] = defaultdict(set)

    def must_not_start(self, fingerprint: str, now_ms: int) -> bool:
        """Tell whether a request is quarantined."""
        return self._quarantine.is_quarantined(fingerprint, now_ms)

    def excluded(self, fingerprint: str, now_ms: int) -> frozenset[EndpointId]:
        """Return the endpoints on which a suspect would meet another one."""
        if self._quarantine.classify(fingerprint, now_ms) is QuarantineStatus.CLEAR:
            return frozenset()
        return frozenset(
            endpoint_id
            for endpoint_id, others in self._running.items()
            if not self._quarantine.can_colocate(fingerprint, others, now_ms)
        )

    def started(self, flight: Flight) -> None:
        """Note where a request runs."""
        if flight.choice is not None:
            self._running[flight.choice.endpoint_id].add(flight.arrival.fingerprint)

    def ended(self, flight: Flight) -> None:
        """Note that a request runs there no more."""
        if flight.choice is None:
            return
        running = self._running[flight.choice.endpoint_id]
        running.discard(flight.arrival.fingerprint)
        if not running:
            del self._running[flight.choice.endpoint_id]

    def record_crash(self, flight: Flight, now_ms: int) -> None:
        """Note that an endpoint crashed while it ran a request."""
        if flight.choice is not None:
            self._quarantine.record_crash(
                flight.arrival.fingerprint, flight.choice.endpoint_id, now_ms
            )

    def retry_after_ms(self, flight: Flight, now_ms: int) -> int | None:
        """Return when a request that failed may come back, or None for at once."""
        return self._quarantine.retry_after_ms(flight.arrival.fingerprint, now_ms) or None

    def record_success(self, flight: Flight, now_ms: int) -> None:
        """Note that a request was answered whole."""
        self._quarantine.record_success(flight.arrival.fingerprint, now_ms)
