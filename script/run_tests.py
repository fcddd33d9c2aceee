"""Runs the unit tests and prints the number passed and failed; tests in KNOWN-RED.txt may fail."""

from __future__ import annotations

import gc
from pathlib import Path
import sys
import unittest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test:"


def read_known_red() -> frozenset[str]:
    """Return the identifiers of the tests listed as failing because of a known fault."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    )


def load_suite(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all tests if there are no names."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))


def load_once_for_all(names: list[str]) -> unittest.TestSuite:
    """Load the tests, and leave their modules out of garbage collections, which pause the tests.

    The tests are loaded again afterwards, so that they can still be collected with what they hold.
    """
    load_suite(names)
    gc.collect()
    gc.freeze()
    return load_suite(names)


def _test_id(test: unittest.TestCase) -> str:
    """Return a test's identifier; a subtest has that of the test it belongs to."""
    owner: unittest.TestCase = getattr(test, "test_case", test)
    return owner.id()


def failed_test_ids(result: unittest.TestResult) -> set[str]:
    """Return the identifiers of the tests that failed, also in one of their subtests."""
    failed = {_test_id(test) for test, _ in result.failures + result.errors}
    return failed | {_test_id(test) for test in result.unexpectedSuccesses}


def main() -> int:
    """Run the tests and return 1 on an unexpected failure or without tests, otherwise 0."""
    sys.path.insert(0, str(ROOT))
    result = unittest.TextTestRunner(verbosity=1).run(load_once_for_all(sys.argv[1:]))
    failed = failed_test_ids(result)
    known_red = read_known_red()
    for test_id in sorted(failed & known_red):
        print(f"known red: {test_id}")
    unexpected = failed - known_red
    passed = result.testsRun - len(result.skipped) - len(failed)
    sys.stderr.flush()
    print(f"{passed} passed, {len(unexpected)} failed", flush=True)
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
