"""Tests of the results of the at-most-once decider.

Guards against a retry that runs again or gets a wrong outcome, at each state of its record, and
against a key that runs at a VM that may not have been its only home.
"""

from __future__ import annotations

import unittest
from uuid import UUID

from wagtailusher_core import (
    ErrorCode,
    FailureDomainId,
    Incarnation,
    PublishedVm,
    VmId,
    WorkspaceId,
)
from wagtailusher_once import (
    AlreadyRefused,
    AnswerEvicted,
    BodyConflict,
    ForwardTo,
    InProgress,
    OnceDecider,
    OnceLimits,
    OutcomeUnknown,
    Replay,
    RunHere,
    StoredAnswer,
    Submission,
    Ticket,
)

HOME = VmId("vm1")
INCARNATION = Incarnation(7)
WORKSPACE = WorkspaceId("w")
WALL_MS = 1_700_000_000_000
LIMITS = OnceLimits(
    max_records=3,
    max_answer_bytes=8,
    max_answers_bytes=10,
    max_clock_skew_ms=100,
    key_lifetime_ms=20_000,
    max_list_lag_ms=500,
    max_list_age_ms=400,
)
ANSWER = StoredAnswer(status=200, body=b"booked")


def _make_decider() -> OnceDecider:
    """Return a decider with low limits."""
    return OnceDecider(vm_id=HOME, incarnation=INCARNATION, limits=LIMITS)


def _make_ticket(
    nonce: str = "a",
    *,
    home: VmId = HOME,
    incarnation: Incarnation = INCARNATION,
    remaining_ms: int = 1_000,
    expires_ms: int = 1_000,
) -> Ticket:
    """Return a ticket as its verification would."""
    return Ticket(
        home_id=home,
        incarnation=incarnation,
        nonce=nonce,
        expires_wall_ms=WALL_MS + expires_ms,
        remaining_ms=remaining_ms,
    )


def _make_vms(*names: str) -> tuple[PublishedVm, ...]:
    """Return a published list."""
    return tuple(
        PublishedVm(
            vm_id=VmId(name),
            address=f"{name}:1",
            peer_address=f"{name}:2",
            failure_domain_id=FailureDomainId("a"),
        )
        for name in names
    )


class TicketSubmissionTest(unittest.TestCase):
    """Only the incarnation that issued a ticket runs it, once."""

    def setUp(self) -> None:
        self.decider = _make_decider()

    def _run(self, nonce: str, now_ms: int) -> str:
        """Accept and dispatch a request."""
        submission = self.decider.submit(_make_ticket(nonce), b"x", now_ms)
        assert isinstance(submission, RunHere)
        self.assertTrue(self.decider.dispatch(submission.ticket_id, now_ms))
        return submission.ticket_id

    def test_other_node_forwards_and_other_incarnation_reports_unknown(self) -> None:
        forward = self.decider.submit(_make_ticket(home=VmId("vm2")), b"x", 0)
        self.assertEqual(forward, ForwardTo(home_id=VmId("vm2"), incarnation=INCARNATION))
        home_gone = self.decider.submit(_make_ticket(incarnation=Incarnation(6)), b"x", 0)
        self.assertEqual(home_gone, OutcomeUnknown(code=ErrorCode.HOME_GONE))

    def test_retry_gets_the_state_of_the_first_attempt(self) -> None:
        ticket_id = self._run("a", 0)
        self.assertFalse(self.decider.dispatch(ticket_id, 0))
        progress = self.decider.submit(_make_ticket(), b"x", 1)
        self.assertEqual(progress, InProgress(ticket_id=ticket_id, dispatched=True))
        self.assertIsInstance(self.decider.submit(_make_ticket(), b"y", 1), BodyConflict)
        self.decider.fail(ticket_id, 2)
        self.assertIsInstance(self.decider.submit(_make_ticket(), b"x", 2), OutcomeUnknown)
        self.decider.complete(ticket_id, ANSWER, 3)
        replay = self.decider.submit(_make_ticket(), b"x", 4)
        self.assertEqual(replay, Replay(ticket_id=ticket_id, answer=ANSWER))

    def test_refusal_is_final_and_impossible_after_dispatch(self) -> None:
        submission = self.decider.submit(_make_ticket(), b"x", 0)
        assert isinstance(submission, RunHere)
        self.assertTrue(self.decider.refuse(submission.ticket_id, 1, ErrorCode.SHED))
        self.assertFalse(self.decider.dispatch(submission.ticket_id, 1))
        refused = self.decider.submit(_make_ticket(), b"x", 2)
        self.assertEqual(
            refused, AlreadyRefused(ticket_id=submission.ticket_id, code=ErrorCode.SHED)
        )
        self.assertFalse(self.decider.refuse(self._run("b", 2), 3))

    def test_handed_over_request_runs_at_its_successor_only(self) -> None:
        submission = self.decider.submit(_make_ticket(), b"x", 0)
        assert isinstance(submission, RunHere)
        successor = ForwardTo(home_id=VmId("vm2"), ticket="minted there")
        self.assertTrue(self.decider.hand_over(submission.ticket_id, successor, 1))
        self.assertFalse(self.decider.hand_over(submission.ticket_id, successor, 1))
        self.assertFalse(self.decider.dispatch(submission.ticket_id, 1))
        self.assertFalse(self.decider.refuse(submission.ticket_id, 1))
        self.assertEqual(self.decider.submit(_make_ticket(), b"x", 2), successor)
        self.assertFalse(self.decider.hand_over(self._run("b", 2), successor, 3))

    def test_answers_are_evicted_and_their_records_are_not(self) -> None:
        first_id = self._run("a", 0)
        self.decider.complete(first_id, ANSWER, 0)
        self.decider.complete(self._run("b", 0), ANSWER, 0)
        evicted = self.decider.submit(_make_ticket("a"), b"x", 1)
        self.assertEqual(evicted, AnswerEvicted(ticket_id=first_id))
        self.assertLessEqual(self.decider.answer_bytes, LIMITS.max_answers_bytes)
        long_id = self._run("c", 1)
        self.decider.complete(long_id, StoredAnswer(status=200, body=b"much too long"), 1)
        self.assertIsInstance(self.decider.submit(_make_ticket("c"), b"x", 1), AnswerEvicted)
        self.assertIsInstance(self.decider.submit(_make_ticket("b"), b"x", 1), Replay)

    def test_full_records_refuse_permanently(self) -> None:
        for nonce in "abc":
            self._run(nonce, 0)
        refused = self.decider.submit(_make_ticket("d"), b"x", 0)
        self.assertIsInstance(refused, AlreadyRefused)
        self.decider.expire(10_000)
        self.assertEqual(self.decider.record_count, 0)
        self.assertIsInstance(self.decider.submit(_make_ticket("d"), b"x", 0), OutcomeUnknown)

    def test_lifetime_is_checked_again_before_sending(self) -> None:
        ticket_id = self._run("a", 0)
        self.assertTrue(self.decider.may_send(ticket_id, 999))
        self.assertFalse(self.decider.may_send(ticket_id, 1_000))
        self.assertIsInstance(self.decider.submit(_make_ticket("b"), b"x", 0), RunHere)
        self.assertFalse(self.decider.dispatch(_make_ticket("b").ticket_id, 1_000))
        self.assertIsInstance(self.decider.submit(_make_ticket("b"), b"x", 1_000), AlreadyRefused)

    def test_expired_record_does_not_run_again_when_the_clock_is_set_back(self) -> None:
        self._run("a", 0)
        self.decider.expire(5_000)
        resubmitted = self.decider.submit(_make_ticket(remaining_ms=900), b"x", 5_000)
        self.assertEqual(resubmitted, OutcomeUnknown(code=ErrorCode.TICKET_EXPIRED))


