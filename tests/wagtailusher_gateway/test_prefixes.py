"""Tests of how shared prompts are brought to endpoints that keep them already."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
import random
import unittest

from tests.wagtailusher_gateway.builders import ENGINES, endpoint, new_placement, view
from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.models import PromptPart, RequestTerms
from wagtailusher_gateway.placement import Placed, Placement
from wagtailusher_gateway.prefixes import PrefixMemory

SYSTEM_PART = PromptPart(part_id="system", tokens=2_500)
SESSION_PART = PromptPart(part_id="session", tokens=3_800)
OWN_TOKENS = 2_900
FIRST = EndpointId("i-1")
ENGINE_COUNT = 6
VMS = tuple(VmId(f"vm-{number}") for number in range(5))
SESSIONS = 120
KEPT_SESSIONS = 40
"""Sessions that an engine keeps; together they keep twice as many as there are."""
REQUESTS = 2_000
CALM_STEP_MS = 25
BURST_STEP_MS = 8
"""Time between requests in a burst; more than the engines read."""
READ_MS = 100


class PrefixMemoryTest(unittest.TestCase):
    """What an endpoint is expected to read anew."""

    def test_what_was_read_lately_is_kept(self) -> None:
        memory = PrefixMemory()
        parts = (SYSTEM_PART, SESSION_PART)
        memory.note_used(parts, FIRST, 0)
        self.assertEqual(memory.expect_missing(parts, 1.0, 100)(FIRST, 0.0), 0)
        self.assertEqual(memory.expect_missing(parts, 0.0, 100)(EndpointId("i-2"), 0.0), 6_300)
        self.assertEqual(memory.expect_missing(parts, 0.0, 60_000)(FIRST, 0.0), 6_300)

    def test_part_that_all_requests_share_is_taken_to_be_everywhere(self) -> None:
        memory = PrefixMemory()
        for number in range(10):
            session = PromptPart(part_id=f"session-{number}", tokens=3_800)
            memory.note_used((SYSTEM_PART, session), FIRST, number)
        missing = memory.expect_missing((SYSTEM_PART, SESSION_PART), 1.0, 10)
        self.assertEqual(missing(EndpointId("i-2"), 0.0), 3_800)

    def test_part_is_not_kept_without_those_before_it(self) -> None:
        """Whoever keeps the last part keeps all, and whoever lacks the first lacks all."""
        memory = PrefixMemory()
        missing = memory.expect_missing((SYSTEM_PART, SESSION_PART), 1.0, 0)
        self.assertEqual(missing(FIRST, 0.9), 630)

    def test_unseen_sessions_are_no_repeats(self) -> None:
        memory = PrefixMemory()
        for number in range(200):
            memory.note_used((PromptPart(part_id=f"s-{number}", tokens=9),), FIRST, number)
        self.assertLess(memory.repeat_chance(9), 0.01)
        for number in range(200):
            memory.note_used((SESSION_PART,), FIRST, 200 + number)
        self.assertGreater(memory.repeat_chance(9), 0.9)


class Engines:
    """Engines that keep the sessions they used last, and count what they read again."""

    def __init__(self) -> None:
        """Start with nothing kept."""
        self._kept: dict[EndpointId, OrderedDict[str, None]] = {}
        self.read_again_tokens = 0

    def read(self, endpoint_id: EndpointId, session: PromptPart) -> None:
        """Read a session's part unless it is kept."""
        kept = self._kept.setdefault(endpoint_id, OrderedDict())
        if session.part_id not in kept:
            self.read_again_tokens += session.tokens
        kept[session.part_id] = None
        kept.move_to_end(session.part_id)
        if len(kept) > KEPT_SESSIONS:
            kept.popitem(last=False)


Choose = Callable[[Placement, RequestTerms, int], EndpointId | None]


def play(choose: Choose, seed: int, step_ms: int) -> int:
    """Play reviews of recurring sessions at several VMs; return the tokens read again."""
    chance = random.Random(seed)
    engines = Engines()
    current = view(*(endpoint(number) for number in range(ENGINE_COUNT)))
    placements = [new_placement(current) for _ in VMS]
    for number in range(REQUESTS):
        session = PromptPart(part_id=f"session-{chance.randrange(SESSIONS)}", tokens=3_800)
        terms = RequestTerms(
            attempt_id=f"attempt-{number}",
            host="shop.example",
            deadline_ms=4_000,
            api_key="key",
            prompt_tokens=SYSTEM_PART.tokens + session.tokens + OWN_TOKENS,
            max_output_tokens=60,
            parts=(SYSTEM_PART, session, PromptPart(part_id=f"own-{number}", tokens=OWN_TOKENS)),
        )
        chosen = choose(chance.choice(placements), terms, number * step_ms)
        if chosen is not None:
            engines.read(chosen, session)
    return engines.read_again_tokens


class Placer:
    """Chooses by the product's placement and gives each place back when it was read."""

    def __init__(self) -> None:
        """Start without requests."""
        self._view = view(*(endpoint(number) for number in range(ENGINE_COUNT)))
        self._running: list[tuple[int, Placement, Placed]] = []

    def __call__(self, placement: Placement, terms: RequestTerms, now_ms: int) -> EndpointId | None:
        """Return where a request goes."""
        for ends_ms, owner, placed in tuple(self._running):
            if ends_ms <= now_ms:
                owner.release(placed, began=False)
                self._running.remove((ends_ms, owner, placed))
        placement.note_demand(ENGINES, terms, now_ms)
        current = replace(self._view, confirmed_ms=now_ms)
        placed_now = placement.take(ENGINES, terms, current, VMS, now_ms)
        if placed_now is None:
            return None
        self._running.append((now_ms + READ_MS, placement, placed_now))
        return placed_now.endpoint.endpoint_id


def choose_at_random(seed: int) -> Choose:
    """Return a choice without any thought."""
    chance = random.Random(seed)
    return lambda placement, terms, now_ms: EndpointId(f"i-{chance.randrange(ENGINE_COUNT)}")


class SharedPromptLoadTest(unittest.TestCase):
    """Several VMs that don't talk about prompts bring each session to few engines."""

    def share_of_random_choice(self, seed: int, step_ms: int) -> float:
        """Return the tokens read again against those of a random choice."""
        return play(Placer(), seed, step_ms) / play(choose_at_random(seed), seed, step_ms)

    def test_a_third_of_the_reading_of_random_choice(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertLess(self.share_of_random_choice(seed, CALM_STEP_MS), 1 / 3)

    def test_half_of_it_in_a_burst_beyond_what_the_engines_read(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.assertLess(self.share_of_random_choice(seed, BURST_STEP_MS), 1 / 2)


if __name__ == "__main__":
    unittest.main()
