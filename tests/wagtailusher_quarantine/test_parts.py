"""Tests of the quarantine of prompt parts that crash endpoints.

They guard against a part that crashes many endpoints with ever new requests, and against refusing
parts that were merely in flight on crashed endpoints.
"""

from __future__ import annotations

import unittest

from wagtailusher_core import EndpointId
from wagtailusher_quarantine import (
    QuarantineDecider,
    QuarantineLimits,
    QuarantineStatus,
    Suspect,
    part_fingerprint,
)

BAD = part_fingerprint("bad")
SHARED = part_fingerprint("shared")
OTHER = part_fingerprint("other")
LIMITS = QuarantineLimits()
SPREAD_MS = LIMITS.spread_ms


def crash(
    decider: QuarantineDecider,
    endpoint: str,
    now_ms: int,
    request: str,
    *parts: str,
    has_begun: bool = True,
) -> None:
    """Record that an endpoint crashed while it ran a request with parts."""
    suspects = [Suspect(fingerprint=request, has_begun=has_begun)]
    suspects += [Suspect(fingerprint=p, carrier=request, has_begun=has_begun) for p in parts]
    decider.record_suspects(suspects, EndpointId(endpoint), now_ms)


def exchange(first: QuarantineDecider, second: QuarantineDecider, now_ms: int) -> None:
    """Send the summaries of two VMs to each other."""
    summary = first.summary(now_ms)
    first.merge(second.summary(now_ms), now_ms, told_by="second")
    second.merge(summary, now_ms, told_by="first")


