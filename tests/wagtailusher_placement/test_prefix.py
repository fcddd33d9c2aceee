"""Tests of the index of prompt prefixes.

Unbounded growth, or block holders that disagree with the caches, would follow lost bookkeeping.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_core import EndpointId
from wagtailusher_placement import CacheEvent, PrefixIndex

NAMES = [EndpointId(name) for name in "abc"]
BLOCKS = st.lists(st.integers(0, 30), max_size=5).map(tuple)


class PrefixIndexTest(unittest.TestCase):
    """Bounds of the index, and consistency of its two mappings."""

    def test_memory_is_bounded_and_shared_evenly(self) -> None:
        index = PrefixIndex(max_per_endpoint=40, max_total=60)
        for number in range(50):
            index.add_blocks(NAMES[0], (number,))
        self.assertEqual(sum(index.cached_share(NAMES[0], (n,)) for n in range(50)), 40)
        for number in range(50):
            index.add_blocks(NAMES[1], (number,))
            index.add_blocks(NAMES[0], (100 + number,))
        for name in NAMES[:2]:
            kept = sum(index.cached_share(name, (number,)) for number in range(200))
            self.assertEqual(kept, 30)
        index.clear(NAMES[0])
        self.assertEqual(index.endpoints_with_prefix((120,), 3), [])

    @given(
        st.lists(
            st.tuples(st.sampled_from(NAMES), st.integers(0, 9), BLOCKS, BLOCKS, st.booleans())
        )
    )
    def test_endpoints_with_prefix_agree_with_caches_after_any_events(
        self, events: list[tuple[EndpointId, int, tuple[int, ...], tuple[int, ...], bool]]
    ) -> None:
        index = PrefixIndex(max_per_endpoint=8, max_total=12)
        for endpoint_id, sequence, stored, removed, cleared in events:
            index.observe(
                CacheEvent(
                    endpoint_id=endpoint_id,
                    sequence=sequence,
                    stored=stored,
                    removed=removed,
                    cleared=cleared,
                )
            )
        for block in range(31):
            held = {name for name in NAMES if index.cached_share(name, (block,)) > 0}
            self.assertEqual(set(index.endpoints_with_prefix((block,), 3)), held)
