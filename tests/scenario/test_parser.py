"""Tests of the scenario parser.

Guards against steps that are parsed into other values than the file states, and against
syntax or name errors that pass unnoticed or are reported without file, line and expectation.
"""

from __future__ import annotations

import unittest

from tests.scenario.errors import ScenarioError
from tests.scenario.parser import parse_scenario
from tests.scenario.steps import (
    ClassSpec,
    Disturbance,
    DomainPlace,
    EventKind,
    NodePlace,
    SendStep,
    TimedEvent,
)

SETUP = """\
# A comment.
seed 7
nodes 3 in domains a b
endpoint b1 in a serves visits limit 4 cold 2 takes 200 ms  # Another.
class booking tier 0 uses visits target 500 ms not repeatable
"""


class ParserTest(unittest.TestCase):
    """Files are parsed into typed steps, or rejected with file and line."""

    def test_steps(self) -> None:
        scenario = parse_scenario(
            SETUP
            + "at 2 s cut node 1 from domain b\n"
            + "at 100 ms send booking x5 to any node by key every 10 ms and repeat\n"
            + "expect no send to domain a after 3 s until 1 min\n"
        )
        self.assertEqual((scenario.seed, scenario.node_count, scenario.domains), (7, 3, ("a", "b")))
        self.assertEqual(
            scenario.classes,
            (ClassSpec(name="booking", tier=0, pool="visits", target_ms=500, repeatable=False),),
        )
        send = SendStep(class_name="booking", count=5, every_ms=10, by_key=True, repeating=True)
        cut = Disturbance(kind=EventKind.CUT, place=NodePlace(1), other_place=DomainPlace("b"))
        self.assertEqual(
            scenario.events,
            (TimedEvent(at_ms=100, event=send, line=7), TimedEvent(at_ms=2_000, event=cut, line=6)),
        )
        (claim,) = scenario.claims
        self.assertEqual((claim.after_ms, claim.until_ms, claim.line), (3_000, 60_000, 8))

    def test_errors_name_file_line_and_what_was_expected(self) -> None:
        for step, message in (
            ("nodes three in domains a", "found 'three', expected a number"),
            ("at 5 send booking to node 1", "found 'send', expected ms, s or min"),
            ("at 5 s kill 3", "found '3', expected \"node\""),
            ("at 1 s send booking x5", 'found the end of the line, expected "to"'),
            ("at 5 s kill node 9", "no node 9, expected 1 to 3"),
            ("expect no stock ran twice", "unknown class 'stock', expected booking"),
            ("at 1 s crash endpoint e9", "unknown endpoint 'e9', expected b1"),
            ("endpoint e1 in z serves chat limit 1", "unknown domain 'z', expected a or b"),
        ):
            with self.subTest(step), self.assertRaises(ScenarioError) as caught:
                parse_scenario(f"{SETUP}{step}\n", "wrong.scenario")
            self.assertEqual(str(caught.exception), f"wrong.scenario:6: {message}")

    def test_file_without_steps(self) -> None:
        with self.assertRaises(ScenarioError):
            parse_scenario("")
        with self.assertRaises(ScenarioError):
            parse_scenario("seed 1\n")
