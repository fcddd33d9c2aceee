"""Tests of workspaces' shares: one workspace sends many times what the others do.

They guard against a hot workspace that takes the places of small ones, at one VM or over many, and
against shares that cost anything while there is room.
"""

from __future__ import annotations

from dataclasses import replace
import unittest
from unittest.mock import patch

from tests.wagtailusher_gateway.builders import DESK, ENGINES, plain_terms, terms
from tests.wagtailusher_gateway.competing_vms import SERVICE_MS, CompetingVms
from wagtailusher_core import VmId
from wagtailusher_gateway.admission import Admission, QueuedRequest, RefusalCause
from wagtailusher_gateway.workspace_shares import (
    MAX_TOLD_POOLS,
    MAX_TOLD_WORKSPACES,
    OUTPUT_TOKEN_WORK,
    WORK_PER_REQUEST,
    Pool,
    WorkspaceShares,
    estimated_work,
    fair_share,
    workspace_hash,
)

SMALL = {f"small-{number}": 8.0 for number in range(4)}
"""Each asks for half of its fair share of 80 requests a second."""

HOT = {"hot": 150.0}
CAPACITY_PER_S = 4 * 1_000 / SERVICE_MS
SERVED_PART = 0.75
"""Part of a small workspace's requests that is served at least, the first seconds included; its
fair share is twice what it asks for."""

LARGE_INTERVAL_MS = 1_400
"""Interval between two reports of a VM in another failure domain of 85 VMs."""


class CompetitionTest(unittest.TestCase):
    """Small workspaces are served, whatever a hot one sends and to however many VMs."""

    def assert_small_served(self, vms: CompetingVms, workspaces: dict[str, float]) -> None:
        """Check that each small workspace was served."""
        for workspace in workspaces:
            self.assertGreaterEqual(vms.served_part(workspace), SERVED_PART, workspace)

    def test_hot_workspace_pays_for_its_own_burst(self) -> None:
        """At 1 to 85 VMs the small ones are served, and the hot one gets what they leave."""
        for count, interval_ms in ((1, 200), (3, 200), (6, 200), (85, LARGE_INTERVAL_MS)):
            for seed in range(3):
                with self.subTest(vms=count, seed=seed):
                    vms = CompetingVms(count, seed, report_interval_ms=interval_ms)
                    vms.run(10_000, HOT | SMALL)
                    self.assert_small_served(vms, SMALL)
                    self.assertGreater(vms.started["hot"], vms.started["small-0"])

    def test_shares_leave_no_place_idle(self) -> None:
        """Under contention nine tenths of the capacity are used at least."""
        for count, interval_ms in ((1, 200), (6, 200), (85, LARGE_INTERVAL_MS)):
            vms = CompetingVms(count, 1, report_interval_ms=interval_ms)
            vms.run(10_000, HOT | SMALL)
            self.assertGreater(sum(vms.started.values()), 0.9 * 10 * CAPACITY_PER_S)

    def test_nothing_changes_while_there_is_room(self) -> None:
        """At half of the capacity, a workspace that sends most of it is never refused."""
        for seed in range(5):
            vms = CompetingVms(6, seed)
            vms.run(10_000, {"hot": 32.0, "small": CAPACITY_PER_S / 2 - 32.0})
            self.assertEqual(vms.refused, {})

    def test_unused_shares_go_to_others_at_once(self) -> None:
        """A second after the others fell silent, the hot workspace gets all capacity."""
        vms = CompetingVms(6, 1)
        vms.run(6_000, HOT | SMALL)
        vms.run(1_000, {"hot": 60.0})
        vms.refused.clear()
        vms.run(4_000, {"hot": 60.0})
        self.assertEqual(vms.refused[RefusalCause.SHARE], 0)

    def test_more_urgent_requests_of_a_hot_workspace_go_first(self) -> None:
        """Shares hold within a rank: a less urgent workspace gets what the more urgent leave."""
        vms = CompetingVms(1, 1)
        vms.run(6_000, {"urgent": 70.0, "hot": 70.0}, {"hot": 1})
        self.assertGreater(vms.served_part("urgent"), 0.95)

    def test_equal_workspaces_are_not_refused_by_shares_of_a_large_fleet(self) -> None:
        """Where all ask for twice the capacity alike, shares refuse no one on arrival."""
        vms = CompetingVms(85, 1, report_interval_ms=LARGE_INTERVAL_MS)
        equal = {f"equal-{number}": 8.0 for number in range(20)}
        vms.run(8_000, equal)
        self.assertLess(vms.refused[RefusalCause.SHARE], 0.05 * sum(vms.asked.values()))
        self.assertGreater(min(vms.started.values()), 0.5 * sum(vms.started.values()) / 20)

    def test_vm_that_starts_in_the_middle_of_a_burst(self) -> None:
        """It hears what the others count with their next reports."""
        vms = CompetingVms(3, 1)
        vms.run(4_000, HOT | SMALL)
        vms.restart(0)
        vms.asked.clear()
        vms.started.clear()
        vms.run(5_000, HOT | SMALL)
        self.assert_small_served(vms, SMALL)

    def test_vms_that_hear_half_of_the_reports(self) -> None:
        """Reports stay valid for longer than a lost one takes to be followed by the next."""
        for count, interval_ms in ((6, 200), (85, LARGE_INTERVAL_MS)):
            vms = CompetingVms(count, 1, report_interval_ms=interval_ms, loss=0.5)
            vms.run(10_000, HOT | SMALL)
            self.assert_small_served(vms, SMALL)

    def test_vm_that_is_cut_off_decides_on_its_own_sight(self) -> None:
        """One VM of three that hears nothing serves the small workspaces at it as well."""
        vms = CompetingVms(3, 1, cut_off={0})
        vms.run(10_000, HOT | SMALL)
        self.assert_small_served(vms, SMALL)

    def test_tenants_change_during_a_burst(self) -> None:
        """New workspaces are served as soon as they send, those that left are forgotten."""
        vms = CompetingVms(6, 1)
        vms.run(4_000, HOT | SMALL)
        late = {f"late-{number}": 8.0 for number in range(4)}
        vms.run(5_000, HOT | late)
        self.assert_small_served(vms, late)
        vms.run(8_000, late)
        shares = vms.admissions[0].shares
        known = shares.fleet_work(Pool("desk", 0), vms.now_ms).by_workspace
        self.assertLess(known[workspace_hash("hot")], known[workspace_hash("late-0")])

    def test_idle_time_is_not_saved_up(self) -> None:
        """After a minute without requests a workspace gets no more than after six seconds."""
        started = []
        for idle_ms in (6_000, 60_000):
            vms = CompetingVms(1, 1)
            vms.run(3_000, {"other": 90.0, "back": 90.0})
            vms.run(idle_ms, {"other": 90.0})
            vms.started.clear()
            vms.run(4_000, {"other": 90.0, "back": 90.0})
            started.append(vms.started["back"] / vms.started["other"])
        self.assertLess(abs(started[0] - started[1]), 0.35)


