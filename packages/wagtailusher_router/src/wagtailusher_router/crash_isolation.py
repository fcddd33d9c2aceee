"""Isolation of requests suspected of crashing endpoints, to identify the crashing one."""

from __future__ import annotations

from collections import defaultdict

from wagtailusher_core import EndpointId
from wagtailusher_quarantine import QuarantineDecider, QuarantineStatus
from wagtailusher_router.tracked_requests import TrackedRequest


class CrashIsolation:
    """Tracks on which endpoint each fingerprint runs, and keeps crash suspects apart."""

    def __init__(self, quarantine: QuarantineDecider) -> None:
        self._quarantine = quarantine
        self._running: defaultdict[EndpointId, set[str]] = defaultdict(set)

    def is_rejected(self, fingerprint: str, now_ms: int) -> bool:
        """Return whether a fingerprint is quarantined."""
        return self._quarantine.is_quarantined(fingerprint, now_ms)

    def excluded_endpoints(self, fingerprint: str, now_ms: int) -> frozenset[EndpointId]:
        """Return the endpoints whose running requests exclude a crash suspect."""
        if self._quarantine.classify(fingerprint, now_ms) is QuarantineStatus.CLEAR:
            return frozenset()
        return frozenset(
            endpoint_id
            for endpoint_id, others in self._running.items()
            if not self._quarantine.can_colocate(fingerprint, others, now_ms)
        )

    def record_start(self, tracked: TrackedRequest) -> None:
        """Record the endpoint on which a request starts."""
        if tracked.choice is not None:
            self._running[tracked.choice.endpoint_id].add(tracked.classified.fingerprint)

    def record_end(self, tracked: TrackedRequest) -> None:
        """Record that a request no longer runs on its endpoint."""
        if tracked.choice is None:
            return
        running = self._running[tracked.choice.endpoint_id]
        running.discard(tracked.classified.fingerprint)
        if not running:
            del self._running[tracked.choice.endpoint_id]

    def record_crash(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Record that a request's endpoint crashed while the request ran."""
        if tracked.choice is not None:
            self._quarantine.record_crash(
                tracked.classified.fingerprint, tracked.choice.endpoint_id, now_ms
            )

    def retry_after_ms(self, tracked: TrackedRequest, now_ms: int) -> int | None:
        """Return the delay before a failed request may be retried, or None for no delay."""
        return self._quarantine.retry_after_ms(tracked.classified.fingerprint, now_ms) or None

    def record_success(self, tracked: TrackedRequest, now_ms: int) -> None:
        """Record that a request was answered completely."""
        self._quarantine.record_success(tracked.classified.fingerprint, now_ms)
