"""Tests of one sight of all VMs' queues, at fleets of 6, 85 and 195 VMs, with delays and loss.

They guard against less urgent requests that start while more urgent ones wait at other VMs, against
estimates of a VM that sees two requests a second, and against a threshold that swings.
"""

from __future__ import annotations

from collections import Counter
from functools import cache
import unittest

from tests.wagtailusher_gateway.competing_vms import SERVICE_MS, CompetingVms
from wagtailusher_core import VmId
from wagtailusher_gateway.const import RETRY_AFTER_MAX_MS
from wagtailusher_gateway.fleet_queue import (
    MAX_HOLD_MS,
    MAX_TOLD_QUEUES,
    REPORT_LIFETIME_MS,
    SIGHT_MS,
    FleetQueues,
    QueueRank,
    Waiting,
)
from wagtailusher_wire import BeatQueue

URGENT = {f"urgent-{number}": 6.0 for number in range(10)}
"""Three quarters of the capacity."""

OTHERS = {f"other-{number}": 12.0 for number in range(10)}
RANKS = dict.fromkeys(OTHERS, 1)
CAPACITY_PER_S = 4 * 1_000 / SERVICE_MS
WINDOW_MS = 500

FLEETS = ((6, 200, 5), (85, 1_000, 560), (195, 1_000, 1_300))
"""Number of VMs, interval between two reports of a VM, and their longest way, both in ms."""

DESK = QueueRank("desk", 1)


PLAYED_MS = 6_000


def fleet(size: int, interval_ms: int, delay_ms: int, loss: float = 0.0) -> CompetingVms:
    """Return VMs whose refused callers return as they were told."""
    return CompetingVms(
        size, 1, report_interval_ms=interval_ms, delay_ms=delay_ms, loss=loss, returns=True
    )


@cache
def played(size: int, interval_ms: int, delay_ms: int, loss: float = 0.0) -> CompetingVms:
    """Return VMs after some seconds of more than twice the capacity."""
    vms = fleet(size, interval_ms, delay_ms, loss)
    vms.run(PLAYED_MS, URGENT | OTHERS, RANKS)
    return vms


def served_part(vms: CompetingVms, workspaces: dict[str, float]) -> float:
    """Return the part of the requests of some workspaces that started."""
    asked = sum(vms.asked[workspace] for workspace in workspaces)
    return sum(vms.started[workspace] for workspace in workspaces) / asked


