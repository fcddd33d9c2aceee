"""Tests of the quarantine of requests that crash endpoints.

Guards against one request that crashes many endpoints because evidence is disseminated too
slowly, and against the quarantine of requests that merely ran on a crashed endpoint.
"""

from __future__ import annotations

from random import Random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.wagtailusher_quarantine.quarantine_fleet import QuarantineFleet
from wagtailusher_core import EndpointId
from wagtailusher_quarantine import (
    QuarantineDecider,
    QuarantineEntry,
    QuarantineLimits,
    QuarantineStatus,
    QuarantineSummary,
)

E1 = EndpointId("e1")
E2 = EndpointId("e2")
E3 = EndpointId("e3")
LIMITS = QuarantineLimits(
    quarantine_lifetime_ms=60_000, evidence_lifetime_ms=30_000, spread_ms=1_500
)
DESIGN_NODES = 370
REFUSAL_TARGET_MS = 2_000
ENTRIES = st.builds(
    QuarantineEntry,
    fingerprint=st.sampled_from(["f", "g", "h"]),
    endpoint_ids=st.sampled_from([(E1,), (E2,), (E3,)]),
    quarantined=st.booleans(),
    age_ms=st.integers(0, 40_000),
)


class QuarantineFleetTest(unittest.TestCase):
    """Evidence reaches all nodes of a fleet of the design size in time."""

    def test_refused_everywhere_within_two_seconds_of_the_second_crash(self) -> None:
        for seed, bystanders in ((0, 1), (1, 1), (2, 63)):
            fleet = QuarantineFleet(nodes=DESIGN_NODES, seed=seed)
            fleet.crash(
                ["bad", *(f"a{number}" for number in range(bystanders))], "e1", fleet.nodes[0]
            )
            fleet.advance(200)
            fleet.crash(
                ["bad", *(f"b{number}" for number in range(bystanders))], "e2", fleet.nodes[1]
            )
            duration_ms = fleet.advance_until(
                lambda fleet=fleet: fleet.is_refused_everywhere("bad"),  # type: ignore[misc]
                limit_ms=10_000,
            )
            self.assertLessEqual(duration_ms, REFUSAL_TARGET_MS)
            self.assertLessEqual(fleet.max_summary_entries, QuarantineLimits().summary_entries)
            fleet.advance(QuarantineLimits().spread_ms)
            self.assertTrue(fleet.is_refused_everywhere("bad"))
            self.assertFalse(any(node.is_quarantined("a0", fleet.now_ms) for node in fleet.nodes))

    def test_retries_after_the_advised_time_crash_only_two_endpoints(self) -> None:
        for seed in range(3):
            fleet = QuarantineFleet(nodes=DESIGN_NODES, seed=seed)
            crashes = 0
            for _ in range(20):
                node = fleet.rng.choice(fleet.nodes)
                if not node.is_quarantined("bad", fleet.now_ms):
                    fleet.crash(["bad"], f"e{crashes}", node)
                    crashes += 1
                fleet.advance(node.retry_after_ms("bad", fleet.now_ms))
            self.assertEqual(crashes, 2)
            self.assertEqual(node.retry_after_ms("healthy", fleet.now_ms), 0)