class QueueTest(unittest.TestCase):
    """Within a rank, the workspace for which least was started goes first."""

    def test_newcomer_of_a_small_workspace_goes_before_those_of_a_hot_one(self) -> None:
        vms = CompetingVms(1, 1, slots=1)
        for workspace in ("hot", "hot", "hot", "small"):
            vms.submit(workspace, 0, 0)
        vms.run(SERVICE_MS + 20, {})
        self.assertEqual(vms.started, {"hot": 1, "small": 1})

    def test_full_queue_refuses_the_workspace_that_is_furthest_over_its_share(self) -> None:
        vms = CompetingVms(1, 1, slots=1)
        with patch("wagtailusher_gateway.admission.MAX_QUEUED", 3):
            for workspace in ("hot", "hot", "hot", "hot", "small"):
                vms.submit(workspace, 0, 0)
        self.assertEqual(vms.refused["hot"], 1)
        self.assertEqual(vms.refused["small"], 0)

    def test_full_queue_refuses_a_newcomer_of_the_hot_workspace(self) -> None:
        vms = CompetingVms(1, 1, slots=1)
        with patch("wagtailusher_gateway.admission.MAX_QUEUED", 3):
            for workspace in ("hot", "hot", "hot", "small", "hot"):
                vms.submit(workspace, 0, 0)
        self.assertEqual(vms.refused["hot"], 1)
        self.assertEqual(vms.admissions[0].count, 3)

    def test_request_that_is_refused_in_its_turn_is_not_charged(self) -> None:
        """It had no room, which is a sign that workspaces compete."""
        admission = Admission(1)
        admission.submit(
            QueuedRequest(
                queue="desk",
                rank=0,
                expires_ms=1_000,
                try_start=lambda now_ms: True,
                refuse=lambda retry_after_ms: None,
                is_refused=lambda: True,
                workspace="refused",
            ),
            100,
        )
        pool = Pool("desk", 0)
        self.assertEqual(admission.shares.level(pool, "refused", 100), 0.0)
        self.assertGreater(admission.shares.fleet_work(pool, 300).waited, 0.0)


