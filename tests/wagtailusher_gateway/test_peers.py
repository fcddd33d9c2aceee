"""Tests of which peer is asked for its view.

They guard against a VM that starts with the view of a peer that knows less than another one.
"""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import VM_IDS, at, member
from wagtailusher_core import Revision, VmId
from wagtailusher_gateway.models import Member
from wagtailusher_gateway.peers import (
    STARTED_TOGETHER_MS,
    Peer,
    best_informed,
    is_oldest,
    newest_configuration,
)

REVISION = at(5)
OWN_STARTED_MS = 100_000


def peer(
    number: int, *, version: int = 0, revision: Revision = REVISION, incarnation: int = 1
) -> tuple[Peer, Member]:
    """Return a peer whose heartbeats state a configuration and a revision."""
    known = replace(member(number), configuration_version=version, incarnation=incarnation)
    return (
        Peer(
            peer_address=known.peer_address,
            last_seen_ms=0,
            member=known,
            view_revision=revision,
        ),
        known,
    )


class PeersTest(unittest.TestCase):
    """The newest configuration goes before the epoch, and that before how long a peer has run."""

    def _best(self, *peers: tuple[Peer, Member], excluded: frozenset[int] = frozenset()) -> str:
        own = replace(member(0), incarnation=OWN_STARTED_MS)
        best = best_informed(peers, own, {VM_IDS[number] for number in excluded})
        return best.vm_id if best is not None else ""

    def test_peer_with_the_newest_configuration_is_asked_first(self) -> None:
        older = peer(1, version=2, revision=at(90, epoch=2))
        newer = peer(2, version=3, revision=at(9, epoch=1))
        self.assertEqual(self._best(older, newer), "vm-2")
        self.assertEqual(self._best(older, newer, excluded=frozenset({2})), "vm-1")

    def test_peer_of_the_later_epoch_goes_before_one_with_a_later_revision(self) -> None:
        self.assertEqual(self._best(peer(1, revision=at(90)), peer(2, revision=at(9, 1))), "vm-2")

    def test_peer_that_has_run_the_longest_is_asked_first(self) -> None:
        self.assertEqual(self._best(peer(1, incarnation=8), peer(2, incarnation=7)), "vm-2")

    def test_peers_that_started_together_with_the_vm_are_not_asked(self) -> None:
        started_ms = OWN_STARTED_MS - STARTED_TOGETHER_MS
        self.assertEqual(self._best(peer(1, version=9, incarnation=started_ms + 1)), "")
        self.assertEqual(self._best(peer(1, incarnation=started_ms)), "vm-1")

    def test_vms_that_start_at_once_ask_different_peers(self) -> None:
        """Only the half that has run the longest is asked."""
        peers = [peer(number, incarnation=number) for number in range(1, 9)]
        asked = set()
        for number in range(100):
            own = replace(member(0), vm_id=VmId(f"new-{number}"), incarnation=OWN_STARTED_MS)
            best = best_informed(peers, own, set())
            assert best is not None
            asked.add(best.vm_id)
        self.assertEqual(asked, set(VM_IDS[1:5]))

    def test_peers_without_a_view_are_not_asked(self) -> None:
        self.assertEqual(self._best(peer(1, revision=at(0))), "")

    def test_newest_configuration_of_no_peers_is_none(self) -> None:
        self.assertIsNone(newest_configuration((), VM_IDS[0]))

    def test_vms_that_are_behind_ask_different_peers(self) -> None:
        peers = [peer(number, version=2 if number else 1) for number in range(9)]
        asked = set()
        for number in range(100):
            chosen = newest_configuration(peers, VmId(f"behind-{number}"))
            assert chosen is not None
            asked.add(chosen.vm_id)
        self.assertEqual(asked, set(VM_IDS[1:]))

    def test_vm_is_the_oldest_unless_a_peer_started_clearly_before_it(self) -> None:
        own = replace(member(1), incarnation=OWN_STARTED_MS)
        for ahead_ms, is_first in (
            (STARTED_TOGETHER_MS, False),
            (STARTED_TOGETHER_MS - 1, True),
            (-STARTED_TOGETHER_MS, True),
        ):
            other = peer(2, incarnation=OWN_STARTED_MS - ahead_ms)
            self.assertEqual(is_oldest([other], own), is_first)
        self.assertTrue(is_oldest([], own))


if __name__ == "__main__":
    unittest.main()
