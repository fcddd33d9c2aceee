"""Tests of the learnt rates of engines, against a model whose true rates are known.

They guard against queues that are far too long for an engine because its speed was assumed.
"""

from __future__ import annotations

from random import Random
import unittest

from tests.wagtailusher_gateway.builders import endpoint
from tests.wagtailusher_gateway.engine_model import SERVICE, ModelFleet
from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.answer_timing import AnswerTiming
from wagtailusher_gateway.engine_rates import (
    INITIAL_RATE,
    MAX_FIXED_GAPS,
    EngineRates,
    FirstEvent,
)
from wagtailusher_gateway.rate_reports import MAX_RATES, apply_rates, new_rates
from wagtailusher_gateway.reservation import Reservation

SEEDS = range(5)
ENGINE_COUNT = 8
BASE_RATES = (40.8, 51.1, 91.8)
SPEEDS = (0.55, 1.0, 1.2)
MAX_ERROR = 515 / 350
"""Factor by which a rate may be wrong: the strictest target of these engines' callers, divided by
the queue of prompts that an engine may have."""
LEARNING_MS = 20_000


def new_fleet(vm_count: int, *, load: float, loss: float, seed: int) -> ModelFleet:
    """Return VMs that know nothing of engines of different speeds."""
    random = Random(seed)
    base = random.choice(BASE_RATES)
    rates = [base * random.choice(SPEEDS) for _ in range(ENGINE_COUNT)]
    return ModelFleet(rates, vm_count, load=load, loss=loss, seed=seed)


def new_engine(tokens_per_ms: float, now_ms: int = 0) -> EngineRates:
    """Return the rates of a VM that observed one engine of two that it knows."""
    rates = EngineRates()
    rates.update_endpoints({EndpointId("i-0"): SERVICE, EndpointId("i-1"): SERVICE}, ())
    for number in range(12):
        event = FirstEvent(elapsed_ms=20 + 4_000 / tokens_per_ms, own_tokens=4_000, queued_tokens=0)
        rates.record_first_event(SERVICE, EndpointId("i-0"), event, now_ms + number * 100)
    return rates


class FixedPartTest(unittest.TestCase):
    """The fixed part of the time to a first event."""

    def test_unknown_queues_are_not_taken_for_the_fixed_part(self) -> None:
        rates = new_engine(45.0)
        for number in range(12):
            event = FirstEvent(elapsed_ms=400, own_tokens=100, queued_tokens=0)
            rates.record_first_event(SERVICE, EndpointId("i-0"), event, 1_200 + number * 100)
        rate = rates.service_rate(SERVICE, 3_000)
        self.assertLessEqual(rate.first_event_ms, MAX_FIXED_GAPS * rate.quiet_gap_ms)


