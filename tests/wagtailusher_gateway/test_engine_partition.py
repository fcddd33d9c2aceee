"""Tests of the split of engines between prompt-heavy and output-heavy requests.

They guard against streams slowed by the prefill of long prompts in a burst of either kind.
"""

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
from wagtailusher_gateway.engine_partition import EnginePartition, is_prompt_heavy
from wagtailusher_gateway.engine_rates import INITIAL_RATE
from wagtailusher_gateway.models import RequestTerms

IDS = tuple(EndpointId(f"i-{number}") for number in range(9))
REVIEW = terms(shared=6_300, own=2_890)
CHAT: RequestTerms = replace(terms(shared=198, own=628), max_output_tokens=294)


class EnginePartitionTest(unittest.TestCase):
    """Each kind of request gets engines in proportion to its demand."""

    def _partition_after(self, reviews: int, chats: int) -> EnginePartition:
        """Return the partition of a VM after so many requests of each kind at one time."""
        partition = EnginePartition()
        for _ in range(reviews):
            partition.record_demand(REVIEW, 96, INITIAL_RATE, 1_000)
        for _ in range(chats):
            partition.record_demand(CHAT, 96, INITIAL_RATE, 1_000)
        return partition

    def test_kinds(self) -> None:
        """A request is prompt-heavy by its prompt and its output together."""
        self.assertTrue(is_prompt_heavy(REVIEW))
        self.assertFalse(is_prompt_heavy(CHAT))
        self.assertFalse(is_prompt_heavy(replace(REVIEW, max_output_tokens=2_000)))

    def test_boundary_follows_demand(self) -> None:
        """The kind in a burst gets more engines; the other keeps at least one."""
        calm = self._partition_after(20, 30).boundary(9)
        self.assertGreater(self._partition_after(60, 30).boundary(9), calm)
        self.assertLess(self._partition_after(20, 90).boundary(9), calm)
        self.assertEqual(self._partition_after(10_000, 0).boundary(9), 8.0)
        self.assertEqual(self._partition_after(0, 10_000).boundary(9), 1.0)
        self.assertEqual(self._partition_after(5, 5).boundary(1), 0.5)

    def test_demand_decays(self) -> None:
        """After a burst the boundary moves back."""
        partition = self._partition_after(0, 200)
        burst = partition.boundary(9)
        for at_ms in range(1_000, 21_000, 100):
            partition.record_demand(REVIEW, 96, INITIAL_RATE, at_ms)
        self.assertGreater(partition.boundary(9), burst + 3)

    def test_burst_of_reviews_leaves_engines_for_chats(self) -> None:
        """Whatever the demand of reviews, some engines prefill no long prompts."""
        current = view(*(endpoint(number) for number in range(9)))
        placement = new_placement(current)
        for number in range(40):
            placement.record_arrival(ENGINES, CHAT, 0)
            placement.record_arrival(ENGINES, REVIEW, 0)
            placement.try_reserve(
                ENGINES, terms(number, session=f"s{number}"), current, VM_IDS, 0, rank=0
            )
        long_prompts = {
            endpoint_id for endpoint_id, load in placement.registry.own_loads(0) if load.requests
        }
        self.assertLessEqual(len(long_prompts), 8)
        reservation = placement.try_reserve(ENGINES, CHAT, current, VM_IDS, 0, rank=0)
        assert reservation is not None
        self.assertNotIn(reservation.endpoint.endpoint_id, long_prompts)

    def test_single_engine_serves_both(self) -> None:
        """A single engine gets both kinds."""
        current = view(endpoint(1))
        placement = new_placement(current)
        for request in (REVIEW, CHAT):
            self.assertIsNotNone(
                placement.try_reserve(ENGINES, request, current, VM_IDS, 0, rank=0)
            )


if __name__ == "__main__":
    unittest.main()
