"""Tests of the limits that endpoints name for all VMs together.

They guard against a fleet that exceeds such a limit, or leaves it unused.
"""

from __future__ import annotations

from random import Random
import unittest

from wagtailusher_core import EndpointId, VmId
from wagtailusher_rate_limits import (
    LimitReport,
    RateLimitDecider,
    UnreadableLimitError,
    parse_limit,
)

ENGINE = EndpointId("i-1")
STEP_MS = 10
WINDOW_MS = 4_000
STALE_MS = 10_000
FACTOR = 1.5
SLACK = 5


class FleetTestCase(unittest.TestCase):
    """VMs with requests all the time, of which some may be down."""

    def start_fleet(self, count: int) -> None:
        """Start VMs that know each other and one endpoint."""
        self.vm_ids = tuple(VmId(f"vm-{number}") for number in range(count))
        self.live_ids = self.vm_ids
        self.vms = {
            vm_id: RateLimitDecider(vm_id, live_vm_ids=lambda now_ms: self.live_ids)
            for vm_id in self.vm_ids
        }
        for vm in self.vms.values():
            vm.update_endpoints({ENGINE: 1})
        self.sent_ms: list[int] = []

    def name_limit(self, limit_per_s: float | None, now_ms: int) -> None:
        """Let an answer to the first VM name a limit, and tell all others."""
        first, *others = self.vms.values()
        first.record_answer(ENGINE, 1, limit_per_s, now_ms)
        for report in first.new_reports(now_ms):
            for vm in others:
                vm.merge(report, self.vm_ids[0], now_ms)

    def run_load(self, from_ms: int, until_ms: int) -> None:
        """Let each live VM send whenever it may, in random order."""
        generator = Random(1)
        for now_ms in range(from_ms, until_ms, STEP_MS):
            for vm_id in generator.sample(self.live_ids, len(self.live_ids)):
                vm = self.vms[vm_id]
                if vm.may_send(ENGINE, now_ms):
                    vm.record_sent(ENGINE, now_ms)
                    self.sent_ms.append(now_ms)

    def most_in_window(self) -> int:
        """Return the most requests within four seconds."""
        return max(
            sum(begin <= at_ms < begin + WINDOW_MS for at_ms in self.sent_ms)
            for begin in self.sent_ms
        )


class BoundTest(FleetTestCase):
    """The sum over the fleet."""

    def test_fleets_of_all_sizes_keep_to_limits_and_use_them(self) -> None:
        for count in (1, 3, 9, 68):
            for limit_per_s in (0.4, 1.0, 1.9, 5.0, 20.0):
                with self.subTest(vms=count, limit=limit_per_s):
                    self.start_fleet(count)
                    self.name_limit(limit_per_s, 0)
                    self.run_load(0, 9_990)
                    allowed = FACTOR * limit_per_s * WINDOW_MS / 1000 + SLACK
                    self.assertLessEqual(self.most_in_window(), allowed)
                    self.assertGreaterEqual(len(self.sent_ms), 0.7 * 10 * limit_per_s)

    def test_share_of_a_vm_that_stops_is_used_by_others(self) -> None:
        self.start_fleet(9)
        self.name_limit(2.0, 0)
        holders = {key for key, vm in self.vms.items() if vm.share_per_s(ENGINE, 0)}
        self.live_ids = tuple(key for key in self.vm_ids if key not in holders)
        self.run_load(0, 10_000)
        self.assertGreaterEqual(len(self.sent_ms), 0.7 * 10 * 2.0)
        self.assertLessEqual(self.most_in_window(), FACTOR * 2.0 * 4 + SLACK)

    def test_limit_of_zero_leaves_what_can_state_its_end(self) -> None:
        self.start_fleet(9)
        self.name_limit(0.0, 0)
        self.run_load(0, 9_900)
        self.assertGreaterEqual(len(self.sent_ms), 2)
        self.assertLessEqual(self.most_in_window(), SLACK)

    def test_nothing_is_saved_up_for_a_burst(self) -> None:
        self.start_fleet(1)
        self.name_limit(1.0, 0)
        self.run_load(8_000, 8_400)
        self.assertEqual(len(self.sent_ms), 1)

    def test_vm_that_does_not_know_its_fleet_yet_sends_nothing(self) -> None:
        vm = RateLimitDecider(
            VmId("vm-0"),
            live_vm_ids=lambda now_ms: (VmId("vm-0"),),
            is_fleet_settled=lambda now_ms: now_ms >= 1_000,
        )
        vm.update_endpoints({ENGINE: 1})
        vm.record_answer(ENGINE, 1, 5.0, 0)
        self.assertFalse(vm.may_send(ENGINE, 999))
        self.assertTrue(vm.may_send(ENGINE, 1_000))


class KnowledgeTest(FleetTestCase):
    """What VMs know of a limit, and for how long."""

    def setUp(self) -> None:
        self.start_fleet(2)
        self.vm, self.peer = self.vms.values()

    def test_answer_without_a_limit_ends_it_everywhere(self) -> None:
        self.name_limit(1.0, 0)
        self.assertTrue(self.peer.has_limit(ENGINE))
        self.name_limit(None, 500)
        self.assertFalse(self.vm.has_limit(ENGINE) or self.peer.has_limit(ENGINE))

    def test_older_report_does_not_bring_a_limit_back(self) -> None:
        self.name_limit(1.0, 0)
        old = self.vm.all_reports(400)
        self.name_limit(None, 500)
        for report in old:
            self.peer.merge(
                LimitReport(
                    endpoint_id=ENGINE,
                    incarnation=1,
                    limit_per_s=report.limit_per_s,
                    age_ms=report.age_ms + 200,
                ),
                VmId("vm-0"),
                600,
            )
        self.assertFalse(self.peer.has_limit(ENGINE))

    def test_new_endpoint_at_an_old_address_has_no_limit(self) -> None:
        self.name_limit(1.0, 0)
        self.peer.update_endpoints({ENGINE: 2})
        self.assertFalse(self.peer.has_limit(ENGINE))
        for report in self.vm.all_reports(100):
            self.peer.merge(report, VmId("vm-0"), 100)
        self.assertFalse(self.peer.has_limit(ENGINE))

    def test_limit_that_nobody_confirms_is_forgotten(self) -> None:
        self.name_limit(1.0, 0)
        self.vm.tick(STALE_MS)
        self.assertTrue(self.vm.has_limit(ENGINE))
        self.vm.tick(STALE_MS + 1)
        self.assertFalse(self.vm.has_limit(ENGINE))

    def test_new_vm_learns_limits_before_it_sends(self) -> None:
        self.vm.record_answer(ENGINE, 1, 1.0, 0)
        self.vm.new_reports(0)
        for report in self.vm.all_reports(2_000):
            self.peer.merge(report, VmId("vm-0"), 2_000)
        self.assertTrue(self.peer.has_limit(ENGINE))


class ParseTest(unittest.TestCase):
    """Values of the field."""

    def test_decimal_numbers_are_read(self) -> None:
        for text, limit_per_s in (("1", 1.0), ("0.4", 0.4), (" 12. ", 12.0), ("0", 0.0)):
            with self.subTest(text=text):
                self.assertEqual(parse_limit((text,)), limit_per_s)
        self.assertIsNone(parse_limit(()))

    def test_other_values_are_not(self) -> None:
        for values in (("",), ("-1",), ("1e3",), ("inf",), ("nan",), ("x",), ("1", "2"), ("1,2",)):
            with self.subTest(values=values), self.assertRaises(UnreadableLimitError):
                parse_limit(values)


if __name__ == "__main__":
    unittest.main()
