"""Suspicion timeouts and local health, after SWIM and Lifeguard."""

from __future__ import annotations

from math import log

from wagtailusher_core import VmId
from wagtailusher_membership.limits import MembershipLimits


class Suspicion:
    """The suspicion of one member; confirmations by other members shorten its timeout."""

    __slots__ = ("_limits", "_confirmed_by", "start_ms", "version")

    def __init__(self, *, version: int, start_ms: int, limits: MembershipLimits) -> None:
        self.version = version
        self.start_ms = start_ms
        self._limits = limits
        self._confirmed_by: set[VmId] = set()

    def confirm(self, by: VmId) -> bool:
        """Record another member that suspects this one; return whether it is counted."""
        if by in self._confirmed_by:
            return False
        if len(self._confirmed_by) > self._limits.suspicion_confirmations:
            return False
        self._confirmed_by.add(by)
        return True

    def deadline_ms(self) -> int:
        """Return the time at which the member is declared dead unless it refutes."""
        limits = self._limits
        others = max(0, len(self._confirmed_by) - 1)
        share = log(others + 1) / log(limits.suspicion_confirmations + 1)
        span_ms = limits.suspicion_max_ms - limits.suspicion_min_ms
        return self.start_ms + max(
            limits.suspicion_min_ms, round(limits.suspicion_max_ms - span_ms * share)
        )


class LocalHealth:
    """Score of this node's own slowness, which may explain missing answers (0 is healthy)."""

    __slots__ = ("_maximum", "score")

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.score = 0

    def degrade(self, by: int = 1) -> None:
        """Raise the score after a sign of own slowness."""
        self.score = min(self._maximum, self.score + by)

    def recover(self) -> None:
        """Lower the score after an answer in time."""
        self.score = max(0, self.score - 1)

    def scale(self, time_ms: int) -> int:
        """Return a duration scaled by the score."""
        return time_ms * (self.score + 1)
