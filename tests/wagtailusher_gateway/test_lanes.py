"""Tests of keeping long prompts and long answers apart, under bursts of either."""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import (
    ENGINES,
    VM_IDS,
    endpoint,
    new_placement,
    terms,
    view,
)
from wagtailusher_core import EndpointId
from wagtailusher_gateway.lanes import Lanes, is_prompt_heavy
from wagtailusher_gateway.models import RequestTerms

IDS = tuple(EndpointId(f"i-{number}") for number in range(9))
REVIEW = terms(shared=6_300, own=2_890)
CHAT: RequestTerms = replace(terms(shared=198, own=628), max_output_tokens=294)


class LanesTest(unittest.TestCase):
    """Streams are not stretched by prompts, and each kind gets engines by its demand."""

    def _after(self, reviews: int, chats: int) -> Lanes:
        """Return the lanes of a VM that saw so many requests of each kind in a second."""
        lanes = Lanes()
        for _ in range(reviews):
            lanes.note(REVIEW, 96, 1_000)
        for _ in range(chats):
            lanes.note(CHAT, 96, 1_000)
        return lanes

    def test_kinds(self) -> None:
        """A request is mostly reading by its prompt and its output together."""
        self.assertTrue(is_prompt_heavy(REVIEW))
        self.assertFalse(is_prompt_heavy(CHAT))
        self.assertFalse(is_prompt_heavy(replace(REVIEW, max_output_tokens=2_000)))

    def test_boundary_follows_demand(self) -> None:
        """The kind in a burst gets more engines; the other keeps one at least."""
        calm = self._after(20, 30).boundary(9)
        self.assertGreater(self._after(60, 30).boundary(9), calm)
        self.assertLess(self._after(20, 90).boundary(9), calm)
        self.assertEqual(self._after(10_000, 0).boundary(9), 8.0)
        self.assertEqual(self._after(0, 10_000).boundary(9), 1.0)
        self.assertEqual(self._after(5, 5).boundary(1), 0.5)

    def test_demand_is_forgotten(self) -> None:
        """After a burst the boundary returns."""
        lanes = self._after(0, 200)
        burst = lanes.boundary(9)
        for at_ms in range(1_000, 21_000, 100):
            lanes.note(REVIEW, 96, at_ms)
        self.assertGreater(lanes.boundary(9), burst + 3)

    def test_burst_of_reviews_leaves_engines_to_chats(self) -> None:
        """Whatever the reviews ask for, some engines read no long prompt."""
        current = view(*(endpoint(number) for number in range(9)))
        placement = new_placement(current)
        for number in range(40):
            placement.note_demand(ENGINES, CHAT, 0)
            placement.note_demand(ENGINES, REVIEW, 0)
            placement.take(ENGINES, terms(number, session=f"s{number}"), current, VM_IDS, 0)
        long_prompts = {
            endpoint_id for endpoint_id, load in placement.registry.own_loads(0) if load.requests
        }
        self.assertLessEqual(len(long_prompts), 8)
        placed = placement.take(ENGINES, CHAT, current, VM_IDS, 0)
        assert placed is not None
        self.assertNotIn(placed.endpoint.endpoint_id, long_prompts)

    def test_single_engine_serves_both(self) -> None:
        """With one engine there is nothing to keep apart."""
        current = view(endpoint(1))
        placement = new_placement(current)
        for request in (REVIEW, CHAT):
            self.assertIsNotNone(placement.take(ENGINES, request, current, VM_IDS, 0))


if __name__ == "__main__":
    unittest.main()
