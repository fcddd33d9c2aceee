"""Advice on removals.

Guards against advice to remove an endpoint that a pool needs, for its peak or as its last
alternative in another failure domain.
"""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_cli.advice import Advice, advise_removals
from wagtailusher_cli.const import MAX_USED_SHARE
from wagtailusher_operator.models import (
    BooksAnswer,
    ClassBooksAnswer,
    EndpointBooksAnswer,
    PoolBooksAnswer,
)


def build_usage(limits: list[int], peak: int, met: int = 100, vm_id: str = "vm-1") -> BooksAnswer:
    """Return the usage of one pool whose endpoints alternate over three failure domains."""
    endpoints = [
        EndpointBooksAnswer(
            endpoint_id=f"e{index}",
            failure_domain_id="abc"[index % 3],
            pool_ids=["small"],
            concurrency_limit=limit,
            mean_in_flight=limit / 4,
            peak_in_flight=limit,
        )
        for index, limit in enumerate(limits)
    ]
    item = ClassBooksAnswer(
        workspace_id="w", class_id="advice", tier=2, pool_ids=["small"], finished=100, met=met
    )
    pool = PoolBooksAnswer(pool_id="small", mean_in_flight=peak / 2, peak_in_flight=peak)
    return BooksAnswer(vm_id=vm_id, span_ms=1, endpoints=endpoints, classes=[item], pools=[pool])


def by_endpoint(advice: tuple[Advice, ...]) -> dict[str, Advice]:
    """Return advice by endpoint."""
    return {item.endpoint_id: item for item in advice}


class AdviceTest(unittest.TestCase):
    """Advice from usage answers."""

    @given(st.lists(st.integers(1, 64), min_size=1, max_size=8), st.integers(0, 300))
    def test_remaining_endpoints_cover_the_peak(self, limits: list[int], peak: int) -> None:
        for endpoint_id, item in by_endpoint(advise_removals([build_usage(limits, peak)])).items():
            remaining = sum(limits) - limits[int(endpoint_id[1:])]
            if item.can_go:
                self.assertLessEqual(peak, MAX_USED_SHARE * remaining)
                self.assertGreaterEqual(item.margin, 0)
            elif len(limits) > 3 and not any("failure domain" in text for text in item.reasons):
                self.assertGreater(peak, MAX_USED_SHARE * remaining)

    def test_reasons_against_a_removal(self) -> None:
        spare = by_endpoint(advise_removals([build_usage([8] * 6, 10)]))["e0"]
        self.assertEqual((spare.can_go, spare.used_share), (True, 0.25))
        self.assertEqual(spare.classes_at_risk, ("w/advice",))
        missed = by_endpoint(advise_removals([build_usage([8] * 6, 10, met=90)]))["e0"]
        self.assertEqual(missed.reasons, ("w/advice: misses its target already",))
        last = by_endpoint(advise_removals([build_usage([8, 8], 1)]))["e0"]
        self.assertEqual(last.reasons, ("small: only one failure domain would be left",))

    def test_peaks_of_several_vms_add_up(self) -> None:
        answers = [build_usage([8] * 6, 20, vm_id=f"vm-{index}") for index in range(2)]
        advice = by_endpoint(advise_removals(answers))["e0"]
        self.assertFalse(advice.can_go)
        self.assertEqual(advice.used_share, 0.5)
