"""Sums of recent events that all VMs can add up, whenever each of them counted."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

WINDOW_MS = 2_000
"""Usual time constant with which events lose weight; a burst lasts a few seconds, and the reports
of a large fleet are a second old."""


@dataclass(slots=True)
class RecentSum:
    """A sum in which each amount loses weight exponentially with its age."""

    window_ms: int = WINDOW_MS
    """Time constant."""
    _value: float = 0.0
    _at_ms: int = 0

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount, which may be negative; the sum does not fall below 0."""
        self._value = max(0.0, self.at(now_ms) + amount)
        self._at_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Return the sum by now."""
        return self._value * exp(min(0, self._at_ms - now_ms) / self.window_ms)
