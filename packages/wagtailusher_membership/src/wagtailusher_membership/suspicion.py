"""How long a suspected member has to refute, given how many suspect it."""

from __future__ import annotations

from math import log

from wagtailusher_core import VmId
from wagtailusher_membership.limits import MembershipLimits


class Suspicion:
    """One member's suspicion; confirmations by others shorten it."""

    __slots__ = ("_limits", "_confirmed_by", "start_ms", "version")

    def __init__(self, *, version: int, start_ms: int, limits: MembershipLimits) -> None:
        """Start the suspicion."""
        self.version = version
        self.start_ms = start_ms
        self._limits = limits
        self._confirmed_by: set[VmId] = set()

    def confirm(self, by: VmId) -> bool:
        """Note another member that suspects too; return whether it counts."""
        if by in self._confirmed_by:
            return False
        if len(self._confirmed_by) > self._limits.suspicion_confirmations:
            return False
        self._confirmed_by.add(by)
        return True

    def deadline_ms(self) -> int:
        """Return when the member is declared dead."""
        limits = self._limits
        others = max(0, len(self._confirmed_by) - 1)
        share = log(others + 1) / log(limits.suspicion_confirmations + 1)
        span_ms = limits.suspicion_max_ms - limits.suspicion_min_ms
        return self.start_ms + max(
            limits.suspicion_min_ms, round(limits.suspicion_max_ms - span_ms * share)
        )


class LocalHealth:
    """How far this node's own slowness may explain missing answers (0 is healthy)."""

    __slots__ = ("_maximum", "score")

    def __init__(self, maximum: int) -> None:
        """Start healthy."""
        self._maximum = maximum
        self.score = 0

    def worse(self, by: int = 1) -> None:
        """Note a sign of own slowness."""
        self.score = min(self._maximum, self.score + by)

    def better(self) -> None:
        """Note an answer in time."""
        self.score = max(0, self.score - 1)

    def stretch(self, time_ms: int) -> int:
        """Return a time scaled by the score."""
        return time_ms * (self.score + 1)
