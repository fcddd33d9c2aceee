"""Tests of streams that share engines with other streams and with long prompts.

They guard against streams that crowd at few engines while others have room, and against streams at
engines that read prompts all the time.
"""

from __future__ import annotations

from collections import Counter
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
from wagtailusher_gateway.delays import delay_ms
from wagtailusher_gateway.endpoint_registry import Load
from wagtailusher_gateway.engine_rates import INITIAL_RATE, EngineRates
from wagtailusher_gateway.models import RequestTerms
from wagtailusher_gateway.placement import Placement

ENGINE_COUNT = 5
EVENT_TOKENS = 6
LIGHT_GAP_MS = 30.0
GROWTH_MS = 0.25
"""What each running request adds to a step of the engines in these tests."""
CROWD = 24
CHATS = 40
CHAT: RequestTerms = replace(terms(shared=198, own=628), max_output_tokens=294)
REVIEW = terms(shared=6_300, own=2_890)


def observe(
    rates: EngineRates,
    service: str,
    endpoint_id: EndpointId,
    busy_gap_ms: float,
    *,
    is_crowded: bool = True,
) -> None:
    """Record gaps at an engine whose steps grow with its requests, if it ever had many."""
    crowded_ms = LIGHT_GAP_MS + CROWD * GROWTH_MS * EVENT_TOKENS
    for _ in range(12):
        rates.record_output(service, 294, 49, 0)
        rates.record_gap(service, endpoint_id, LIGHT_GAP_MS, 0, is_busy=False, running=1)
        rates.record_gap(service, endpoint_id, busy_gap_ms, 0, is_busy=True, running=1)
    rates.service_rate(service, 0)
    for _ in range(12 if is_crowded else 0):
        rates.record_gap(service, endpoint_id, crowded_ms, 1_000, is_busy=False, running=CROWD)


class StepGrowthTest(unittest.TestCase):
    """The growth of a step with the running requests."""

    def test_growth_is_learnt_from_gaps_of_crowded_engines(self) -> None:
        rates = EngineRates()
        rates.update_endpoints({EndpointId("i-0"): "engines"}, ())
        observe(rates, "engines", EndpointId("i-0"), busy_gap_ms=500.0)
        rate = rates.service_rate("engines", 2_000)
        self.assertGreater(rate.step_ms_per_request, GROWTH_MS / 2)
        self.assertLess(rate.step_ms_per_request, GROWTH_MS * 2)

    def test_running_requests_delay_longer_answers_more(self) -> None:
        rate = replace(INITIAL_RATE, step_ms_per_request=GROWTH_MS)
        loads = [Load(requests=count) for count in (0, 8, 16)]
        long, short = (
            [delay_ms(ENGINES, endpoint(1), load, rate, tokens) for load in loads]
            for tokens in (294, 10)
        )
        self.assertEqual(sorted(long), long)
        self.assertEqual(long[0], short[0])
        self.assertGreater(long[2], short[2])


class StreamPlacementTest(unittest.TestCase):
    """Streams that come at once while few or many long prompts are asked for."""

    def _place_chats(self, review_count: int, *, is_crowded: bool = True) -> Counter[EndpointId]:
        """Return where chats are placed after so many long prompts."""
        self.view = view(*(endpoint(number, slots=48) for number in range(ENGINE_COUNT)))
        placement: Placement = new_placement(self.view)
        for number in range(ENGINE_COUNT):
            name = EndpointId(f"i-{number}")
            observe(
                placement.engine_rates,
                ENGINES.name,
                name,
                busy_gap_ms=700.0,
                is_crowded=is_crowded,
            )
        for _ in range(review_count):
            placement.record_arrival(ENGINES, REVIEW, 2_000)
        found: Counter[EndpointId] = Counter()
        for number in range(CHATS):
            chat = replace(terms(number, shared=198, own=628), max_output_tokens=294)
            placement.record_arrival(ENGINES, chat, 2_000)
            reserved = placement.try_reserve(ENGINES, chat, self.view, VM_IDS, 2_000, rank=0)
            if reserved is not None:
                placement.record_prefill_done(reserved)
                found[reserved.endpoint.endpoint_id] += 1
        return found

    def test_streams_do_not_crowd_at_one_engine_while_few_prompts_are_read(self) -> None:
        found = self._place_chats(review_count=12)
        self.assertEqual(sum(found.values()), CHATS)
        self.assertGreaterEqual(len(found), 2)
        unlearnt = self._place_chats(review_count=12, is_crowded=False)
        self.assertLess(max(found.values()), max(unlearnt.values()))

    def test_streams_leave_engines_that_read_prompts_all_the_time(self) -> None:
        found = self._place_chats(review_count=80)
        own_engines = max(found.values())
        self.assertGreaterEqual(own_engines, sum(found.values()) * 0.9, found)


if __name__ == "__main__":
    unittest.main()
