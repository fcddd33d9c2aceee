"""Tests of rendezvous hashing."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_core import first_by_rendezvous, rank_by_rendezvous

NAMES = st.lists(st.text(min_size=1, max_size=8), unique=True, max_size=12)


class RendezvousTest(unittest.TestCase):
    """The choice depends on the set alone, and a removal moves only what it must."""

    @given(key=st.text(max_size=8), names=NAMES)
    def test_first_is_head_of_rank(self, key: str, names: list[str]) -> None:
        ranked = rank_by_rendezvous(key, names)
        self.assertEqual(first_by_rendezvous(key, reversed(names)), ranked[0] if ranked else None)

    @given(key=st.text(max_size=8), names=NAMES.filter(lambda names: len(names) > 1))
    def test_removal_keeps_order_of_the_rest(self, key: str, names: list[str]) -> None:
        ranked = rank_by_rendezvous(key, names)
        for gone in names:
            rest = [name for name in ranked if name != gone]
            self.assertEqual(rank_by_rendezvous(key, [n for n in names if n != gone]), rest)


if __name__ == "__main__":
    unittest.main()
