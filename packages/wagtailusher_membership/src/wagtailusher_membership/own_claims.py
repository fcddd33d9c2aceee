"""What this VM claimed of each class within a window."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from wagtailusher_core import ClassKey
from wagtailusher_membership.summary_view import claims_of
from wagtailusher_wire import DemandSummary

_MAX_PUBLICATIONS = 256


@dataclass(frozen=True, slots=True, kw_only=True)
class _Publication:
    """The claims of one published summary."""

    time_ms: int
    claims: dict[ClassKey, int]


class OwnClaims:
    """Remembers published claims, so that shares grow late and shrink at once."""

    def __init__(self) -> None:
        """Start without publications."""
        self._publications: deque[_Publication] = deque(maxlen=_MAX_PUBLICATIONS)

    def publish(self, summary: DemandSummary, now_ms: int) -> None:
        """Note what is published now."""
        self._publications.append(_Publication(time_ms=now_ms, claims=claims_of(summary)))

    def settled(self, key: ClassKey, now_ms: int, window_ms: int) -> int:
        """Return the least claim on a class within the window, 0 before the window is full."""
        least: int | None = None
        for publication in reversed(self._publications):
            claim = publication.claims.get(key, 0)
            least = claim if least is None else min(least, claim)
            if least == 0 or now_ms - publication.time_ms >= window_ms:
                return least
        return 0
