"""Tests of the comparison of ways to find a part that crashes endpoints.

A run that depends on more than its arguments, or in which nothing crashes, would compare nothing.
"""

from __future__ import annotations

import os
import subprocess
import sys
import unittest

from wagtailusher_bench.quarantine import WAYS, run_case


class RunnerTest(unittest.TestCase):
    """One small fleet with one seed for each way."""

    def test_results_depend_only_on_the_arguments(self) -> None:
        """Processes differ in the order of their sets."""
        module = "wagtailusher_bench.quarantine"
        options = ["--seeds", "2", "--vms", "9", "--variant", "bystander"]
        outputs = [
            subprocess.run(
                [sys.executable, "-m", module, *options],
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
                check=True,
                capture_output=True,
            ).stdout
            for hash_seed in ("1", "2")
        ]
        self.assertEqual(outputs[0], outputs[1])
        self.assertEqual(len(set(outputs[0].splitlines())), 2 * len(WAYS))

    def test_each_way_refuses_the_part_and_nothing_else(self) -> None:
        for way in WAYS:
            with self.subTest(way):
                result = run_case(way, 9, "plain", 3)
                self.assertGreaterEqual(result.poison_crashes, 2)
                self.assertLess(result.poison_crashes, 10)
                self.assertGreater(result.message_bytes, result.messages * 28)
                self.assertEqual(result.sound_refused, 0)

    def test_bystander_tells_the_ways_apart(self) -> None:
        """Counts of crashes accuse a sound part that was in flight at two of them."""
        refused = {way: run_case(way, 9, "bystander", 3).rare_refused for way in WAYS}
        self.assertEqual(refused["evidence"], 0)
        self.assertGreater(refused["score"], 0)


if __name__ == "__main__":
    unittest.main()
