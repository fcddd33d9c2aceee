"""Tests of what is believed of a store that came back from an older copy.

They guard against endpoints that drain or are gone and get requests again.
"""

from __future__ import annotations

from dataclasses import replace
import unittest

import msgspec

from tests.wagtailusher_gateway.builders import at, configuration, endpoint, view
from wagtailusher_core import EndpointId, FailureDomainId
from wagtailusher_gateway.models import FleetView
from wagtailusher_gateway.older_copy import REMEMBERED_MS
from wagtailusher_gateway.view_cache import EVACUATION_GRACE_MS, EXPIRY_GRACE_MS, ViewCache
from wagtailusher_gateway.view_exchange import decode_view, shift_times

I1, I2 = EndpointId("i-1"), EndpointId("i-2")
A = FailureDomainId("a")


class OlderCopyTest(unittest.TestCase):
    """A view of revision 90 follows a store whose epoch 2 begins with revision 40."""

    def setUp(self) -> None:
        self.cache = ViewCache(lambda current, changed, now_ms: None)
        self.cache.set_endpoint(endpoint(1), 1_000)
        self.cache.set_endpoint(endpoint(2, is_draining=True), 1_000)
        self.cache.set_evacuated(frozenset({A}), 1_000)
        self.cache.confirm_revision(at(90, epoch=1), 1_000)

    @property
    def _view(self) -> FleetView:
        return self.cache.view

    def _begin_epoch(self, *numbers: int, now_ms: int = 5_000) -> None:
        """Read a list that shows the numbered endpoints as ready."""
        self.cache.begin_epoch(at(40, epoch=2), now_ms)
        for number in numbers:
            self.cache.set_listed_endpoint(endpoint(number), at(30, epoch=2), now_ms)
        self.cache.retain_endpoints(
            frozenset(EndpointId(f"i-{number}") for number in numbers), now_ms
        )
        self.cache.retain_evacuated(frozenset(), now_ms)
        self.cache.confirm_revision(at(40, epoch=2), now_ms)

    def test_later_era_is_newer_whatever_its_revision(self) -> None:
        self._begin_epoch(1, 2)
        self.assertEqual(self._view.store_revision, at(40, epoch=2))
        self.assertTrue(self.cache.is_newer_revision(at(41, epoch=2)))
        self.assertFalse(self.cache.is_newer_revision(at(500, epoch=1)))

    def test_endpoint_drains_until_its_entry_is_written_again(self) -> None:
        self._begin_epoch(1, 2)
        self.assertTrue(self._view.endpoints[I2].is_draining)
        self.cache.set_listed_endpoint(endpoint(2), at(41, epoch=2), 6_000)
        self.assertFalse(self._view.endpoints[I2].is_draining)

    def test_removed_endpoint_stays_gone_until_its_entry_is_written_again(self) -> None:
        self.cache.remove_endpoint(I1, 2_000)
        self._begin_epoch(1, 2)
        self.assertNotIn(I1, self._view.endpoints)
        self.cache.set_listed_endpoint(endpoint(1), at(40, epoch=2), 5_500)
        self.assertNotIn(I1, self._view.endpoints)
        self.cache.set_listed_endpoint(endpoint(1), at(41, epoch=2), 6_000)
        self.assertIn(I1, self._view.endpoints)

    def test_entry_of_an_earlier_start_in_an_older_copy_is_ignored(self) -> None:
        self.cache.set_endpoint(endpoint(1, born_ms=9, slots=3), 2_000)
        self.cache.begin_epoch(at(40, epoch=2), 5_000)
        self.cache.set_listed_endpoint(endpoint(1, born_ms=8, slots=7), at(30, epoch=2), 5_000)
        self.assertEqual(self._view.endpoints[I1].slots, 3)
        self.cache.set_listed_endpoint(endpoint(1, born_ms=8, slots=7), at(41, epoch=2), 6_000)
        self.assertEqual(self._view.endpoints[I1].slots, 7)

    def test_new_start_of_a_removed_endpoint_is_believed(self) -> None:
        self.cache.remove_endpoint(I1, 2_000)
        self.cache.begin_epoch(at(40, epoch=2), 5_000)
        self.cache.set_listed_endpoint(endpoint(1, born_ms=9), at(30, epoch=2), 5_000)
        self.assertIn(I1, self._view.endpoints)

    def test_removals_are_forgotten(self) -> None:
        self.cache.remove_endpoint(I1, 2_000)
        self._begin_epoch(1, 2, now_ms=2_000 + REMEMBERED_MS)
        self.assertIn(I1, self._view.endpoints)

    def test_endpoint_that_the_copy_lacks_is_gone_after_its_grace(self) -> None:
        self._begin_epoch(2)
        self.cache.tick(5_000 + EXPIRY_GRACE_MS - 1)
        self.assertIn(I1, self._view.endpoints)
        self.cache.tick(5_000 + EXPIRY_GRACE_MS)
        self.assertNotIn(I1, self._view.endpoints)

    def test_evacuation_holds_until_it_is_taken_back_or_its_grace_ends(self) -> None:
        for ends in ("taken back", "grace", "written again"):
            with self.subTest(ends=ends):
                self.setUp()
                self._begin_epoch(1, 2)
                self.cache.retain_evacuated(frozenset(), 6_000)
                self.assertEqual(self._view.evacuated, {A})
                if ends != "grace":
                    self.cache.set_evacuation(A, ends == "written again", 6_000)
                self.cache.tick(5_000 + EVACUATION_GRACE_MS)
                self.assertEqual(A in self._view.evacuated, ends == "written again")

    def test_peers_view_of_a_later_era_is_merged_and_of_an_earlier_one_is_not(self) -> None:
        later = view(endpoint(1), revision=40, epoch=2, confirmed_ms=5_000)
        self.cache.merge_peer_view(later, "peer", 5_000)
        self.assertEqual(set(self._view.endpoints), {I1})
        earlier = view(endpoint(2), revision=95, epoch=1, confirmed_ms=6_000)
        self.cache.merge_peer_view(earlier, "peer", 6_000)
        self.assertEqual(set(self._view.endpoints), {I1})

    def test_view_tells_a_vm_that_starts_what_is_kept_against_the_copy(self) -> None:
        """It arrives as ages, on a clock that is 700 ms ahead."""
        self.cache.remove_endpoint(I1, 2_000)
        self._begin_epoch(1, 2)
        payload = msgspec.msgpack.encode(shift_times(self._view, -5_100))
        started = ViewCache(lambda current, changed, now_ms: None)
        started.merge_peer_view(decode_view(payload, 5_800), "peer", 5_800)
        for number in (1, 2):
            started.set_listed_endpoint(endpoint(number), at(40, epoch=2), 5_800)
        started.retain_evacuated(frozenset(), 5_800)
        started.confirm_revision(at(40, epoch=2), 5_800)
        self.assertNotIn(I1, started.view.endpoints)
        self.assertTrue(started.view.endpoints[I2].is_draining)
        self.assertEqual(started.view.evacuated, {A})
        self.assertEqual(started.view.removals[I1].removed_ms, 2_700)
        started.set_listed_endpoint(endpoint(1), at(41, epoch=2), 6_000)
        self.assertIn(I1, started.view.endpoints)

    def test_view_of_a_build_that_keeps_nothing_against_the_copy_is_read(self) -> None:
        values = msgspec.to_builtins(self._view)
        for name in ("first_list", "removals", "epoch", "lapsing_evacuations_ms"):
            del values[name]
        read = decode_view(msgspec.msgpack.encode(values), 0)
        self.assertEqual(read, replace(self._view, epoch=0, lapsing_evacuations_ms={}))

    def test_newer_configuration_of_a_peer_in_an_earlier_era_is_taken(self) -> None:
        self._begin_epoch(1, 2)
        self.cache.set_configuration(configuration(1), "store", 5_000)
        earlier = view(revision=95, epoch=1, confirmed_ms=6_000, configuration=configuration(3))
        self.cache.merge_peer_view(earlier, "peer", 6_000)
        self.assertEqual(self.cache.configuration_version, 3)
        self.assertEqual(self._view.store_revision, at(40, epoch=2))

    def test_peer_of_the_earlier_era_confirms_nothing(self) -> None:
        self._begin_epoch(1, 2)
        self.cache.confirm_by_peer(at(40, epoch=1), 9_000, 9_000)
        self.assertEqual(self._view.confirmed_ms, 5_000)


if __name__ == "__main__":
    unittest.main()
