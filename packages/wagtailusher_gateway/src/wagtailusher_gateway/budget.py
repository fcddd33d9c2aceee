"""Bounds the load that retries add to a service while its endpoints fail."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wagtailusher_gateway.const import RETRY_SLACK_SHARE


class RetryBudget:
    """One VM's share of the fleet's retry budget, per service, over a sliding window.

    The sum over all VMs stays within the fleet's bound without coordination, because each VM uses
    an equal part of the slack and a ratio of only its own requests. A VM that has started again
    does not know what it spent before, so it uses no slack for a window.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: int,
        may_use_slack: Callable[[int], bool] = lambda now_ms: True,
    ) -> None:
        """Set the fleet's bounds; no slack is used unless `may_use_slack` returns true."""
        self._may_use_slack = may_use_slack
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._requests: dict[str, deque[int]] = {}
        self._repeats: dict[str, deque[int]] = {}

    def record_request(self, service: str, now_ms: int) -> None:
        """Record a caller's request for a service."""
        self._recent(self._requests, service, now_ms).append(now_ms)

    def remaining(self, service: str, vm_count: int, now_ms: int) -> float:
        """Return the number of retries that remain in the window."""
        requests = len(self._recent(self._requests, service, now_ms))
        repeats = len(self._recent(self._repeats, service, now_ms))
        slack = self._slack if self._may_use_slack(now_ms) else 0.0
        share = slack * RETRY_SLACK_SHARE / max(1, vm_count)
        return share + self._ratio * RETRY_SLACK_SHARE * requests - repeats

    def try_spend(self, service: str, vm_count: int, now_ms: int) -> bool:
        """Spend one retry if the budget allows it; return whether it did."""
        if self.remaining(service, vm_count, now_ms) < 1:
            return False
        self._recent(self._repeats, service, now_ms).append(now_ms)
        return True

    def _recent(self, times: dict[str, deque[int]], service: str, now_ms: int) -> deque[int]:
        recent = times.setdefault(service, deque())
        while recent and recent[0] <= now_ms - self._window_ms:
            recent.popleft()
        return recent


def new_slack_permission(
    *,
    window_ms: int,
    started_ms: int,
    is_fleet_settled: Callable[[int], bool],
    is_first_start: Callable[[], bool],
) -> Callable[[int], bool]:
    """Return a function that returns whether a VM may use its share of the slack.

    `is_first_start` returns whether no earlier process of the VM can have used it.
    """

    def may_use_slack(now_ms: int) -> bool:
        if now_ms - started_ms < window_ms and not is_first_start():
            return False
        return is_fleet_settled(now_ms)

    return may_use_slack