class KeySubmissionTest(unittest.TestCase):
    """A key runs only at a VM that was its home for long enough before the first attempt."""

    def setUp(self) -> None:
        self.decider = _make_decider()
        self.vms = _make_vms(HOME)
        for now_ms in range(0, 5_000, 200):
            self.decider.update_published(self.vms, now_ms, observed_ms=now_ms)

    def _submit(
        self, first_sent_ms: int, *, now_ms: int = 5_000, first: bool = False, key: str = "k"
    ) -> Submission:
        """Submit a key whose wall time equals the monotonic time."""
        return self.decider.submit_key(
            WORKSPACE,
            key,
            b"x",
            self.vms,
            now_ms,
            now_wall_ms=WALL_MS + now_ms,
            first_sent_wall_ms=WALL_MS + first_sent_ms,
            first_attempt=first,
            published_observed_ms=4_900,
        )

    def test_limits_of_the_first_attempt_time(self) -> None:
        settled_ms = LIMITS.settling_ms
        self.assertEqual(settled_ms, 2_000)
        unknown = OutcomeUnknown(code=ErrorCode.KEY_NOT_SETTLED)
        self.assertEqual(self._submit(settled_ms - 1), unknown)
        self.assertIsInstance(self._submit(settled_ms - 1, first=True), AlreadyRefused)
        self.assertEqual(self._submit(5_101), unknown)
        self.assertEqual(self._submit(4_000, now_ms=5_301), unknown)
        self.assertIsInstance(self._submit(settled_ms), RunHere)

    def test_gap_between_list_reads_restarts_the_settling_period(self) -> None:
        self.decider.update_published(self.vms, 5_300, observed_ms=5_300)
        self.assertIsInstance(self._submit(4_000, now_ms=5_400), OutcomeUnknown)

    def test_key_of_a_departed_vm_needs_a_new_settling_period(self) -> None:
        self.vms = _make_vms(HOME, "vm2")
        self.decider.update_published(self.vms, 4_900, observed_ms=4_900)
        keys = [f"k{number}" for number in range(50)]
        forwarded = [key for key in keys if isinstance(self._submit(4_900, key=key), ForwardTo)]
        self.assertTrue(0 < len(forwarded) < len(keys))
        self.vms = _make_vms(HOME)
        resubmitted = [self._submit(4_900, key=key) for key in forwarded]
        self.assertEqual({type(submission) for submission in resubmitted}, {OutcomeUnknown})

    def test_key_without_a_first_attempt_time_is_refused(self) -> None:
        untimed = self.decider.submit_key(
            WORKSPACE, "k", b"x", self.vms, 5_000, now_wall_ms=WALL_MS
        )
        self.assertEqual(untimed, AlreadyRefused(code=ErrorCode.TICKET_REQUIRED))

    def test_first_attempt_time_from_a_version_7_uuid(self) -> None:
        key = str(UUID(int=(WALL_MS + 4_000) << 80 | 7 << 76 | 2 << 62))
        timed = self.decider.submit_key(
            WORKSPACE,
            key,
            b"x",
            self.vms,
            5_000,
            now_wall_ms=WALL_MS + 5_000,
            published_observed_ms=4_900,
        )
        self.assertIsInstance(timed, RunHere)
