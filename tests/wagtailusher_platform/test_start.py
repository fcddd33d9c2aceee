"""Tests of the command that the platform starts, run as a process.

They guard against a slow start because the command line parser is imported without need.
"""

from __future__ import annotations

import subprocess
import sys
import unittest

from wagtailusher_platform.entry import EXIT_USAGE

START_TIMEOUT_S = 30


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command without settings and list what it imports on standard error."""
    return subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "wagtailusher_platform", *arguments],
        capture_output=True,
        text=True,
        env={},
        timeout=START_TIMEOUT_S,
        check=False,
    )


class StartTest(unittest.TestCase):
    """The start must be short, because callers' connections are refused until it ends."""

    def test_start_without_flags_imports_no_parser(self) -> None:
        completed = run_command()
        self.assertEqual(completed.returncode, EXIT_USAGE)
        self.assertIn("wagtailusher: ", completed.stderr)
        for name in ("defopt", "docutils", "sphinxcontrib"):
            self.assertNotIn(f" {name}", completed.stderr)

    def test_flags_are_still_parsed(self) -> None:
        completed = run_command("--help")
        self.assertEqual(completed.returncode, 0)
        self.assertIn("--settings", completed.stdout)


if __name__ == "__main__":
    unittest.main()