class QuarantineDeciderTest(unittest.TestCase):
    """A quarantine needs crashes that have only one fingerprint in common."""

    def setUp(self) -> None:
        self.decider = QuarantineDecider(limits=LIMITS)

    def test_first_crash_makes_suspects_that_never_run_together(self) -> None:
        self.decider.record_crash("f", E1, 0)
        self.decider.record_crash("f", E1, 100)
        self.decider.record_crash("g", E1, 0)
        self.assertIs(self.decider.classify("f", 200), QuarantineStatus.SUSPECT)
        self.assertEqual(self.decider.crashed_endpoints("f", 200), {E1})
        self.assertFalse(self.decider.can_colocate("f", ["g"], 200))
        self.assertTrue(self.decider.can_colocate("f", ["f", "healthy"], 200))
        self.assertTrue(self.decider.can_colocate("healthy", ["f", "g"], 200))

    def test_third_crash_distinguishes_two_suspects_of_the_same_crashes(self) -> None:
        for endpoint_id, now_ms in ((E1, 0), (E2, 5_000)):
            self.decider.record_crash("f", endpoint_id, now_ms)
            self.decider.record_crash("g", endpoint_id, now_ms)
        self.assertIs(self.decider.classify("g", 7_000), QuarantineStatus.SUSPECT)
        self.assertIs(self.decider.classify("f", 7_000), QuarantineStatus.SUSPECT)
        self.decider.record_crash("f", E3, 10_000)
        self.assertIs(self.decider.classify("f", 10_000), QuarantineStatus.HELD)
        self.assertIs(self.decider.classify("f", 11_500), QuarantineStatus.QUARANTINED)
        self.assertIs(self.decider.classify("g", 11_500), QuarantineStatus.SUSPECT)

    def test_hold_ends_when_another_vm_explains_the_crashes(self) -> None:
        self.decider.record_crash("g", E1, 0)
        self.decider.record_crash("g", E2, 5_000)
        self.assertIs(self.decider.classify("g", 5_100), QuarantineStatus.HELD)
        entries = (
            QuarantineEntry(fingerprint="f", endpoint_ids=(E1,), quarantined=False, age_ms=5_900),
            QuarantineEntry(fingerprint="f", endpoint_ids=(E2,), quarantined=False, age_ms=900),
        )
        self.decider.merge(QuarantineSummary(entries=entries), 6_000)
        self.assertIs(self.decider.classify("g", 6_500), QuarantineStatus.SUSPECT)

    def test_success_clears_and_old_evidence_does_not_return(self) -> None:
        self.decider.record_crash("f", E1, 1_000)
        other = QuarantineDecider(limits=LIMITS)
        other.merge(self.decider.summary(1_100), 1_100)
        self.decider.record_success("f", 2_000)
        self.decider.merge(other.summary(3_000), 3_000)
        self.assertIs(self.decider.classify("f", 3_000), QuarantineStatus.CLEAR)
        self.decider.record_crash("f", E2, 9_000)
        self.assertIs(self.decider.classify("f", 9_000), QuarantineStatus.SUSPECT)

    def test_same_endpoint_counts_again_after_its_return(self) -> None:
        self.decider.record_crash("f", E1, 0)
        self.decider.record_crash("f", E1, 20_000)
        self.assertIs(self.decider.classify("f", 22_000), QuarantineStatus.QUARANTINED)

    def test_quarantine_expires_everywhere(self) -> None:
        fleet = QuarantineFleet(nodes=20, seed=1, limits=LIMITS)
        fleet.crash(["f"], "e1", fleet.nodes[0])
        fleet.advance(1_000)
        fleet.crash(["f"], "e2", fleet.nodes[0])
        fleet.advance(LIMITS.quarantine_lifetime_ms + 2 * LIMITS.spread_ms)
        statuses = {node.classify("f", fleet.now_ms) for node in fleet.nodes}
        self.assertEqual(statuses, {QuarantineStatus.CLEAR})

    def test_memory_is_bounded_and_refused_fingerprints_are_kept(self) -> None:
        decider = QuarantineDecider(limits=QuarantineLimits(max_fingerprints=8))
        decider.record_crash("f", E1, 0)
        decider.record_crash("f", E2, 100)
        for number in range(100):
            decider.record_crash(f"near{number}", E3, 200 + number)
        self.assertTrue(decider.is_quarantined("f", 2_000))
        self.assertFalse(decider.crashed_endpoints("near0", 2_000))

    @given(st.lists(ENTRIES, max_size=8), st.randoms(use_true_random=False))
    def test_merges_in_any_order_and_twice_give_the_same_suspects(
        self, entries: list[QuarantineEntry], rng: Random
    ) -> None:
        first = QuarantineDecider(limits=LIMITS)
        second = QuarantineDecider(limits=LIMITS)
        first.merge(QuarantineSummary(entries=tuple(entries)), 50_000)
        shuffled = entries + entries
        rng.shuffle(shuffled)
        for entry in shuffled:
            second.merge(QuarantineSummary(entries=(entry,)), 50_000)
        for fingerprint in ("f", "g", "h"):
            self.assertEqual(
                first.crashed_endpoints(fingerprint, 52_000),
                second.crashed_endpoints(fingerprint, 52_000),
            )
            self.assertEqual(
                first.is_quarantined(fingerprint, 52_000),
                second.is_quarantined(fingerprint, 52_000),
            )