class PartTest(unittest.TestCase):
    """A part is refused once crashes of different requests have only it in common."""

    def setUp(self) -> None:
        self.decider = QuarantineDecider()

    def status(self, fingerprint: str, now_ms: int) -> QuarantineStatus:
        """Return the status of a fingerprint."""
        return self.decider.classify(fingerprint, now_ms)

    def test_part_of_two_requests_that_crashed_endpoints_is_refused(self) -> None:
        self.decider.record_success(SHARED, 0)
        crash(self.decider, "e1", 100, "r1", SHARED, BAD)
        self.assertIs(self.status(BAD, 100), QuarantineStatus.SUSPECT)
        crash(self.decider, "e2", 200, "r2", SHARED, BAD)
        self.assertIs(self.status(BAD, 200), QuarantineStatus.HELD)
        self.assertIs(self.status(BAD, 200 + SPREAD_MS), QuarantineStatus.QUARANTINED)
        for fingerprint in (SHARED, "r1", "r2"):
            self.assertFalse(self.decider.is_quarantined(fingerprint, 200 + SPREAD_MS))

    def test_repeated_request_is_refused_but_not_its_parts(self) -> None:
        crash(self.decider, "e1", 0, "r1", BAD)
        crash(self.decider, "e2", 100, "r1", BAD)
        self.assertIs(self.status("r1", 100), QuarantineStatus.HELD)
        self.assertIs(self.status(BAD, 100), QuarantineStatus.SUSPECT)

    def test_part_of_a_request_that_crashes_endpoints_is_not_refused_for_a_bystander(self) -> None:
        """No answer with the part was complete yet, and a sound request brought it to a crash."""
        crash(self.decider, "e0", 0, "bystander", SHARED)
        for number in range(4):
            crash(self.decider, f"e{number}", number, "r", SHARED)
        self.assertTrue(self.decider.is_quarantined("r", 4))
        self.assertFalse(self.decider.is_quarantined(SHARED, 4))

    def test_parts_that_always_come_together_are_refused_after_the_third_crash(self) -> None:
        for number in range(3):
            self.assertFalse(self.decider.is_quarantined(BAD, number))
            crash(self.decider, f"e{number}", number, f"r{number}", BAD, OTHER)
        self.assertIs(self.status(BAD, 2), QuarantineStatus.HELD)
        self.assertIs(self.status(OTHER, 2), QuarantineStatus.HELD)

    def test_part_that_complete_answers_carry_is_never_refused(self) -> None:
        for number in range(0, 60_000, 500):
            crash(self.decider, f"e{number}", number + 100, f"r{number}", SHARED)
            if number:
                self.assertIs(self.status(SHARED, number + 100), QuarantineStatus.CLEAR)
            self.decider.record_success(SHARED, number + 200)

    def test_request_that_waited_is_a_bystander_of_one_whose_answer_had_begun(self) -> None:
        for number in (1, 2):
            crash(self.decider, f"e{number}", number, "bystander", has_begun=False)
            crash(self.decider, f"e{number}", number, f"r{number}", BAD)
        self.assertIs(self.status(BAD, 2), QuarantineStatus.HELD)
        self.assertFalse(self.decider.is_quarantined("bystander", 2))

    def test_request_that_waited_at_two_crashes_is_not_refused_where_three_are_needed(self) -> None:
        decider = QuarantineDecider(limits=QuarantineLimits(min_waiting_crashes=3))
        for number in range(3):
            self.assertFalse(decider.is_quarantined("unlucky", number))
            crash(decider, f"e{number}", number, "unlucky", has_begun=False)
        self.assertTrue(decider.is_quarantined("unlucky", 2))

    def test_request_that_many_callers_send_is_not_refused_beside_another(self) -> None:
        """Its complete answers speak for it, so that it explains no crash."""
        decider = QuarantineDecider(limits=QuarantineLimits(request_innocent_ms=10_000))
        for fingerprint in ("popular", SHARED):
            decider.record_success(fingerprint, 0)
        for number in (1, 2):
            for request in ("popular", "culprit"):
                crash(decider, f"e{number}", number, request, SHARED)
        self.assertTrue(decider.is_quarantined("culprit", 2))
        self.assertFalse(decider.is_quarantined("popular", 2))

    def test_bystander_is_not_refused_when_the_culprit_crashes_many_more(self) -> None:
        """A part was in flight at two of eight crashes; its reports came first."""
        self.decider.record_success(SHARED, 0)
        for number in range(2):
            crash(self.decider, f"e{number}", 100 * number, f"b{number}", SHARED, OTHER)
            crash(self.decider, f"e{number}", 100 * number, f"r{number}", SHARED, BAD)
        for number in range(2, 8):
            crash(self.decider, f"e{number}", 100 * number, f"r{number}", SHARED, BAD)
        later_ms = 800 + SPREAD_MS
        self.assertIs(self.status(BAD, later_ms), QuarantineStatus.QUARANTINED)
        self.assertIs(self.status(OTHER, later_ms), QuarantineStatus.SUSPECT)

    def test_complete_answer_ends_a_wrong_quarantine(self) -> None:
        crash(self.decider, "e1", 0, "r1", SHARED)
        crash(self.decider, "e2", 0, "r2", SHARED)
        self.assertIs(self.status(SHARED, 5_000), QuarantineStatus.QUARANTINED)
        self.decider.record_success(SHARED, 5_000)
        self.assertIs(self.status(SHARED, 5_000), QuarantineStatus.CLEAR)

    def test_retracted_crash_ends_what_follows_from_it(self) -> None:
        crash(self.decider, "e1", 0, "r1", BAD)
        crash(self.decider, "e2", 0, "r2", BAD)
        self.decider.retract_crash(EndpointId("e1"), 0, 3_000)
        self.assertFalse(self.decider.is_quarantined(BAD, 3_000))
        crash(self.decider, "e3", 3_100, "r3", BAD)
        crash(self.decider, "e4", 3_100, "r4", BAD)
        self.assertTrue(self.decider.is_quarantined(BAD, 3_100))

    def test_completed_parts_are_bounded(self) -> None:
        decider = QuarantineDecider(limits=QuarantineLimits(max_completed=4))
        for number in range(100):
            decider.record_success(part_fingerprint(str(number)), number)
        self.assertEqual(len(decider._completed_ms), 4)
        self.assertTrue(decider.is_empty)


