"""Tests of what all VMs keep together without messages: cold shares and the retry budget."""

from __future__ import annotations

from random import Random
import unittest

from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.cold import ColdShares

COLD = EndpointId("i-cold")
PER_S = 16.0
OVERAGE = 1.5
SLACK = 5.0
LIMIT = PER_S * OVERAGE + SLACK


class ColdSharesTest(unittest.TestCase):
    """No second sees more requests than a cold endpoint bears."""

    def _busiest_second(self, vm_count: int, views: list[tuple[VmId, ...]], seed: int) -> int:
        """Play VMs that all send as much as they may and return the busiest second."""
        shares = [
            ColdShares(VmId(f"vm-{number}"), overage=OVERAGE, slack=SLACK)
            for number in range(vm_count)
        ]
        random = Random(seed)
        sent: list[int] = []
        for now_ms in range(0, 4_000, 10):
            for number, share in enumerate(shares):
                if random.random() < 0.5 and share.may_send(COLD, PER_S, views[number], now_ms):
                    share.note_sent(COLD, now_ms)
                    sent.append(now_ms)
        return max(sum(start <= at < start + 1_000 for at in sent) for start in range(0, 3_000, 50))

    def test_sum_of_all_shares_keeps_the_limit(self) -> None:
        """With 6 to 80 VMs that know each other the limit holds, and work is let through."""
        for vm_count in (6, 9, 30, 68, 80):
            ids = tuple(VmId(f"vm-{number}") for number in range(vm_count))
            busiest = self._busiest_second(vm_count, [ids] * vm_count, seed=vm_count)
            self.assertLessEqual(busiest, LIMIT)
            self.assertGreaterEqual(busiest, LIMIT / 2)

    def test_paused_vm_sends_no_more_than_its_share(self) -> None:
        """A VM that wakes has its share of one second, whatever it slept through."""
        share = ColdShares(VmId("vm-1"), overage=OVERAGE, slack=SLACK)
        ids = tuple(VmId(f"vm-{number}") for number in range(9))
        for now_ms in (0, 60_000):
            allowed = 0
            while share.may_send(COLD, PER_S, ids, now_ms):
                share.note_sent(COLD, now_ms)
                allowed += 1
            self.assertEqual(allowed, LIMIT // 9)

    def test_service_without_a_limit(self) -> None:
        """A service whose endpoints bear full load at once has no shares."""
        share = ColdShares(VmId("vm-1"), overage=OVERAGE, slack=SLACK)
        self.assertTrue(share.may_send(COLD, 0.0, (VmId("vm-1"),), 0))


class RetryBudgetTest(unittest.TestCase):
    """The sum of all VMs' repeats stays in the fleet's budget in any window."""

    def test_sum_over_vms(self) -> None:
        """Under a failure of every request, repeats stay within ratio and slack."""
        ratio, slack, window_ms, vm_count = 0.2, 58.0, 10_000, 9
        budgets = [
            RetryBudget(ratio=ratio, slack=slack, window_ms=window_ms) for _ in range(vm_count)
        ]
        repeats: list[int] = []
        requests = 0
        for now_ms in range(0, 10_000, 20):
            budget = budgets[(now_ms // 20) % vm_count]
            budget.note_request("desk", now_ms)
            requests += 1
            if budget.take("desk", vm_count, now_ms):
                repeats.append(now_ms)
        self.assertLessEqual(len(repeats), ratio * requests + slack)
        self.assertGreater(len(repeats), 0.5 * ratio * requests)

    def test_window_slides(self) -> None:
        """What was taken comes back once the window has passed."""
        budget = RetryBudget(ratio=0.0, slack=10.0, window_ms=1_000)
        taken = sum(budget.take("desk", 1, 0) for _ in range(20))
        self.assertEqual(taken, 7)
        self.assertFalse(budget.take("desk", 1, 999))
        self.assertTrue(budget.take("desk", 1, 1_000))


if __name__ == "__main__":
    unittest.main()
