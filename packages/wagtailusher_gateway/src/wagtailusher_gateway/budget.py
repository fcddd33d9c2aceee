"""Bounds what repeated sends add to a service; answers retries during failures of endpoints."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wagtailusher_gateway.const import RETRY_SLACK_SHARE


class RetryBudget:
    """One VM's part of the fleet's budget, per service, over a sliding window.

    The sum over all VMs stays in bounds without messages, as each takes an equal part of the
    slack and a share of only its own requests.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: int,
        knows_fleet: Callable[[int], bool] = lambda now_ms: True,
    ) -> None:
        """Set the fleet's bounds; while `knows_fleet` denies, no slack is given out."""
        self._knows_fleet = knows_fleet
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, deque[int]] = {}
        self._repeats: dict[str, deque[int]] = {}

    def note_request(self, service: str, now_ms: int) -> None:
        """Count a caller's request for a service."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def left(self, service: str, vm_count: int, now_ms: int) -> float:
        """Return how many repeats are left in the window."""
        requests = len(self._recent(self._requests, service, now_ms))
        repeats = len(self._recent(self._repeats, service, now_ms))
        slack = self._slack if self._knows_fleet(now_ms) else 0.0
        share = slack * RETRY_SLACK_SHARE / max(1, vm_count)
        return share + self._ratio * RETRY_SLACK_SHARE * requests - repeats

    def take(self, service: str, vm_count: int, now_ms: int) -> bool:
        """Take a repeat out of the budget; return whether it allowed one."""
        if self.left(service, vm_count, now_ms) < 1:
            return False
        self._recent(self._repeats, service, now_ms).append(now_ms)
        return True

    def _recent(self, times: dict[str, deque[int]], service: str, now_ms: int) -> deque[int]:
        """Return the times within the window."""
        recent = times.setdefault(service, deque())
        while recent and recent[0] <= now_ms - self._window_ms:
            recent.popleft()
        return recent