class EstimateTest(unittest.TestCase):
    """VMs find each engine's rate in spite of slow spells, unknown queues and wrong beliefs."""

    def test_most_rates_are_found(self) -> None:
        for vm_count, load in ((1, 0.3), (6, 0.5), (6, 0.8), (40, 0.5), (40, 0.8)):
            errors = []
            for seed in SEEDS:
                fleet = new_fleet(vm_count, load=load, loss=0.2, seed=seed)
                fleet.run(LEARNING_MS)
                errors += fleet.errors()
            errors.sort()
            with self.subTest(vm_count=vm_count, load=load):
                self.assertLess(errors[len(errors) * 9 // 10], MAX_ERROR)

    def test_overload_hides_the_rates_of_few_engines(self) -> None:
        """Engines without a pause show little more than their queue."""
        errors = []
        for seed in SEEDS:
            fleet = new_fleet(6, load=1.0, loss=0.2, seed=seed)
            fleet.run(LEARNING_MS)
            errors += fleet.errors()
        errors.sort()
        self.assertLess(errors[len(errors) * 3 // 4], MAX_ERROR)

    def test_engines_that_turn_slow_are_followed(self) -> None:
        errors = []
        for seed in SEEDS:
            fleet = new_fleet(6, load=0.4, loss=0.2, seed=seed)
            fleet.run(LEARNING_MS)
            for engine in fleet.engines.values():
                engine.tokens_per_ms /= 2
            fleet.run(LEARNING_MS)
            errors += fleet.errors()
        errors.sort()
        self.assertLess(errors[len(errors) * 9 // 10], MAX_ERROR)

    def test_vm_that_starts_learns_from_its_peers(self) -> None:
        errors = []
        for seed in SEEDS:
            fleet = new_fleet(12, load=0.5, loss=0.5, seed=seed)
            fleet.run(LEARNING_MS)
            fleet.vms[0] = EngineRates()
            fleet.vms[0].update_endpoints(dict.fromkeys(fleet.engines, SERVICE), ())
            fleet.run(LEARNING_MS // 4)
            errors += fleet.errors(vm_count=1)
        errors.sort()
        self.assertLess(errors[len(errors) * 9 // 10], MAX_ERROR)


class EngineRatesTest(unittest.TestCase):
    """What is not known of an engine is taken from its service, and from the start value."""

    def test_unknown_engine_has_the_rate_of_its_service(self) -> None:
        rates = new_engine(90.0)
        self.assertEqual(EngineRates().rate(SERVICE, EndpointId("i-0"), 0), INITIAL_RATE)
        unknown = rates.rate(SERVICE, EndpointId("i-1"), 2_000).prompt_tokens_per_ms
        known = rates.rate(SERVICE, EndpointId("i-0"), 2_000).prompt_tokens_per_ms
        self.assertEqual(unknown, rates.service_rate(SERVICE, 2_000).prompt_tokens_per_ms)
        self.assertLess(INITIAL_RATE.prompt_tokens_per_ms, unknown)
        self.assertLess(unknown, known)

    def test_engine_that_starts_anew_has_the_rate_of_its_service(self) -> None:
        rates = new_engine(90.0)
        services = {EndpointId("i-0"): SERVICE, EndpointId("i-1"): SERVICE}
        rates.update_endpoints(services, [EndpointId("i-0")])
        for now_ms in (2_000, 4_000):
            self.assertEqual(
                rates.rate(SERVICE, EndpointId("i-0"), now_ms), rates.service_rate(SERVICE, now_ms)
            )

    def test_observations_that_are_too_old_do_not_count(self) -> None:
        rates = new_engine(90.0)
        self.assertEqual(rates.rate(SERVICE, EndpointId("i-0"), 60_000), INITIAL_RATE)

    def test_only_own_observations_are_told(self) -> None:
        teller, other = new_engine(90.0), EngineRates()
        other.update_endpoints({EndpointId("i-0"): SERVICE}, ())
        told = new_rates(teller, 1_200)
        self.assertEqual([item.endpoint_id for item in told], ["i-0"])
        self.assertAlmostEqual(told[0].prompt_tokens_per_s, 90_000, delta=1)
        apply_rates(other, VmId("vm-1"), told, 1_200)
        self.assertGreater(other.rate(SERVICE, EndpointId("i-0"), 1_200).prompt_tokens_per_ms, 60)
        self.assertEqual(new_rates(other, 1_200), ())

    def test_all_rates_are_told_in_turn(self) -> None:
        fleet = new_fleet(1, load=0.5, loss=0.0, seed=1)
        fleet.run(3_000)
        observed = set(fleet.vms[0].observed_ids(fleet.now_ms))
        self.assertGreater(len(observed), MAX_RATES)
        told = set()
        for step in range(8):
            rates = new_rates(fleet.vms[0], fleet.now_ms + 200 * step)
            self.assertLessEqual(len(rates), MAX_RATES)
            told |= {item.endpoint_id for item in rates}
        self.assertEqual(told, observed)


class AnswerTimingTest(unittest.TestCase):
    """Gaps between events tell how an engine decodes with and without prompts to read."""

    def test_gaps_of_busy_and_quiet_engines_are_told_apart(self) -> None:
        rates = EngineRates()
        rates.update_endpoints({EndpointId("i-1"): SERVICE}, ())
        for queued_tokens, gap_ms in ((0, 30), (20_000, 800), (2_000, 300)):
            timing = _new_timing(rates, queued_tokens)
            for number in range(20):
                timing.record_events(1, 0, 16_000 - (19 - number) * gap_ms)
        rate = rates.rate(SERVICE, EndpointId("i-1"), 17_000)
        self.assertAlmostEqual(rate.quiet_gap_ms, 30, delta=6)
        self.assertAlmostEqual(rate.busy_gap_ms, 800, delta=160)

    def test_step_is_a_token_of_an_event(self) -> None:
        rates = EngineRates()
        timing = _new_timing(rates, 0)
        for number in range(10):
            timing.record_events(1, 0, 100 + number * 30)
        timing.record_complete(400)
        rate = rates.rate(SERVICE, EndpointId("i-1"), 2_000)
        self.assertAlmostEqual(rate.step_ms, rate.quiet_gap_ms / 6)

    def test_endpoint_without_prompts_is_not_observed(self) -> None:
        rates = EngineRates()
        timing = _new_timing(rates, 0, prompt_tokens=0)
        timing.record_events(1, 0, 100)
        timing.record_events(1, 0, 200)
        timing.record_complete(300)
        self.assertEqual(rates.observed_ids(300), [])


def _new_timing(rates: EngineRates, queued_tokens: int, prompt_tokens: int = 900) -> AnswerTiming:
    reservation = Reservation(
        endpoint=endpoint(1),
        prefill_tokens=prompt_tokens,
        memory_tokens=0,
        is_cold=False,
        cost_ms=0.0,
        waiting_tokens=queued_tokens,
        running=0,
        own_running=0,
        load_age_ms=0,
        output_tokens=60,
    )
    return AnswerTiming(rates, reservation, lambda now_ms: queued_tokens)


if __name__ == "__main__":
    unittest.main()
