"""Tests of which endpoints are taken to hold the shared part of a prompt.

They guard against parts that each failure domain reads once more for itself, and against a part
that pulls more requests to an engine than it bears.
"""

from __future__ import annotations

from collections import Counter
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import (
    ENGINES,
    VM_IDS,
    endpoint,
    new_placement,
    terms,
    view,
)
from wagtailusher_core import EndpointId, FailureDomainId, VmId
from wagtailusher_gateway.const import PREFILL_CAP_MS
from wagtailusher_gateway.delays import delay_ms
from wagtailusher_gateway.endpoint_registry import EndpointRegistry, Load
from wagtailusher_gateway.engine_rates import INITIAL_RATE, EngineRate
from wagtailusher_gateway.models import RequestTerms
from wagtailusher_gateway.placement import Placement
from wagtailusher_gateway.prompt_caches import CacheRanking, cache_doubt, rank_for_prompt
from wagtailusher_gateway.reservation import Reservation

DISTANCE_MS = 30.0
"""Cost of another failure domain in a large fleet."""
DOMAINS = ("a", "b", "c")
CURRENT = view(*(endpoint(number) for number in range(9)))
SEEDS = range(20)
BORNE_TOKENS = PREFILL_CAP_MS * INITIAL_RATE.prompt_tokens_per_ms


def ranking(request: RequestTerms, domain: str, tokens_per_ms: float = 50.0) -> CacheRanking:
    """Return the ranking of nine engines in a VM of a failure domain."""
    registry = EndpointRegistry()
    registry.update(CURRENT, 0)
    usable = registry.usable_endpoints("engines", CURRENT, 0)
    return rank_for_prompt(
        ENGINES,
        request,
        usable,
        {item.endpoint.endpoint_id: 0.0 for item in usable},
        rate=EngineRate(prompt_tokens_per_ms=tokens_per_ms),
        own_domain_id=FailureDomainId(domain),
        remote_cost_ms=DISTANCE_MS,
    )


class DistanceTest(unittest.TestCase):
    """What reading a part again takes is weighed against the distance of another domain."""

    def test_all_domains_share_the_endpoint_of_a_long_part(self) -> None:
        for number in range(20):
            request = terms(session=f"s-{number}", shared=6_300)
            first = {
                ranking(request, domain).preferred_ids(CURRENT.endpoints)[0] for domain in DOMAINS
            }
            self.assertEqual(len(first), 1)

    def test_short_part_stays_in_its_domain(self) -> None:
        request = terms(shared=200, own=600)
        for domain in DOMAINS:
            for endpoint_id in ranking(request, domain).preferred_ids(CURRENT.endpoints):
                self.assertEqual(CURRENT.endpoints[endpoint_id].failure_domain_id, domain)

    def test_fast_engines_read_again_rather_than_far_away(self) -> None:
        request = terms(shared=2_000)
        slow = ranking(request, "a", tokens_per_ms=20.0)
        fast = ranking(request, "a", tokens_per_ms=200.0)
        self.assertIsNone(slow.near_domain_id)
        self.assertEqual(fast.near_domain_id, "a")

    def test_next_endpoint_is_preferred_when_the_first_has_no_room(self) -> None:
        order = ranking(terms(), "a")
        first, second = order.preferred_ids(CURRENT.endpoints)
        remaining = CURRENT.endpoints.keys() - {first}
        self.assertEqual(order.preferred_ids(remaining)[0], second)
        self.assertGreater(
            order.cached_chances(CURRENT.endpoints)[first],
            order.cached_chances(remaining)[second] / 2,
        )

    def test_doubt_is_largest_for_an_even_chance(self) -> None:
        request = terms(shared=6_000, own=3_000)
        doubts = [cache_doubt(request, uncached) for uncached in (3_000, 4_500, 6_000, 9_000)]
        self.assertEqual(doubts, [0.0, 0.5, 1.0, 0.0])


class WeighedWaitTest(unittest.TestCase):
    """Properties of a choice, over random loads of all engines."""

    def choose(self, loads: dict[EndpointId, Load], request: RequestTerms) -> EndpointId:
        reservation = self.reserve(new_placement(CURRENT), loads, request)
        assert reservation is not None
        return reservation.endpoint.endpoint_id

    def reserve(
        self, placement: Placement, loads: dict[EndpointId, Load], request: RequestTerms
    ) -> Reservation | None:
        placement.registry.set_peer_loads(VmId("vm-2"), list(loads.items()), 0)
        return placement.try_reserve(ENGINES, request, CURRENT, VM_IDS, 0, rank=0)

    def random_loads(self, random: Random) -> dict[EndpointId, Load]:
        return {
            key: Load(requests=random.randrange(1, 20), prefill_tokens=random.randrange(12_000))
            for key in CURRENT.endpoints
        }

    def test_fuller_endpoint_never_costs_less_than_an_emptier_one(self) -> None:
        random = Random(1)
        for _ in range(200):
            load = Load(requests=random.randrange(48), prefill_tokens=random.randrange(20_000))
            fuller = Load(
                requests=load.requests + random.randrange(3),
                prefill_tokens=load.prefill_tokens + random.randrange(5_000),
            )
            rate = EngineRate(prompt_tokens_per_ms=random.uniform(10.0, 200.0))
            delays = [delay_ms(ENGINES, endpoint(1), item, rate) for item in (load, fuller)]
            self.assertLessEqual(*delays)

    def test_endpoint_that_wins_still_wins_when_it_is_emptier(self) -> None:
        for seed in SEEDS:
            loads = self.random_loads(Random(seed))
            chosen = self.choose(loads, terms())
            emptier = Load(requests=0, prefill_tokens=loads[chosen].prefill_tokens // 2)
            with self.subTest(seed=seed):
                self.assertEqual(self.choose({**loads, chosen: emptier}, terms()), chosen)

    def test_endpoint_that_wins_still_wins_when_it_holds_the_part(self) -> None:
        for seed in SEEDS:
            loads, placement = self.random_loads(Random(seed)), new_placement(CURRENT)
            chosen = self.reserve(placement, loads, terms())
            assert chosen is not None
            placement.release(chosen, is_prefill_done=False)
            again = self.reserve(placement, loads, terms())
            assert again is not None
            with self.subTest(seed=seed):
                self.assertEqual(again.endpoint.endpoint_id, chosen.endpoint.endpoint_id)
                self.assertLessEqual(again.prefill_tokens, chosen.prefill_tokens)

    def test_hot_part_goes_to_no_engine_beyond_the_queue_that_it_bears(self) -> None:
        placement, found = new_placement(CURRENT), Counter[EndpointId]()
        for number in range(40):
            placement.record_arrival(ENGINES, terms(number), 0)
            reservation = placement.try_reserve(ENGINES, terms(number), CURRENT, VM_IDS, 0, rank=0)
            if reservation is not None:
                found[reservation.endpoint.endpoint_id] += 1
                self.assertLessEqual(reservation.waiting_tokens, BORNE_TOKENS)
        self.assertGreater(len(found), 3)


if __name__ == "__main__":
    unittest.main()