class FleetTest(unittest.TestCase):
    """What several VMs know adds up."""

    def setUp(self) -> None:
        self.first, self.second = QuarantineDecider(), QuarantineDecider()

    def test_crashes_that_different_vms_saw_add_up(self) -> None:
        crash(self.first, "e1", 0, "r1", BAD)
        crash(self.second, "e2", 50, "r2", BAD)
        exchange(self.first, self.second, 100)
        for decider in (self.first, self.second):
            self.assertTrue(decider.is_quarantined(BAD, 100))
            told_by = {item.told_by for item in decider.find_crashes(BAD)}
            self.assertEqual(len(told_by), 2)

    def test_complete_answer_at_another_vm_ends_a_hold(self) -> None:
        self.second.record_success(SHARED, 0)
        crash(self.first, "e1", 100, "r1", SHARED)
        crash(self.first, "e2", 100, "r2", SHARED)
        self.assertTrue(self.first.is_quarantined(SHARED, 100))
        exchange(self.first, self.second, 200)
        exchange(self.first, self.second, 300)
        for decider in (self.first, self.second):
            self.assertIs(decider.classify(SHARED, 300), QuarantineStatus.CLEAR)

    def test_vm_started_anew_does_not_accuse_a_bystander_of_what_is_quarantined(self) -> None:
        """It learns what explains the crashes that it is told of."""
        for number in range(2):
            crash(self.first, f"e{number}", 100 * number, f"b{number}", SHARED, OTHER)
            crash(self.first, f"e{number}", 100 * number, f"r{number}", SHARED, BAD)
        crash(self.first, "e2", 200, "r2", SHARED, BAD)
        start_ms = 200 + SPREAD_MS
        self.assertIs(self.first.classify(BAD, start_ms), QuarantineStatus.QUARANTINED)
        anew = QuarantineDecider()
        for now_ms in range(start_ms, start_ms + 4 * SPREAD_MS, 200):
            exchange(self.first, anew, now_ms)
        for decider in (self.first, anew):
            self.assertIs(decider.classify(BAD, now_ms), QuarantineStatus.QUARANTINED)
            self.assertIs(decider.classify(OTHER, now_ms), QuarantineStatus.SUSPECT)

    def test_complete_answers_are_not_told_on_for_ever(self) -> None:
        """Answers with the shared part complete at both VMs all the time."""
        first, second = QuarantineDecider(), QuarantineDecider()
        crash(first, "e1", 100, "r1", SHARED, BAD)
        exchange(first, second, 150)
        for now_ms in range(200, 60_000, 200):
            for decider in (first, second):
                decider.record_success(SHARED, now_ms + 10 * (decider is second))
            exchange(first, second, now_ms + 20)
        for decider in (first, second):
            self.assertFalse(decider.has_unsent_evidence(60_000))

    def test_vm_started_anew_learns_the_quarantine(self) -> None:
        crash(self.first, "e1", 0, "r1", BAD)
        crash(self.first, "e2", 0, "r2", BAD)
        self.assertTrue(self.first.is_quarantined(BAD, 20_000))
        self.second.merge(self.first.summary(20_000), 20_000)
        self.assertTrue(self.second.is_quarantined(BAD, 20_000))


class EndTest(unittest.TestCase):
    """A quarantine lasts while requests come, and costs the fleet two requests at most."""

    def setUp(self) -> None:
        self.decider = QuarantineDecider()
        crash(self.decider, "e1", 0, "r1", BAD)
        crash(self.decider, "e2", 0, "r2", BAD)
        self.start_ms = SPREAD_MS
        self.assertTrue(self.decider.is_quarantined(BAD, self.start_ms))

    def test_quarantine_lasts_while_requests_come(self) -> None:
        end_ms = 3 * LIMITS.quarantine_lifetime_ms
        for now_ms in range(self.start_ms, end_ms, 100_000):
            self.assertTrue(self.decider.is_quarantined(BAD, now_ms))
            self.decider.record_refused(BAD, now_ms)
        silent_ms = end_ms + LIMITS.quarantine_lifetime_ms
        self.assertFalse(self.decider.is_quarantined(BAD, silent_ms))

    def test_last_refusal_at_another_vm_counts(self) -> None:
        other = QuarantineDecider()
        other.merge(self.decider.summary(self.start_ms), self.start_ms)
        later_ms = LIMITS.quarantine_lifetime_ms
        other.record_refused(BAD, later_ms)
        self.decider.merge(other.summary(later_ms), later_ms)
        self.assertTrue(self.decider.is_quarantined(BAD, later_ms + self.start_ms))

    def test_two_requests_are_let_through_in_the_whole_fleet(self) -> None:
        other = QuarantineDecider()
        probes = 0
        for now_ms in range(self.start_ms, 2_000_000, 1_000):
            exchange(self.decider, other, now_ms)
            chosen = other if now_ms % 100_000 < 50_000 else self.decider
            probes += chosen.try_probe(BAD, now_ms)
            self.decider.record_refused(BAD, now_ms)
        self.assertEqual(probes, LIMITS.max_probes)

    def test_probe_that_succeeds_ends_the_quarantine_everywhere(self) -> None:
        other = QuarantineDecider()
        other.merge(self.decider.summary(self.start_ms), self.start_ms)
        now_ms = self.start_ms + LIMITS.probe_after_ms
        self.assertFalse(self.decider.try_probe(BAD, now_ms - 1))
        self.assertTrue(self.decider.try_probe(BAD, now_ms))
        self.decider.record_success(BAD, now_ms + 10)
        other.merge(self.decider.summary(now_ms + 10), now_ms + 10)
        for decider in (self.decider, other):
            self.assertFalse(decider.is_quarantined(BAD, now_ms + 10))


if __name__ == "__main__":
    unittest.main()
