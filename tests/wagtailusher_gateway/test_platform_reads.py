"""Tests of who reads the platform: few VMs in calm times, anyone when news are missing."""

from __future__ import annotations

import unittest

from tests.wagtailusher_gateway.builders import configuration, member
from tests.wagtailusher_gateway.test_fleet import Fleet
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.platform_reads import READ_ALONE_MS, is_reading_due
from wagtailusher_gateway.view_cache import ViewCache


def new_view_cache(revision: int, confirmed_ms: int) -> ViewCache:
    """Return a keeper that knows a configuration."""
    view_cache = ViewCache(lambda view, changed, now_ms: None)
    view_cache.set_configuration(configuration(), "store", confirmed_ms)
    view_cache.confirm_revision(revision, confirmed_ms)
    return view_cache


class ReadingTest(unittest.TestCase):
    """Each failure domain has one reader, and none is needed for safety."""

    def _split(self, fleet: Fleet) -> tuple[list[FleetDecider], list[FleetDecider]]:
        """Return the readers and the others that are up."""
        up = [item for address, item in fleet.deciders.items() if address not in fleet.down]
        readers = [item for item in up if item.is_reader(fleet.now_ms)]
        return readers, [item for item in up if item not in readers]

    def test_one_reader_in_a_domain(self) -> None:
        """All VMs agree on the reader, and on another one when it falls silent."""
        fleet = Fleet(9, seed=5)
        fleet.run(2_000)
        readers, others = self._split(fleet)
        self.assertEqual((len(readers), len(others)), (1, 8))
        fleet.down.add(readers[0].own.peer_address)
        fleet.run(2_000)
        readers, _ = self._split(fleet)
        self.assertEqual(len(readers), 1)

    def test_others_read_on_news_or_silence(self) -> None:
        """A VM that is no reader reads when a peer knows more, or nobody confirms its view."""
        fleet = Fleet(3, seed=5)
        fleet.run(2_000)
        _, others = self._split(fleet)
        other = others[0]
        now_ms = fleet.now_ms
        self.assertFalse(is_reading_due(other, new_view_cache(1, now_ms), now_ms))
        self.assertTrue(is_reading_due(other, new_view_cache(0, now_ms), now_ms))
        late_ms = now_ms + READ_ALONE_MS + 1
        self.assertTrue(is_reading_due(other, new_view_cache(1, now_ms), late_ms))

    def test_vm_without_configuration_reads(self) -> None:
        """A VM that starts waits for nobody."""
        decider = FleetDecider(member(1), (), 0, 1)
        view_cache = ViewCache(lambda view, changed, now_ms: None)
        self.assertTrue(is_reading_due(decider, view_cache, 0))

    def test_vm_that_has_read_waits_for_the_first_configuration_with_its_reader(self) -> None:
        """A fleet that starts before the operator writes does not poll as a whole."""
        fleet = Fleet(9, seed=5)
        fleet.run(2_000)
        _, others = self._split(fleet)
        view_cache = ViewCache(lambda view, changed, now_ms: None)
        view_cache.confirm_revision(3, fleet.now_ms)
        self.assertFalse(is_reading_due(others[0], view_cache, fleet.now_ms))
        late_ms = fleet.now_ms + READ_ALONE_MS + 1
        self.assertTrue(is_reading_due(others[0], view_cache, late_ms))

    def test_peer_confirms_the_same_revision_only(self) -> None:
        """What a peer found current confirms the own view only if both are the same."""
        view_cache = new_view_cache(7, 1_000)
        view_cache.confirm_by_peer(8, 5_000, 5_000)
        self.assertEqual(view_cache.view.confirmed_ms, 1_000)
        view_cache.confirm_by_peer(7, 4_000, 5_000)
        self.assertEqual(view_cache.view.confirmed_ms, 4_000)
        view_cache.confirm_by_peer(7, 3_000, 5_000)
        self.assertEqual(view_cache.view.confirmed_ms, 4_000)


if __name__ == "__main__":
    unittest.main()
