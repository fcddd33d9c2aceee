"""Concurrency limit of a cold endpoint, and its ramp until it counts as warm."""

from __future__ import annotations

from wagtailusher_core import Incarnation
from wagtailusher_placement.const import RAMP_FACTOR, TRANSIT_MARGIN_MS
from wagtailusher_placement.reports import LoadReport


class ColdStart:
    """Ramps one endpoint from its cold limit to its concurrency limit."""

    __slots__ = (
        "_timely_count",
        "_incarnation",
        "_reported_cold",
        "allowance",
        "cold",
        "cold_limit",
        "concurrency_limit",
        "cold_since_ms",
    )

    def __init__(self, *, cold_limit: int, concurrency_limit: int, cold: bool, now_ms: int) -> None:
        self.cold_limit = cold_limit
        self.concurrency_limit = concurrency_limit
        self.cold = cold
        self.allowance = cold_limit if cold else concurrency_limit
        self.cold_since_ms = now_ms
        self._timely_count = 0
        self._reported_cold = False
        self._incarnation: Incarnation | None = None

    def update_limits(self, *, cold_limit: int, concurrency_limit: int) -> None:
        """Apply changed limits; a cold endpoint's allowance is never raised."""
        if (cold_limit, concurrency_limit) == (self.cold_limit, self.concurrency_limit):
            return
        self.cold_limit = cold_limit
        self.concurrency_limit = concurrency_limit
        limit = cold_limit if self.cold else concurrency_limit
        self.allowance = min(self.allowance, limit) if self.cold else limit

    def mark_cold(self, now_ms: int) -> bool:
        """Reset to the cold limit; return whether the endpoint was warm.

        An endpoint whose cold limit is its whole concurrency limit never counts as cold.
        """
        if self.cold_limit >= self.concurrency_limit:
            return False
        was_warm = not self.cold
        self.cold = True
        self.allowance = self.cold_limit
        self.cold_since_ms = now_ms
        self._timely_count = 0
        return was_warm

    def assume_warm(self) -> None:
        """Treat the endpoint as warm, because it served requests before."""
        self.cold = False
        self.allowance = self.concurrency_limit

    def observe_report(self, report: LoadReport, now_ms: int) -> bool:
        """Apply a load report; return whether a warm endpoint became cold by it."""
        restarted = self._incarnation is not None and self._incarnation != report.incarnation
        self._incarnation = report.incarnation
        self._reported_cold = report.cold
        if restarted or (report.cold and not self.cold):
            return self.mark_cold(now_ms)
        if report.cold and self.allowance > self.cold_limit:
            self.mark_cold(now_ms)
        return False

    def record_timely_first_tokens(self, count: int, now_ms: int) -> None:
        """Raise the allowance after as many timely first tokens as the current allowance."""
        if not self.cold or self._reported_cold:
            return
        self._timely_count += count
        if self._timely_count < max(1, self.allowance):
            return
        self._timely_count = 0
        self.allowance = min(self.concurrency_limit, max(1, self.allowance) * RAMP_FACTOR)
        self.cold = self.allowance < self.concurrency_limit


class ResidualWork:
    """The requests at a cold endpoint that may come from expired leases.

    Only the steward may send to a cold endpoint, so the amount only falls. It is unknown until a
    load report measured after the last such lease expired. If no report of any age arrives
    within the waiting time, it counts as zero.
    """

    __slots__ = ("_count", "_from_ms", "_has_report", "_until_ms")

    def __init__(self, *, from_ms: int, wait_ms: int) -> None:
        """Wait up to `wait_ms` for a report after `from_ms`, until which leases may be valid."""
        self._from_ms = from_ms + TRANSIT_MARGIN_MS
        self._until_ms = self._from_ms + wait_ms
        self._count: int | None = None
        self._has_report = False

    def observe_report(self, report: LoadReport) -> None:
        """Apply the endpoint's own count of requests as an upper bound."""
        self._has_report = True
        if report.reported_at_ms < self._from_ms:
            return
        count = report.running + report.waiting
        self._count = count if self._count is None else min(self._count, count)

    def upper_bound(self, now_ms: int) -> int | None:
        """Return the greatest possible residual work, or None while it is unknown."""
        if self._count is not None:
            return self._count
        return 0 if not self._has_report and now_ms >= self._until_ms else None