class ShareTest(unittest.TestCase):
    """What a fair share is, and what is told of it."""

    def test_fair_share_leaves_to_others_what_one_does_not_ask_for(self) -> None:
        self.assertEqual(fair_share([10, 10, 100], 120, 80), 60)
        self.assertEqual(fair_share([50, 50], 100, 80), 40)
        self.assertEqual(fair_share([50, 10], 80, 80), 50)

    def test_workspaces_that_are_not_told_ask_for_little(self) -> None:
        """What is asked for beyond the told workspaces is left to those that are not told."""
        self.assertEqual(fair_share([100], 130, 80), 50)

    def test_work_is_counted_in_tokens_for_engines(self) -> None:
        request = terms(shared=6_000, own=2_900)
        work = 2_900 + OUTPUT_TOKEN_WORK * request.max_output_tokens
        self.assertEqual(estimated_work(ENGINES, request), work)
        self.assertEqual(estimated_work(DESK, plain_terms()), WORK_PER_REQUEST)

    def test_reports_are_bounded(self) -> None:
        """With thousands of workspaces and many pools, only the largest are told."""
        shares = WorkspaceShares()
        for number in range(4_700):
            for rank in range(4):
                pool = Pool("desk", rank)
                shares.record_asked(pool, f"workspace-{number}", 100 + number, 1_000)
                shares.record_waited(pool, 100.0, 1_000)
        reports = shares.own_reports(1_000)
        self.assertEqual(len(reports), MAX_TOLD_POOLS)
        for report in reports:
            self.assertEqual(len(report.workspaces), MAX_TOLD_WORKSPACES)
            self.assertEqual(report.workspaces[0].asked, 100 + 4_699)

    def test_nothing_is_told_without_contention(self) -> None:
        shares = WorkspaceShares()
        shares.record_asked(Pool("desk", 0), "workspace", 100.0, 1_000)
        shares.record_started(Pool("desk", 0), "workspace", 100.0, 1_000)
        self.assertEqual(shares.own_reports(1_000), ())

    def test_report_of_a_silent_peer_loses_its_effect(self) -> None:
        told, hearing = WorkspaceShares(), WorkspaceShares()
        pool = Pool("desk", 0)
        told.record_asked(pool, "workspace", 100.0, 1_000)
        told.record_waited(pool, 100.0, 1_000)
        told.record_started(pool, "workspace", 100.0, 1_000)
        reports = tuple(replace(item, waited=100) for item in told.own_reports(1_000))
        hearing.set_peer(VmId("vm-1"), reports, 1_000)
        self.assertEqual(hearing.level(pool, "workspace", 1_100), 100)
        hearing.tick(6_000)
        self.assertEqual(hearing.level(pool, "workspace", 6_000), 0)

    def test_first_request_passes_while_only_repeats_have_waited(self) -> None:
        """Repeats are not counted as asked, so the sums of a moment ago hold no asked work."""
        shares = WorkspaceShares()
        pool = Pool("desk", 0)
        shares.record_waited(pool, 100.0, 1_000)
        self.assertTrue(shares.is_contended(pool, 1_000))
        shares.record_asked(pool, "workspace", 100.0, 1_010)
        self.assertEqual(shares.pass_chance(pool, "workspace", 1_010), 1.0)

    def test_requests_without_a_workspace_are_not_refused_by_shares(self) -> None:
        vms = CompetingVms(1, 1)
        vms.run(4_000, {"": 150.0} | SMALL)
        self.assertEqual(vms.admissions[0].shares.pass_chance(Pool("desk", 0), "", 4_000), 1.0)

    def test_admission_without_peers_has_its_own_shares(self) -> None:
        self.assertIsNot(Admission(1).shares, Admission(1).shares)


if __name__ == "__main__":
    unittest.main()
