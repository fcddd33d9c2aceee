"""Tests of the view: nothing goes back, and lapsed entries get their time to return."""

from __future__ import annotations

import unittest

import msgspec

from tests.wagtailusher_gateway.builders import configuration, endpoint, view
from wagtailusher_core import EndpointId
from wagtailusher_gateway.models import FleetView
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import read_view, shifted

I1 = EndpointId("i-1")


class ViewKeeperTest(unittest.TestCase):
    """Whatever source brings an older state, the newer one stays."""

    def setUp(self) -> None:
        self.heard: list[tuple[FleetView, bool]] = []
        self.view_cache = ViewCache(
            lambda current, changed, now_ms: self.heard.append((current, changed))
        )
        self.view_cache.confirm_revision(5, 1_000)

    def test_confirmations_are_told(self) -> None:
        """Whoever decides by the age of the view hears of each confirmation."""
        self.view_cache.set_endpoint(endpoint(1), 1_000)
        self.assertTrue(self.heard[-1][1])
        self.view_cache.confirm_revision(5, 3_000)
        self.view_cache.confirm_by_peer(5, 4_000, 4_100)
        told = [(current.confirmed_ms, changed) for current, changed in self.heard[-2:]]
        self.assertEqual(told, [(3_000, False), (4_000, False)])

    def test_configuration_never_goes_back(self) -> None:
        """An older version is ignored, from the store and from peers."""
        self.view_cache.set_configuration(configuration(7), "store", 1_000)
        self.view_cache.set_configuration(configuration(6), "store", 1_100)
        older = view(confirmed_ms=9_000, revision=9, configuration=configuration(5))
        self.view_cache.adopt(older, "peer", 9_000)
        current = self.view_cache.view.configuration
        assert current is not None
        self.assertEqual(current.version, 7)

    def test_peers_older_view_is_not_adopted(self) -> None:
        """A view is taken only if it is fresher and of no lower revision."""
        self.view_cache.set_endpoint(endpoint(1, is_draining=True), 1_000)
        for old in (
            view(endpoint(1), revision=9, confirmed_ms=900),
            view(endpoint(1), revision=4, confirmed_ms=2_000),
        ):
            self.view_cache.adopt(old, "peer", 2_000)
            self.assertTrue(self.view_cache.view.endpoints[I1].is_draining)
        self.view_cache.adopt(view(revision=6, confirmed_ms=2_000), "peer", 2_000)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_changes_that_a_peer_already_told_are_old(self) -> None:
        """After a peer's view, the own watch replays what is known."""
        self.view_cache.adopt(view(revision=9, confirmed_ms=2_000), "peer", 2_000)
        self.assertFalse(self.view_cache.is_newer_revision(9))
        self.assertTrue(self.view_cache.is_newer_revision(10))

    def test_removal_is_final_while_the_platform_answers(self) -> None:
        """An entry that goes in calm times is gone at once."""
        self.view_cache.set_endpoint(endpoint(1), 1_000)
        self.view_cache.confirm_revision(6, 2_500)
        self.view_cache.remove_endpoint(I1, 2_500)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_lapsed_entry_may_come_back(self) -> None:
        """Entries that are missing right after an outage are held for two seconds."""
        self.view_cache.set_endpoint(endpoint(1), 1_000)
        self.view_cache.set_endpoint(endpoint(2), 1_000)
        self.view_cache.mark_store_unavailable()
        self.view_cache.confirm_revision(8, 6_000)
        self.view_cache.remove_endpoint(I1, 6_000)
        self.view_cache.remove_endpoint(EndpointId("i-2"), 6_000)
        self.assertEqual(len(self.view_cache.view.endpoints), 2)
        self.view_cache.set_endpoint(endpoint(2), 7_000)
        self.view_cache.tick(8_000)
        self.assertEqual(set(self.view_cache.view.endpoints), {"i-2"})

    def test_lapsed_entry_of_a_peer_is_dropped_in_its_time(self) -> None:
        """A VM that takes over a view takes over when its lapsed entries end."""
        lapsed = view(endpoint(1), revision=9, confirmed_ms=5_000, lapsing_ms={I1: 6_000})
        self.view_cache.adopt(lapsed, "peer", 5_100)
        self.view_cache.tick(5_900)
        self.assertIn(I1, self.view_cache.view.endpoints)
        self.view_cache.tick(6_000)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_draining_entry_that_goes_is_gone(self) -> None:
        """An endpoint that said it leaves is not held after an outage."""
        self.view_cache.set_endpoint(endpoint(1, is_draining=True), 1_000)
        self.view_cache.mark_store_unavailable()
        self.view_cache.confirm_revision(8, 6_000)
        self.view_cache.remove_endpoint(I1, 6_000)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_older_start_is_not_believed(self) -> None:
        """An entry of an earlier start does not replace that of the present one."""
        self.view_cache.set_endpoint(endpoint(1, born_ms=50, slots=3), 1_000)
        self.view_cache.set_endpoint(endpoint(1, born_ms=40, slots=9), 1_000)
        self.assertEqual(self.view_cache.view.endpoints[I1].slots, 3)

    def test_view_travels_between_clocks(self) -> None:
        """Times become ages on the way, as VMs' clocks differ."""
        sent = view(endpoint(1, cold_until_ms=700_500), confirmed_ms=699_000)
        payload = msgspec.msgpack.encode(shifted(sent, -700_000))
        received = read_view(payload, 10_000)
        self.assertEqual(received.confirmed_ms, 9_000)
        self.assertEqual(received.endpoints[I1].cold_until_ms, 10_500)


if __name__ == "__main__":
    unittest.main()
