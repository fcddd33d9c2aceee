"""Tests of the command that the platform starts, as a process."""

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
    """A start wastes no time, as callers find no listener meanwhile."""

    def test_start_without_flags_imports_no_parser(self) -> None:
        ended = run_command()
        self.assertEqual(ended.returncode, EXIT_USAGE)
        self.assertIn("wagtailusher: ", ended.stderr)
        for name in ("defopt", "docutils", "sphinxcontrib"):
            self.assertNotIn(f" {name}", ended.stderr)

    def test_flags_are_still_parsed(self) -> None:
        ended = run_command("--help")
        self.assertEqual(ended.returncode, 0)
        self.assertIn("--settings", ended.stdout)


if __name__ == "__main__":
    unittest.main()
