"""Tests of fleet-wide limits that VMs keep without coordination: cold starts and retries.

They guard against a sum over all VMs above the limit, if each VM's share is computed too large.
"""

from __future__ import annotations

from functools import partial
from random import Random
import unittest

from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.budget import RetryBudget, new_slack_permission
from wagtailusher_gateway.cold_start_limiter import ColdStartLimiter

COLD = EndpointId("i-cold")
PER_S = 16.0
OVERAGE = 1.5
SLACK = 5.0
LIMIT = PER_S * OVERAGE + SLACK


class ColdStartLimiterTest(unittest.TestCase):
    """No second has more requests to a cold endpoint than its limit."""

    def _busiest_second(self, vm_count: int, views: list[tuple[VmId, ...]], seed: int) -> int:
        """Simulate VMs that send as much as they may; return the requests of the busiest second."""
        limiters = [
            ColdStartLimiter(VmId(f"vm-{number}"), overage=OVERAGE, slack=SLACK)
            for number in range(vm_count)
        ]
        random = Random(seed)
        sent: list[int] = []
        for now_ms in range(0, 4_000, 10):
            for number, limiter in enumerate(limiters):
                if random.random() < 0.5 and limiter.may_send(COLD, PER_S, views[number], now_ms):
                    limiter.record_sent(COLD, now_ms)
                    sent.append(now_ms)
        return max(sum(start <= at < start + 1_000 for at in sent) for start in range(0, 3_000, 50))

    def test_sum_of_all_shares_stays_within_the_limit(self) -> None:
        """With 6 to 80 VMs that know each other the limit holds, and half of it is used."""
        for vm_count in (6, 9, 30, 68, 80):
            ids = tuple(VmId(f"vm-{number}") for number in range(vm_count))
            busiest = self._busiest_second(vm_count, [ids] * vm_count, seed=vm_count)
            self.assertLessEqual(busiest, LIMIT)
            self.assertGreaterEqual(busiest, LIMIT / 2)

    def test_paused_vm_sends_no_more_than_its_share(self) -> None:
        """After a pause a VM may send its share of one second, however long the pause was."""
        limiter = ColdStartLimiter(VmId("vm-1"), overage=OVERAGE, slack=SLACK)
        ids = tuple(VmId(f"vm-{number}") for number in range(9))
        for now_ms in (0, 60_000):
            allowed = 0
            while limiter.may_send(COLD, PER_S, ids, now_ms):
                limiter.record_sent(COLD, now_ms)
                allowed += 1
            self.assertEqual(allowed, LIMIT // 9)

    def test_service_without_a_limit(self) -> None:
        """A service without a cold start limit is not limited."""
        limiter = ColdStartLimiter(VmId("vm-1"), overage=OVERAGE, slack=SLACK)
        self.assertTrue(limiter.may_send(COLD, 0.0, (VmId("vm-1"),), 0))


def _always(value: bool, now_ms: int = 0) -> bool:
    return value


class RetryBudgetTest(unittest.TestCase):
    """The sum of all VMs' retries stays within the fleet's budget in any window."""

    def test_sum_over_vms(self) -> None:
        """If every request fails, retries stay within ratio and slack."""
        ratio, slack, window_ms, vm_count = 0.2, 58.0, 10_000, 9
        budgets = [
            RetryBudget(ratio=ratio, slack=slack, window_ms=window_ms) for _ in range(vm_count)
        ]
        repeats: list[int] = []
        requests = 0
        for now_ms in range(0, 10_000, 20):
            budget = budgets[(now_ms // 20) % vm_count]
            budget.record_request("desk", now_ms)
            requests += 1
            if budget.try_spend("desk", vm_count, now_ms):
                repeats.append(now_ms)
        self.assertLessEqual(len(repeats), ratio * requests + slack)
        self.assertGreater(len(repeats), 0.5 * ratio * requests)

    def test_window_slides(self) -> None:
        """Spent retries are available again once the window has passed."""
        budget = RetryBudget(ratio=0.0, slack=10.0, window_ms=1_000)
        taken = sum(budget.try_spend("desk", 1, 0) for _ in range(20))
        self.assertEqual(taken, 7)
        self.assertFalse(budget.try_spend("desk", 1, 999))
        self.assertTrue(budget.try_spend("desk", 1, 1_000))

    def test_vm_that_has_started_again_uses_no_slack_for_a_window(self) -> None:
        for is_first_start, is_settled, usable_ms in (
            (False, True, 11_000),
            (True, True, 1_000),
            (True, False, None),
        ):
            may_use = new_slack_permission(
                window_ms=10_000,
                started_ms=1_000,
                is_fleet_settled=partial(_always, is_settled),
                is_first_start=partial(_always, is_first_start),
            )
            times_ms = (at_ms for at_ms in range(1_000, 30_000, 100) if may_use(at_ms))
            self.assertEqual(next(times_ms, None), usable_ms)


if __name__ == "__main__":
    unittest.main()
