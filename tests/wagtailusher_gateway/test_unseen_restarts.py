"""Tests of endpoints that restart while the view of the platform can't show it.

They guard against a warm load for an endpoint that is back cold, and against streams that go on at
another software version.
"""

from __future__ import annotations

import unittest

from tests.wagtailusher_gateway.builders import ENGINES, VM_IDS, endpoint, view
from wagtailusher_core import EndpointId
from wagtailusher_gateway.const import ASSUMED_COLD_MS, ENTRY_LAPSE_MS, VIEW_DELAY_MS
from wagtailusher_gateway.endpoint_registry import EndpointRegistry
from wagtailusher_gateway.models import FleetView
from wagtailusher_liveness import Liveness, LivenessChange

CRASHED = EndpointId("i-1")
AT_MS = 10_000
VERSION = "v1"


def change(state: Liveness, *, told: bool = False, in_flight: int = 0) -> LivenessChange:
    """Return a change of the endpoint's liveness, told by a peer or found by this VM."""
    return LivenessChange(
        endpoint_id=CRASHED,
        state=state,
        silent_ms=0,
        in_flight=in_flight,
        told_by=VM_IDS[1] if told else None,
    )


class UnseenRestartTest(unittest.TestCase):
    """Two warm endpoints; signs tell that the first may have restarted."""

    def setUp(self) -> None:
        self.endpoints = [endpoint(number, software_version=VERSION) for number in (1, 2)]
        self.registry = EndpointRegistry()
        self.view = self.confirmed(AT_MS)

    def confirmed(self, confirmed_ms: int) -> FleetView:
        """Apply and return the view as it is confirmed at a time."""
        self.view = view(*self.endpoints, confirmed_ms=confirmed_ms)
        self.registry.update(self.view, confirmed_ms)
        return self.view

    def is_cold(self, now_ms: int) -> bool:
        """Return whether the endpoint is treated as cold while the view is not old."""
        tracked = self.registry.get(CRASHED)
        assert tracked is not None
        is_outdated = not tracked.has_current_entry(self.view, now_ms)
        return self.registry.is_cold(tracked, ENGINES, now_ms, view_stale=is_outdated)

    def takes_streams_up(self, now_ms: int) -> bool:
        """Return whether a stream of the known version may go on at the endpoint."""
        usable = self.registry.usable_endpoints("engines", self.view, now_ms, VERSION)
        return CRASHED in {tracked.endpoint.endpoint_id for tracked in usable}

    def check_unknown(self, now_ms: int) -> None:
        self.assertTrue(self.is_cold(now_ms))
        self.assertFalse(self.takes_streams_up(now_ms))
        self.assertEqual(self.registry.software_version(self.endpoints[0], self.view, now_ms), "")

    def check_known(self, now_ms: int) -> None:
        self.assertFalse(self.is_cold(now_ms))
        self.assertTrue(self.takes_streams_up(now_ms))
        found = self.registry.software_version(self.endpoints[0], self.view, now_ms)
        self.assertEqual(found, VERSION)

    def test_endpoint_that_crashed_is_unknown_until_its_entry_has_lapsed(self) -> None:
        self.check_known(AT_MS)
        self.registry.record_crash(CRASHED, AT_MS)
        self.check_unknown(AT_MS + 1)
        self.confirmed(AT_MS + VIEW_DELAY_MS)
        self.check_unknown(AT_MS + VIEW_DELAY_MS)
        self.check_known(AT_MS + ENTRY_LAPSE_MS)

    def test_entry_of_the_next_start_ends_what_a_crash_left_unknown(self) -> None:
        self.registry.record_crash(CRASHED, AT_MS)
        self.endpoints[0] = endpoint(1, software_version=VERSION, born_ms=2)
        self.confirmed(AT_MS + VIEW_DELAY_MS)
        self.check_known(AT_MS + VIEW_DELAY_MS)

    def test_peers_word_makes_an_endpoint_cold_where_no_connection_tells(self) -> None:
        self.registry.record_liveness(change(Liveness.SUSPECTED, told=True, in_flight=1), AT_MS)
        self.check_known(AT_MS)
        self.registry.record_liveness(change(Liveness.SUSPECTED, told=True), AT_MS)
        self.check_unknown(AT_MS + 1)
        self.registry.record_liveness(change(Liveness.RESPONSIVE), AT_MS + 1_400)
        self.assertTrue(self.is_cold(AT_MS + ASSUMED_COLD_MS - 1))

    def test_own_silence_that_ends_leaves_an_endpoint_known(self) -> None:
        self.registry.record_liveness(change(Liveness.SUSPECTED, in_flight=2), AT_MS)
        self.registry.record_liveness(change(Liveness.RESPONSIVE, in_flight=2), AT_MS + 900)
        self.check_known(AT_MS + 900)

    def test_endpoint_that_accepts_connections_again_is_unknown_until_a_view_shows_it(self) -> None:
        self.registry.record_liveness(change(Liveness.UNRESPONSIVE), AT_MS)
        back_ms = AT_MS + 2 * ENTRY_LAPSE_MS
        self.confirmed(back_ms)
        self.registry.record_liveness(change(Liveness.RESPONSIVE), back_ms)
        self.check_unknown(back_ms + 1)
        self.confirmed(back_ms + VIEW_DELAY_MS)
        self.check_known(back_ms + VIEW_DELAY_MS)

    def lose(self, in_flight: int) -> None:
        """Let the endpoint end the connection of one of the requests in flight."""
        tracked = self.registry.get(CRASHED)
        assert tracked is not None
        tracked.own_load.requests = in_flight
        self.registry.record_connection_lost(CRASHED, AT_MS)

    def test_loss_of_all_connections_leaves_an_endpoint_unknown_until_a_view_shows_it(self) -> None:
        self.lose(in_flight=2)
        self.check_known(AT_MS)
        self.lose(in_flight=1)
        self.check_unknown(AT_MS + 1)
        self.confirmed(AT_MS + VIEW_DELAY_MS)
        self.check_known(AT_MS + VIEW_DELAY_MS)

    def test_connections_that_end_one_by_one_are_no_restart(self) -> None:
        for in_flight in (1, 1, 3, 2):
            self.lose(in_flight)
            self.registry.record_request_success(CRASHED, AT_MS)
        self.lose(in_flight=1)
        self.check_known(AT_MS)


if __name__ == "__main__":
    unittest.main()
