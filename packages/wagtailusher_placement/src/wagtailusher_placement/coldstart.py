"""How much a cold endpoint may bear, and when it counts as warm."""

from __future__ import annotations

from wagtailusher_core import Incarnation
from wagtailusher_placement.const import RAMP_FACTOR, TRANSIT_MARGIN_MS
from wagtailusher_placement.reports import LoadReport


class ColdStart:
    """Ramps one endpoint from its cold limit to its concurrency limit."""

    __slots__ = (
        "_good",
        "_incarnation",
        "_said_cold",
        "allowance",
        "cold",
        "cold_limit",
        "concurrency_limit",
        "turned_at_ms",
    )

    def __init__(self, *, cold_limit: int, concurrency_limit: int, cold: bool, now_ms: int) -> None:
        """Start cold or warm."""
        self.cold_limit = cold_limit
        self.concurrency_limit = concurrency_limit
        self.cold = cold
        self.allowance = cold_limit if cold else concurrency_limit
        self.turned_at_ms = now_ms
        self._good = 0
        self._said_cold = False
        self._incarnation: Incarnation | None = None

    def update_limits(self, *, cold_limit: int, concurrency_limit: int) -> None:
        """Take over changed limits."""
        if (cold_limit, concurrency_limit) == (self.cold_limit, self.concurrency_limit):
            return
        self.cold_limit = cold_limit
        self.concurrency_limit = concurrency_limit
        ceiling = cold_limit if self.cold else concurrency_limit
        self.allowance = min(self.allowance, ceiling) if self.cold else ceiling

    def turn_cold(self, now_ms: int) -> bool:
        """Fall back to the cold limit; return whether the endpoint was warm.

        An endpoint that bears its whole limit at once never counts as cold.
        """
        if self.cold_limit >= self.concurrency_limit:
            return False
        was_warm = not self.cold
        self.cold = True
        self.allowance = self.cold_limit
        self.turned_at_ms = now_ms
        self._good = 0
        return was_warm

    def assume_warm(self) -> None:
        """Take the endpoint for warm, as it has been at work before."""
        self.cold = False
        self.allowance = self.concurrency_limit

    def observe_report(self, report: LoadReport, now_ms: int) -> bool:
        """Take in a report; return whether it turned the endpoint cold."""
        restarted = self._incarnation is not None and self._incarnation != report.incarnation
        self._incarnation = report.incarnation
        self._said_cold = report.cold
        if restarted or (report.cold and not self.cold):
            return self.turn_cold(now_ms)
        if report.cold and self.allowance > self.cold_limit:
            self.turn_cold(now_ms)
        return False

    def good_first_tokens(self, count: int, now_ms: int) -> None:
        """Raise the allowance after as many timely first tokens as it allows at a time."""
        if not self.cold or self._said_cold:
            return
        self._good += count
        if self._good < max(1, self.allowance):
            return
        self._good = 0
        self.allowance = min(self.concurrency_limit, max(1, self.allowance) * RAMP_FACTOR)
        self.cold = self.allowance < self.concurrency_limit


class Leftover:
    """The work at a cold endpoint that may stem from leases that have run out.

    Nobody but the steward may send to a cold endpoint, so the amount only falls. It is unknown
    until a report that was measured after the last such lease, or until waiting for one is over.
    """

    __slots__ = ("_amount", "_from_ms", "_heard", "_until_ms")

    def __init__(self, *, from_ms: int, wait_ms: int) -> None:
        """Start unknown; leases of others may be valid until `from_ms`."""
        self._from_ms = from_ms + TRANSIT_MARGIN_MS
        self._until_ms = self._from_ms + wait_ms
        self._amount: int | None = None
        self._heard = False

    def observe_report(self, report: LoadReport) -> None:
        """Bound the leftover by the endpoint's own count."""
        self._heard = True
        if report.reported_at_ms < self._from_ms:
            return
        count = report.running + report.waiting
        self._amount = count if self._amount is None else min(self._amount, count)

    def bound(self, now_ms: int) -> int | None:
        """Return the most that may be left, or None while that is unknown."""
        if self._amount is not None:
            return self._amount
        return 0 if not self._heard and now_ms >= self._until_ms else None
