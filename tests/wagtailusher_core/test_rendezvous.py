"""Tests of rendezvous hashing.

A choice that depended on the order of candidates would differ between nodes, and one that moved
more keys than needed would disturb them whenever a node leaves.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_core import first_by_rendezvous, rank_by_rendezvous

NAMES = st.lists(st.text(min_size=1, max_size=8), unique=True, max_size=12)


class RendezvousTest(unittest.TestCase):
    """The choice depends only on the set, and a removal keeps the order of the rest."""

    @given(key=st.text(max_size=8), names=NAMES)
    def test_first_is_the_first_of_the_ranking(self, key: str, names: list[str]) -> None:
        ranked = rank_by_rendezvous(key, names)
        self.assertEqual(first_by_rendezvous(key, reversed(names)), ranked[0] if ranked else None)

    @given(key=st.text(max_size=8), names=NAMES.filter(lambda names: len(names) > 1))
    def test_removal_keeps_order_of_the_rest(self, key: str, names: list[str]) -> None:
        ranked = rank_by_rendezvous(key, names)
        for removed in names:
            rest = [name for name in ranked if name != removed]
            self.assertEqual(rank_by_rendezvous(key, [n for n in names if n != removed]), rest)


if __name__ == "__main__":
    unittest.main()
