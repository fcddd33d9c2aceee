"""Tests of the composed decider where its components interact.

A wrong order between them would send a request twice or report a false outcome to its caller.
"""

from __future__ import annotations

import unittest

from tests.wagtailusher_router.node import RouterDriver, endpoint, new_router, policy
from wagtailusher_core import EndpointId, FailureDomainId, Outcome, RequestId
from wagtailusher_placement import AttemptResult
from wagtailusher_quarantine import QuarantineDecider


class RouterDeciderTest(unittest.TestCase):
    """Retries, resumes, repeats, drains and quarantine of one node."""

    def setUp(self) -> None:
        self.router = new_router()
        self.driver = RouterDriver(self.router)
        self.driver.apply(self.router.update_endpoints([endpoint("e1"), endpoint("e2")], 0))

    def test_failed_attempt_goes_to_another_endpoint_until_attempts_end(self) -> None:
        request_id = self.driver.submit_request("r", policy(), 0)
        first = self.driver.running[request_id].endpoint_id
        self.driver.send(request_id, 1)
        self.driver.fail(request_id, AttemptResult.FAILED, 2)
        second = self.driver.running[request_id]
        self.assertNotEqual(second.endpoint_id, first)
        self.assertEqual(second.attempt, 2)
        self.driver.send(request_id, 3)
        self.driver.fail(request_id, AttemptResult.FAILED, 4)
        self.assertNotIn(request_id, self.driver.running)

    def test_unsent_attempt_is_not_run(self) -> None:
        self.driver.apply(self.router.update_endpoints([endpoint("e1")], 0))
        request_id = self.driver.submit_request("r", policy(), 0)
        self.driver.fail(request_id, AttemptResult.FAILED, 1)
        self.driver.apply(self.router.tick(1_500))
        self.assertEqual(self.driver.outcomes[request_id], Outcome.NOT_RUN)

    def test_relayed_stream_is_resumed_at_its_endpoint_and_never_restarted_elsewhere(self) -> None:
        for name, result in (("r", AttemptResult.SILENT), ("s", AttemptResult.BROKEN)):
            with self.subTest(result=result):
                request_id = self.driver.submit_request(name, policy(), 0)
                first = self.driver.running[request_id]
                self.driver.send(request_id, 1)
                self.router.record_first_token(request_id, 2)
                self.router.record_progress(request_id, 5, 3)
                self.driver.fail(request_id, result, 4)
                resumed = self.driver.running[request_id]
                self.assertEqual((resumed.endpoint_id, resumed.resume_from), (first.endpoint_id, 5))
                self.driver.fail(request_id, AttemptResult.CRASHED, 5)
                self.assertEqual(self.driver.outcomes[request_id], Outcome.UNKNOWN)

    def test_unrepeatable_request_is_sent_once_and_its_outcome_is_reported_to_repeats(self) -> None:
        once_policy = policy(0, repeatable=False)
        ticket = self.driver.ticket_issuer.issue(0)
        leader = self.driver.submit_request("r1", once_policy, 0, ticket=ticket)
        follower = self.driver.submit_request("r2", once_policy, 1, ticket=ticket)
        self.assertTrue(self.driver.send(leader, 2))
        self.assertNotIn(follower, self.driver.running)
        self.driver.fail(leader, AttemptResult.CRASHED, 3)
        late = self.driver.submit_request("r3", once_policy, 4, ticket=ticket)
        for request_id in (leader, follower, late):
            self.assertEqual(self.driver.outcomes[request_id], Outcome.UNKNOWN)
        self.assertEqual(sum(self.driver.sent.values()), 1)

    def test_ticket_that_expired_before_the_first_byte_prevents_the_send(self) -> None:
        once_policy = policy(0, repeatable=False)
        ticket = self.driver.ticket_issuer.issue(0)
        request_id = self.driver.submit_request("r1", once_policy, 0, ticket=ticket)
        self.assertIn(request_id, self.driver.running)
        self.assertFalse(self.driver.send(request_id, 60_001))
        self.assertEqual(sum(self.driver.sent.values()), 0)

    def test_request_is_sent_once_for_each_dispatch(self) -> None:
        request_id = self.driver.submit_request("r1", policy(), 0)
        self.assertTrue(self.driver.send(request_id, 1))
        self.assertFalse(self.driver.router.may_send(request_id, 2))

    def test_caller_that_leaves_does_not_end_a_request_that_others_wait_for(self) -> None:
        once_policy = policy(0, repeatable=False)
        ticket = self.driver.ticket_issuer.issue(0)
        leader = self.driver.submit_request("r1", once_policy, 0, ticket=ticket)
        follower = self.driver.submit_request("r2", once_policy, 1, ticket=ticket)
        self.assertEqual(self.router.handle_caller_disconnect(leader, 2), ())
        self.assertTrue(self.driver.send(leader, 3))
        self.driver.complete(leader, 4)
        self.assertEqual(self.driver.results[follower], ["replayed"])

    def test_isolated_node_refuses_new_requests(self) -> None:
        held = self.driver.submit_request("r1", policy(), 0)
        self.router.set_isolated(True)
        refused = self.driver.submit_request("r2", policy(), 1)
        self.assertEqual(self.driver.results[refused], ["not_ready"])
        self.assertEqual(self.driver.outcomes[refused], Outcome.NOT_RUN)
        self.assertTrue(self.driver.send(held, 2))

    def test_draining_node_reports_true_outcomes_to_repeats(self) -> None:
        once_policy = policy(0, repeatable=False)
        ticket = self.driver.ticket_issuer.issue(0)
        first = self.driver.submit_request("r1", once_policy, 0, ticket=ticket)
        self.driver.send(first, 1)
        self.router.start_draining()
        self.driver.fail(first, AttemptResult.SILENT, 2)
        repeat = self.driver.submit_request("r2", once_policy, 3, ticket=ticket)
        self.assertEqual(self.driver.outcomes[repeat], Outcome.UNKNOWN)
        new = self.driver.submit_request(
            "r3", once_policy, 4, ticket=self.driver.ticket_issuer.issue(4)
        )
        self.assertEqual(self.driver.results[new], ["draining"])
        self.assertEqual(self.driver.outcomes[new], Outcome.NOT_RUN)

    def test_drained_domain_gets_no_request_that_was_dispatched_before(self) -> None:
        request_id = self.driver.submit_request("r", policy(), 0)
        self.driver.apply(self.router.update_drained_domains([FailureDomainId("a")], 1))
        self.assertFalse(self.driver.send(request_id, 2))
        self.assertEqual(self.driver.sent[request_id], 0)

    def test_request_that_crashes_two_endpoints_is_quarantined(self) -> None:
        names = [f"e{number}" for number in range(6)]
        self.driver.apply(self.router.update_endpoints(map(endpoint, names), 0))
        crashed = set()
        for number in range(6):
            now_ms = number * 3_000
            request_id = self.driver.submit_request(
                f"r{number}", policy(), now_ms, fingerprint="bad"
            )
            while request_id in self.driver.running:
                crashed.add(self.driver.running[request_id].endpoint_id)
                self.driver.send(request_id, now_ms + 1)
                self.driver.fail(request_id, AttemptResult.CRASHED, now_ms + 2)
        self.assertLessEqual(len(crashed), 2)
        self.assertEqual(self.driver.results[RequestId("r5")], ["quarantined"])

    def test_quarantined_request_is_refused_on_arrival_though_every_slot_is_in_use(self) -> None:
        self.driver.apply(self.router.update_endpoints([endpoint("e0", limit=1)], 0))
        peer = QuarantineDecider()
        for name in ("e1", "e2"):
            peer.record_crash("bad", EndpointId(name), 2)
        self.router.merge_quarantine(peer.summary(3), 3)
        holder = self.driver.submit_request("holder", policy(), 4)
        self.assertTrue(self.driver.send(holder, 4))
        waiting = self.driver.submit_request("waiting", policy(), 5)
        self.assertEqual(self.driver.results[waiting], [])
        refused = self.driver.submit_request("refused", policy(), 6, fingerprint="bad")
        self.assertEqual(self.driver.results[refused], ["quarantined"])
        self.assertEqual(self.driver.outcomes[refused], Outcome.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
