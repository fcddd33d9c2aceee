"""Runs every scenario file as a test of its own.

Guards against faults in the interplay of the deciders, which arise when VMs, endpoints and
links fail during requests, and against checks that no longer detect a violation.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
import unittest

from tests.scenario.interpreter import run_scenario
from tests.scenario.parser import parse_scenario, read_scenario
from tests.wagtailusher_once.schedules.faults import Fault

SCENARIOS = Path(__file__).resolve().parent.parent / "scenarios"


class ScenarioFilesTest(unittest.TestCase):
    """The expectations of each file hold."""


class ScenarioChecksTest(unittest.TestCase):
    """The checks detect faults and failed expectations, and a seed gives the same run."""

    def test_injected_fault_is_detected(self) -> None:
        scenario = read_scenario(SCENARIOS / "booking_home_killed.scenario")
        result = run_scenario(scenario, fault=Fault.HOME_CHECK_SKIPPED)
        self.assertTrue(any("ran twice" in problem for problem in result.problems))

    def test_failed_expectations_are_reported(self) -> None:
        text = (SCENARIOS / "configuration_invalid.scenario").read_text(encoding="utf-8")
        wrong = (
            "expect at least 1 advice refused",
            "expect no send to domain b after 0 s",
            "expect sends to domain a after 4 s until 7 s",
            "expect configuration 9 everywhere by 5 s",
            "expect at least 1 crashes",
        )
        scenario = parse_scenario(text + "\n".join(wrong) + "\n")
        self.assertEqual(len(run_scenario(scenario).problems), len(wrong))

    def test_same_seed_gives_same_sends(self) -> None:
        scenario = read_scenario(SCENARIOS / "booking_home_paused.scenario")
        first, second = run_scenario(scenario).fleet, run_scenario(scenario).fleet
        self.assertEqual(first.sends, second.sends)


def _make_test(path: Path) -> Callable[[ScenarioFilesTest], None]:
    """Return the test method of one file."""

    def test(self: ScenarioFilesTest) -> None:
        self.assertEqual(run_scenario(read_scenario(path)).problems, [])

    return test


for _path in sorted(SCENARIOS.glob("*.scenario")):
    setattr(ScenarioFilesTest, f"test_{_path.stem}", _make_test(_path))
