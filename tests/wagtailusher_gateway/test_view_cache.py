"""Tests of the view cache.

They guard against an older state that replaces a newer one, and against endpoints that are removed
because their entries expired while the store was unavailable.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import unittest

import msgspec

from tests.wagtailusher_gateway.builders import at, configuration, endpoint, view
from wagtailusher_core import EndpointId
from wagtailusher_gateway.models import EntryChange, FleetView, ReadChanges
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import decode_view, shift_times

I1 = EndpointId("i-1")


class ViewCacheTest(unittest.TestCase):
    """A newer state is never replaced by an older one, whatever its source."""

    def setUp(self) -> None:
        self.updates: list[tuple[FleetView, bool]] = []
        self.view_cache = ViewCache(
            lambda current, changed, now_ms: self.updates.append((current, changed))
        )
        self.view_cache.confirm_revision(at(5), 1_000)

    def test_listener_is_called_on_confirmations(self) -> None:
        """The listener gets each confirmation, because decisions depend on the view's age."""
        self.view_cache.set_endpoint(endpoint(1), 1_000)
        self.assertTrue(self.updates[-1][1])
        self.view_cache.confirm_revision(at(5), 3_000)
        self.view_cache.confirm_by_peer(at(5), 4_000, 4_100)
        confirmations = [(current.confirmed_ms, changed) for current, changed in self.updates[-2:]]
        self.assertEqual(confirmations, [(3_000, False), (4_000, False)])

    def test_peer_without_a_view_confirms_nothing(self) -> None:
        """Both VMs start, so both are at revision 0."""
        started = ViewCache(lambda current, changed, now_ms: None)
        started.confirm_by_peer(at(0), 4_000, 4_100)
        self.assertEqual(started.view.confirmed_ms, 0)

    def test_configuration_never_goes_back(self) -> None:
        """An older version is ignored, from the store and from peers."""
        self.view_cache.set_configuration(configuration(7), "store", 1_000)
        self.view_cache.set_configuration(configuration(6), "store", 1_100)
        older = view(confirmed_ms=9_000, revision=9, configuration=configuration(5))
        self.view_cache.merge_peer_view(older, "peer", 9_000)
        current = self.view_cache.view.configuration
        assert current is not None
        self.assertEqual(current.version, 7)

    def test_older_view_of_a_peer_is_not_merged(self) -> None:
        """A view is merged only if it was confirmed later and has no lower revision."""
        self.view_cache.set_endpoint(endpoint(1, is_draining=True), 1_000)
        for old in (
            view(endpoint(1), revision=9, confirmed_ms=900),
            view(endpoint(1), revision=4, confirmed_ms=2_000),
        ):
            self.view_cache.merge_peer_view(old, "peer", 2_000)
            self.assertTrue(self.view_cache.view.endpoints[I1].is_draining)
        self.view_cache.merge_peer_view(view(revision=6, confirmed_ms=2_000), "peer", 2_000)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_versions_survive_the_view_of_a_peer_that_does_not_know_them(self) -> None:
        self.view_cache.set_endpoint(endpoint(1, software_version="v1"), 1_000)
        for number, (stated, expected) in enumerate(
            (
                (endpoint(1), "v1"),
                (endpoint(1, software_version="v2"), "v2"),
                (endpoint(1, born_ms=2), ""),
            )
        ):
            at_ms = 2_000 + number
            self.view_cache.merge_peer_view(
                view(stated, revision=6, confirmed_ms=at_ms), "p", at_ms
            )
            self.assertEqual(self.view_cache.view.endpoints[I1].software_version, expected)

    def test_listener_learns_of_gaps(self) -> None:
        """After a list, a peer's view, or the end of an unknown endpoint, changes may be missed."""
        gaps: list[bool] = []
        view_cache = ViewCache(lambda current, changed, now_ms: gaps.append(view_cache.is_gap))
        view_cache.set_endpoint(endpoint(1), 1_000)
        view_cache.confirm_revision(at(5), 1_000)
        view_cache.remove_endpoint(I1, 1_000)
        self.assertNotIn(True, gaps)
        gap_makers: tuple[Callable[[], None], ...] = (
            lambda: view_cache.remove_endpoint(I1, 1_000),
            lambda: view_cache.retain_endpoints(frozenset(), 1_000),
            lambda: view_cache.merge_peer_view(view(revision=6, confirmed_ms=2_000), "p", 2_000),
        )
        for make_gap in gap_makers:
            make_gap()
            self.assertTrue(gaps[-1])
            self.assertFalse(view_cache.is_gap)

    def test_revisions_in_a_peers_view_are_not_newer(self) -> None:
        """After a peer's view was merged, this VM's own watch replays changes in it."""
        self.view_cache.merge_peer_view(view(revision=9, confirmed_ms=2_000), "peer", 2_000)
        self.assertFalse(self.view_cache.is_newer_revision(at(9)))
        self.assertTrue(self.view_cache.is_newer_revision(at(10)))

    def test_removal_is_immediate_while_the_store_answers(self) -> None:
        """Without an outage, an endpoint is removed with its entry."""
        self.view_cache.set_endpoint(endpoint(1), 1_000)
        self.view_cache.confirm_revision(at(6), 2_500)
        self.view_cache.remove_endpoint(I1, 2_500)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_expired_entry_may_reappear(self) -> None:
        """Endpoints whose entries are missing right after an outage are kept for two seconds."""
        self.view_cache.set_endpoint(endpoint(1), 1_000)
        self.view_cache.set_endpoint(endpoint(2), 1_000)
        self.view_cache.mark_store_unavailable()
        self.view_cache.confirm_revision(at(8), 6_000)
        self.view_cache.remove_endpoint(I1, 6_000)
        self.view_cache.remove_endpoint(EndpointId("i-2"), 6_000)
        self.assertEqual(len(self.view_cache.view.endpoints), 2)
        self.view_cache.set_endpoint(endpoint(2), 7_000)
        self.view_cache.tick(8_000)
        self.assertEqual(set(self.view_cache.view.endpoints), {"i-2"})

    def test_expired_entry_in_a_peers_view_is_removed_on_time(self) -> None:
        """Merging a view includes the times at which its expired entries are removed."""
        expired = view(endpoint(1), revision=9, confirmed_ms=5_000, lapsing_ms={I1: 6_000})
        self.view_cache.merge_peer_view(expired, "peer", 5_100)
        self.view_cache.tick(5_900)
        self.assertIn(I1, self.view_cache.view.endpoints)
        self.view_cache.tick(6_000)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_draining_endpoint_is_removed_at_once(self) -> None:
        """A draining endpoint is not kept after an outage when its entry is missing."""
        self.view_cache.set_endpoint(endpoint(1, is_draining=True), 1_000)
        self.view_cache.mark_store_unavailable()
        self.view_cache.confirm_revision(at(8), 6_000)
        self.view_cache.remove_endpoint(I1, 6_000)
        self.assertEqual(self.view_cache.view.endpoints, {})

    def test_entry_that_is_written_later_replaces_one_of_a_clock_that_was_ahead(self) -> None:
        """An endpoint whose clock was set back states an earlier start, and drains later."""
        self.view_cache.set_listed_endpoint(endpoint(1, born_ms=50), at(7), 1_000)
        restarted = endpoint(1, born_ms=40)
        self.view_cache.set_listed_endpoint(restarted, at(8), 1_500)
        self.assertEqual(self.view_cache.view.endpoints[I1], restarted)
        self.view_cache.set_listed_endpoint(replace(restarted, is_draining=True), at(9), 7_000)
        self.assertTrue(self.view_cache.view.endpoints[I1].is_draining)

    def test_entry_that_was_written_earlier_is_ignored(self) -> None:
        """A page of a list may show later changes than those that the watch brings first."""
        self.view_cache.set_listed_endpoint(endpoint(1, slots=3), at(9), 1_000)
        self.view_cache.set_listed_endpoint(endpoint(1, born_ms=90, slots=9), at(8), 1_000)
        self.assertEqual(self.view_cache.view.endpoints[I1].slots, 3)
        self.view_cache.set_listed_endpoint(endpoint(1, slots=4), at(2, epoch=1), 2_000)
        self.assertEqual(self.view_cache.view.endpoints[I1].slots, 4)

    def test_change_from_a_reader_replaces_an_entry_of_a_clock_that_was_ahead(self) -> None:
        self.view_cache.set_listed_endpoint(endpoint(1, born_ms=50), at(7), 1_000)
        self.view_cache.confirm_revision(at(7), 1_000)
        draining = endpoint(1, born_ms=40, is_draining=True)
        changes = ReadChanges(
            after_revision=at(7),
            revision=at(8),
            is_complete=True,
            entries=(EntryChange(endpoint_id=I1, endpoint=draining),),
            configuration=None,
        )
        self.assertTrue(self.view_cache.apply_changes(changes, 1_500, 1_500))
        self.assertEqual(self.view_cache.view.endpoints[I1], draining)

    def test_view_is_converted_between_clocks(self) -> None:
        """Times are sent as ages, because the clocks of VMs differ."""
        sent = view(endpoint(1, cold_until_ms=700_500), confirmed_ms=699_000)
        payload = msgspec.msgpack.encode(shift_times(sent, -700_000))
        received = decode_view(payload, 10_000)
        self.assertEqual(received.confirmed_ms, 9_000)
        self.assertEqual(received.endpoints[I1].cold_until_ms, 10_500)


if __name__ == "__main__":
    unittest.main()
