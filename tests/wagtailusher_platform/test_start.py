"""Tests of the command that the platform starts, run as a process.

They guard against a slow start because the command line parser is imported without need, and
against a process that a signal ends before it has read its settings.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import unittest

from wagtailusher_platform.entry import EXIT_USAGE

START_TIMEOUT_S = 30
COMMAND = (sys.executable, "-X", "importtime", "-m", "wagtailusher_platform")
"""Lists what the command imports on standard error."""


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command without settings."""
    return subprocess.run(
        [*COMMAND, *arguments],
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

    def test_reload_requested_during_the_imports_does_not_end_the_process(self) -> None:
        with subprocess.Popen(COMMAND, stderr=subprocess.PIPE, text=True, env={}) as process:
            assert process.stderr is not None
            for line in process.stderr:
                if "asyncio" in line:
                    process.send_signal(signal.SIGHUP)
                    break
            process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(process.returncode, EXIT_USAGE)


if __name__ == "__main__":
    unittest.main()
