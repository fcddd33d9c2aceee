"""Tests of the test runner's handling of failed tests.

They guard against a CI that fails because of a test in KNOWN-RED.txt.
"""

from __future__ import annotations

from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path
from types import ModuleType
import unittest

RUNNER_FILE = Path(__file__).resolve().parent.parent / "script" / "run_tests.py"


def _load_runner() -> ModuleType:
    """Import the test runner, which is not part of a package."""
    spec = spec_from_file_location("run_tests", RUNNER_FILE)
    assert spec is not None and spec.loader is not None
    module = module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def _new_failing_case() -> unittest.TestCase:
    """Return a test that fails in two subtests and raises in a third one."""

    class FailingCase(unittest.TestCase):
        def runTest(self) -> None:
            for number in range(2):
                with self.subTest(number=number):
                    self.fail("expected")
            with self.subTest("error"):
                raise ValueError("expected")

    return FailingCase()


class RunTestsTest(unittest.TestCase):
    """The runner identifies failed tests as KNOWN-RED.txt lists them."""

    def test_failed_subtests_have_the_identifier_of_their_test(self) -> None:
        """A listed test is recognised when only its subtests fail."""
        result = unittest.TestResult()
        case = _new_failing_case()
        case.run(result)
        self.assertEqual((len(result.failures), len(result.errors)), (2, 1))
        self.assertEqual(_load_runner().failed_test_ids(result), {case.id()})

    def test_other_failures_keep_their_identifier(self) -> None:
        """A test that fails outside of any subtest is recognised, too."""
        result = unittest.TestResult()
        case = unittest.FunctionTestCase(lambda: self.fail("expected"))
        case.run(result)
        self.assertEqual(_load_runner().failed_test_ids(result), {case.id()})


if __name__ == "__main__":
    unittest.main()