class FleetTest(unittest.TestCase):
    """More urgent requests go first, whichever VMs they come to."""

    def test_more_urgent_requests_at_other_vms_go_first(self) -> None:
        """They ask for three quarters of the capacity; three quarters of them start at least."""
        for size, interval_ms, delay_ms in FLEETS:
            with self.subTest(vms=size):
                vms = played(size, interval_ms, delay_ms)
                self.assertGreaterEqual(served_part(vms, URGENT), 0.75)
                self.assertGreater(served_part(vms, URGENT), 2 * served_part(vms, OTHERS))

    def test_half_of_the_reports_are_lost(self) -> None:
        """More urgent requests are served twice as often as the others."""
        for size, interval_ms, delay_ms in FLEETS:
            with self.subTest(vms=size):
                vms = played(size, interval_ms, delay_ms, 0.5)
                self.assertGreater(served_part(vms, URGENT), 2 * served_part(vms, OTHERS))

    def test_nothing_idles_and_nothing_swings(self) -> None:
        """Nine tenths of the capacity are used, and half of it in each half second."""
        for size, interval_ms, delay_ms in FLEETS:
            with self.subTest(vms=size):
                vms = played(size, interval_ms, delay_ms)
                self.assertGreater(len(vms.started_ms), 0.9 * PLAYED_MS / 1_000 * CAPACITY_PER_S)
                windows = Counter(at_ms // WINDOW_MS for at_ms in vms.started_ms)
                least = min(windows[number] for number in range(4, PLAYED_MS // WINDOW_MS))
                self.assertGreaterEqual(least, 0.5 * CAPACITY_PER_S * WINDOW_MS / 1_000)

    def test_callers_do_not_return_at_one_moment(self) -> None:
        """No tenth of a second brings a tenth of all callers who were told to return."""
        for size, interval_ms, delay_ms in FLEETS:
            with self.subTest(vms=size):
                vms = played(size, interval_ms, delay_ms)
                moments = Counter(at_ms // 100 for at_ms in vms.returned_ms)
                self.assertLess(max(moments.values()), 0.1 * len(vms.returned_ms))

    def test_more_urgent_callers_return_with_more_success(self) -> None:
        vms = played(*FLEETS[1])
        urgent = sum(vms.returned_started[name] for name in URGENT)
        others = sum(vms.returned_started[name] for name in OTHERS)
        returned = [sum(vms.returned[name] for name in names) for names in (URGENT, OTHERS)]
        self.assertGreater(urgent / returned[0], others / returned[1])

    def test_half_of_the_vms_are_gone(self) -> None:
        """The others go on by their own sight; what the lost ones told lapses."""
        vms = fleet(*FLEETS[1])
        vms.run(2_000, URGENT | OTHERS, RANKS)
        vms.cut_off = set(range(0, 85, 2))
        vms.started_ms.clear()
        vms.run(4_000, URGENT | OTHERS, RANKS)
        self.assertGreater(len(vms.started_ms), 0.9 * 4 * CAPACITY_PER_S)

    def test_nothing_is_refused_or_told_while_there_is_room(self) -> None:
        vms = fleet(*FLEETS[0])
        vms.run(10_000, {"urgent": 20.0, "other": 20.0}, {"other": 1})
        self.assertEqual(vms.refused, {})


class SightTest(unittest.TestCase):
    """What a VM believes of what its peers told."""

    def setUp(self) -> None:
        self.queues = FleetQueues()

    def tell(self, told_ms: int, *, rank: int = 0, waiting: int = 4, started: int = 20) -> None:
        """Let a peer tell of its queue; it starts 20 requests in the window by default."""
        report = BeatQueue(
            queue="desk",
            rank=rank,
            waiting=waiting,
            oldest_ms=100,
            started=1_000 * started,
            asked=1_000 * started,
        )
        self.queues.set_peer(VmId("vm-1"), (report,), told_ms)

    def test_more_urgent_requests_hold_others_back_until_they_have_started(self) -> None:
        self.tell(1_000, waiting=2)
        self.assertTrue(self.queues.is_outranked(DESK, 1_100))
        self.assertFalse(self.queues.is_outranked(DESK, 1_201))

    def test_old_news_holds_no_one_back(self) -> None:
        self.tell(1_000, waiting=1_000)
        self.assertTrue(self.queues.is_outranked(DESK, 999 + MAX_HOLD_MS))
        self.assertFalse(self.queues.is_outranked(DESK, 1_000 + MAX_HOLD_MS))

    def test_requests_of_the_same_rank_or_of_other_queues_hold_no_one_back(self) -> None:
        self.tell(1_000, rank=1)
        self.assertFalse(self.queues.is_outranked(DESK, 1_000))
        self.tell(1_000, rank=0)
        self.assertFalse(self.queues.is_outranked(QueueRank("other", 1), 1_000))

    def test_wait_is_that_of_the_fleet(self) -> None:
        """Behind 4 requests elsewhere and 5 here, at 10 requests a second."""
        self.tell(1_000)
        self.assertIsNone(self.queues.expected_wait_ms(DESK, 5, 1_000))
        self.tell(1_000 + SIGHT_MS)
        self.assertEqual(self.queues.expected_wait_ms(DESK, 5, 1_000 + SIGHT_MS), 1_000)

    def test_wait_of_more_urgent_requests_leaves_out_less_urgent_ones(self) -> None:
        for at_ms in (1_000, 1_000 + SIGHT_MS):
            self.tell(at_ms, rank=2)
        self.assertEqual(self.queues.expected_wait_ms(DESK, 0, 1_000 + SIGHT_MS), 0)

    def test_report_of_a_silent_peer_lapses(self) -> None:
        self.tell(1_000)
        self.queues.tick(1_001 + REPORT_LIFETIME_MS)
        self.assertIsNone(self.queues.expected_wait_ms(DESK, 5, 1_001 + REPORT_LIFETIME_MS))

    def test_most_urgent_ranks_are_told_first(self) -> None:
        """They are few while they wait, and hold the others back."""
        waiting = {
            QueueRank(queue, rank): Waiting(count=2 + 10 * rank, oldest_ms=100)
            for queue in ("a", "b")
            for rank in (0, 1, 2)
        }
        told_ranks = [report.rank for report in FleetQueues().own_reports(waiting, 0)]
        self.assertEqual(told_ranks, [0, 0, 1, 1])

    def test_callers_beyond_the_longest_delay_do_not_return_together(self) -> None:
        queues = FleetQueues()
        for now_ms in range(0, 3 * SIGHT_MS, 70):
            queues.record_waiting("desk", now_ms)
            queues.record_started(DESK, now_ms)
        now_ms = 3 * SIGHT_MS
        returns = [queues.next_return_ms(DESK, now_ms + 150, now_ms) for _ in range(300)]
        self.assertLessEqual(max(returns), now_ms + RETRY_AFTER_MAX_MS)
        last = [at for at in returns if at > now_ms + RETRY_AFTER_MAX_MS - 150]
        self.assertLess(len(last), len(returns) / 4)

    def test_reports_are_bounded_and_empty_in_calm(self) -> None:
        self.queues.record_started(DESK, 1_000)
        self.assertEqual(self.queues.own_reports({}, 1_000), ())
        waiting = {
            QueueRank(f"queue-{number}", 0): Waiting(count=number, oldest_ms=1)
            for number in range(1, 20)
        }
        reports = self.queues.own_reports(waiting, 1_000)
        self.assertEqual(len(reports), MAX_TOLD_QUEUES)
        self.assertEqual(reports[0].waiting, 19)

    def test_callers_return_one_after_the_other(self) -> None:
        """Two VMs that start 10 requests a second each let a caller return every 100 ms."""
        for at_ms in range(1_000, 1_000 + SIGHT_MS + 1, 100):
            self.tell(at_ms)
        now_ms = 1_000 + SIGHT_MS
        told = [self.queues.next_return_ms(DESK, now_ms + 150, now_ms) for _ in range(3)]
        self.assertEqual([at_ms - now_ms for at_ms in told], [150, 350, 550])


if __name__ == "__main__":
    unittest.main()
