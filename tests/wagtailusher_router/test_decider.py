"""Tests of the composed decider at the points where its parts meet."""

from __future__ import annotations

import unittest

from tests.wagtailusher_router.node import Recorder, endpoint, new_router, policy
from wagtailusher_core import EndpointId, FailureDomainId, Outcome, RequestId
from wagtailusher_once import QuarantineDecider
from wagtailusher_placement import AttemptResult


class RouterDeciderTest(unittest.TestCase):
    """Retries, resumes, repeats, drains and quarantine of one node."""

    def setUp(self) -> None:
        self.router = new_router()
        self.recorder = Recorder(self.router)
        self.recorder.take(self.router.update_endpoints([endpoint("e1"), endpoint("e2")], 0))

    def test_failed_attempt_goes_to_another_endpoint_until_attempts_end(self) -> None:
        request_id = self.recorder.arrive("r", policy(), 0)
        first = self.recorder.running[request_id].endpoint_id
        self.recorder.send(request_id, 1)
        self.recorder.fail(request_id, AttemptResult.FAILED, 2)
        second = self.recorder.running[request_id]
        self.assertNotEqual(second.endpoint_id, first)
        self.assertEqual(second.attempt, 2)
        self.recorder.send(request_id, 3)
        self.recorder.fail(request_id, AttemptResult.FAILED, 4)
        self.assertNotIn(request_id, self.recorder.running)

    def test_unsent_attempt_is_not_run(self) -> None:
        self.recorder.take(self.router.update_endpoints([endpoint("e1")], 0))
        request_id = self.recorder.arrive("r", policy(), 0)
        self.recorder.fail(request_id, AttemptResult.FAILED, 1)
        self.recorder.take(self.router.tick(1_500))
        self.assertEqual(self.recorder.outcomes[request_id], Outcome.NOT_RUN)

    def test_relayed_stream_is_resumed_at_its_endpoint_and_never_begun_elsewhere(self) -> None:
        request_id = self.recorder.arrive("r", policy(), 0)
        first = self.recorder.running[request_id]
        self.recorder.send(request_id, 1)
        self.router.record_first_token(request_id, 2)
        self.router.record_progress(request_id, 5, 3)
        self.recorder.fail(request_id, AttemptResult.SILENT, 4)
        resumed = self.recorder.running[request_id]
        self.assertEqual((resumed.endpoint_id, resumed.resume_from), (first.endpoint_id, 5))
        self.recorder.fail(request_id, AttemptResult.CRASHED, 5)
        self.assertEqual(self.recorder.outcomes[request_id], Outcome.UNKNOWN)

    def test_unrepeatable_request_is_sent_once_and_its_end_is_told_to_repeats(self) -> None:
        once = policy(0, repeatable=False)
        ticket = self.recorder.ticket_issuer.issue(0)
        leader = self.recorder.arrive("r1", once, 0, ticket=ticket)
        follower = self.recorder.arrive("r2", once, 1, ticket=ticket)
        self.assertTrue(self.recorder.send(leader, 2))
        self.assertNotIn(follower, self.recorder.running)
        self.recorder.fail(leader, AttemptResult.CRASHED, 3)
        late = self.recorder.arrive("r3", once, 4, ticket=ticket)
        for request_id in (leader, follower, late):
            self.assertEqual(self.recorder.outcomes[request_id], Outcome.UNKNOWN)
        self.assertEqual(sum(self.recorder.sent.values()), 1)

    def test_ticket_that_ended_before_the_first_byte_bars_the_send(self) -> None:
        once = policy(0, repeatable=False)
        ticket = self.recorder.ticket_issuer.issue(0)
        request_id = self.recorder.arrive("r1", once, 0, ticket=ticket)
        self.assertIn(request_id, self.recorder.running)
        self.assertFalse(self.recorder.send(request_id, 60_001))
        self.assertEqual(sum(self.recorder.sent.values()), 0)

    def test_request_is_sent_once_for_each_dispatch(self) -> None:
        request_id = self.recorder.arrive("r1", policy(), 0)
        self.assertTrue(self.recorder.send(request_id, 1))
        self.assertFalse(self.recorder.router.may_send(request_id, 2))

    def test_caller_that_leaves_does_not_end_a_request_that_others_wait_for(self) -> None:
        once = policy(0, repeatable=False)
        ticket = self.recorder.ticket_issuer.issue(0)
        leader = self.recorder.arrive("r1", once, 0, ticket=ticket)
        follower = self.recorder.arrive("r2", once, 1, ticket=ticket)
        self.assertEqual(self.router.handle_caller_disconnect(leader, 2), ())
        self.assertTrue(self.recorder.send(leader, 3))
        self.recorder.complete(leader, 4)
        self.assertEqual(self.recorder.ends[follower], ["replayed"])

    def test_isolated_node_takes_nothing_new(self) -> None:
        held = self.recorder.arrive("r1", policy(), 0)
        self.router.set_isolated(True)
        refused = self.recorder.arrive("r2", policy(), 1)
        self.assertEqual(self.recorder.ends[refused], ["not_ready"])
        self.assertEqual(self.recorder.outcomes[refused], Outcome.NOT_RUN)
        self.assertTrue(self.recorder.send(held, 2))

    def test_draining_node_answers_repeats_truthfully(self) -> None:
        once = policy(0, repeatable=False)
        ticket = self.recorder.ticket_issuer.issue(0)
        first = self.recorder.arrive("r1", once, 0, ticket=ticket)
        self.recorder.send(first, 1)
        self.router.start_draining()
        self.recorder.fail(first, AttemptResult.SILENT, 2)
        repeat = self.recorder.arrive("r2", once, 3, ticket=ticket)
        self.assertEqual(self.recorder.outcomes[repeat], Outcome.UNKNOWN)
        new = self.recorder.arrive("r3", once, 4, ticket=self.recorder.ticket_issuer.issue(4))
        self.assertEqual(self.recorder.ends[new], ["draining"])
        self.assertEqual(self.recorder.outcomes[new], Outcome.NOT_RUN)

    def test_drained_domain_gets_nothing_that_was_dispatched_before(self) -> None:
        request_id = self.recorder.arrive("r", policy(), 0)
        self.recorder.take(self.router.update_drained_domains([FailureDomainId("a")], 1))
        self.assertFalse(self.recorder.send(request_id, 2))
        self.assertEqual(self.recorder.sent[request_id], 0)

    def test_request_that_crashes_two_endpoints_is_quarantined(self) -> None:
        names = [f"e{number}" for number in range(6)]
        self.recorder.take(self.router.update_endpoints(map(endpoint, names), 0))
        crashed = set()
        for number in range(6):
            now_ms = number * 3_000
            request_id = self.recorder.arrive(f"r{number}", policy(), now_ms, fingerprint="bad")
            while request_id in self.recorder.running:
                crashed.add(self.recorder.running[request_id].endpoint_id)
                self.recorder.send(request_id, now_ms + 1)
                self.recorder.fail(request_id, AttemptResult.CRASHED, now_ms + 2)
        self.assertLessEqual(len(crashed), 2)
        self.assertEqual(self.recorder.ends[RequestId("r5")], ["quarantined"])

    def test_quarantined_request_is_refused_on_arrival_though_every_place_is_taken(self) -> None:
        self.recorder.take(self.router.update_endpoints([endpoint("e0", limit=1)], 0))
        peer = QuarantineDecider()
        for name in ("e1", "e2"):
            peer.record_crash("bad", EndpointId(name), 2)
        self.router.merge_quarantine(peer.summary(3), 3)
        holder = self.recorder.arrive("holder", policy(), 4)
        self.assertTrue(self.recorder.send(holder, 4))
        waiting = self.recorder.arrive("waiting", policy(), 5)
        self.assertEqual(self.recorder.ends[waiting], [])
        refused = self.recorder.arrive("refused", policy(), 6, fingerprint="bad")
        self.assertEqual(self.recorder.ends[refused], ["quarantined"])
        self.assertEqual(self.recorder.outcomes[refused], Outcome.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
