"""Tests of what the gateway sends to endpoints that went silent."""

from __future__ import annotations

import unittest

from tests.wagtailusher_gateway.builders import endpoint, view
from wagtailusher_core import EndpointId
from wagtailusher_gateway.endpoint_registry import EndpointRegistry
from wagtailusher_gateway.models import Endpoint
from wagtailusher_liveness import Liveness

SILENCE_MS = 200
TICK_MS = 50


class SilentEndpointsTest(unittest.TestCase):
    """Guards against requests to silent endpoints, and against having none to send to."""

    def setUp(self) -> None:
        self.registry = EndpointRegistry()
        self.view = view(endpoint(1), endpoint(2), endpoint(3))
        self.registry.update(self.view, 0)

    def usable_ids(self, now_ms: int) -> set[EndpointId]:
        """Return the endpoints that may get requests."""
        usable = self.registry.usable_endpoints("engines", self.view, now_ms)
        return {tracked.endpoint.endpoint_id for tracked in usable}

    def suspect(self, target: Endpoint) -> None:
        """Let an endpoint's only stream fall silent."""
        liveness = self.registry.liveness
        liveness.record_sent(target.endpoint_id, target.born_ms, 0)
        liveness.record_begun(target.endpoint_id, target.born_ms, 0)
        for now_ms in range(0, 2 * SILENCE_MS + 1, TICK_MS):
            liveness.tick(now_ms)
        self.assertIs(liveness.state(target.endpoint_id), Liveness.SUSPECTED)

    def test_unreachable_endpoint_gets_nothing_until_a_check_is_answered(self) -> None:
        self.registry.record_unreachable(EndpointId("i-1"), 0)
        self.assertEqual(self.usable_ids(60_000), {"i-2", "i-3"})
        self.registry.liveness.record_check(EndpointId("i-1"), 1, 60_000, is_answered=True)
        self.assertEqual(self.usable_ids(60_000), {"i-1", "i-2", "i-3"})

    def test_suspected_endpoint_gets_nothing_while_others_answer(self) -> None:
        self.suspect(self.view.endpoints[EndpointId("i-1")])
        self.assertEqual(self.usable_ids(2 * SILENCE_MS), {"i-2", "i-3"})

    def test_suspected_endpoint_is_used_before_unresponsive_ones(self) -> None:
        for name in ("i-2", "i-3"):
            self.registry.record_unreachable(EndpointId(name), 0)
        self.suspect(self.view.endpoints[EndpointId("i-1")])
        self.assertEqual(self.usable_ids(2 * SILENCE_MS), {"i-1"})

    def test_all_endpoints_are_tried_when_none_answers(self) -> None:
        for name in ("i-1", "i-2", "i-3"):
            self.registry.record_unreachable(EndpointId(name), 0)
        self.assertEqual(self.usable_ids(100), {"i-1", "i-2", "i-3"})


if __name__ == "__main__":
    unittest.main()
