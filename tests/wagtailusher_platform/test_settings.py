"""Tests of reading the settings file.

They guard against fields that end in the wrong option, and against a start with invalid settings.
"""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
import unittest

from wagtailusher_platform.entry import EXIT_USAGE, run
from wagtailusher_platform.exceptions import SettingsFileError
from wagtailusher_platform.settings import options_from, read_settings

SETTINGS = """
node_name: "front-a-1"
ip: "10.1.0.19"
zone: "a"
new_field_of_tomorrow: {x: 1}
listen: {front: "10.1.0.19:8740", ready: "10.1.0.19:8749", control: "10.1.0.19:8748"}
internal_ports: [7200, 7215]
seeds: ["10.1.0.19:8748", "10.2.0.13:8748"]
limits: {cpu_share: 0.5, cpu_cores: 2, memory_mb: 300, max_fds: 4100}
bounds: {grace_s: 8, retry_budget_ratio: 0.2, retry_budget_slack: 58, budget_window_s: 10,
         cold_overage: 1.5, cold_slack: 5, ttl_max_s: 5, strict_revoke: false}
platform: {address: "10.200.1.7:8742", form: "read"}
"""


class SettingsTest(unittest.TestCase):
    """The file is converted to options with units, or raises an error with a code."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.yaml"

    def test_options(self) -> None:
        """Every address and bound is stored in its own field."""
        self.path.write_text(SETTINGS, encoding="utf-8")
        options = options_from(read_settings(self.path), {"WAGTAILUSHER_METRICS_PORT": "9464"})
        self.assertEqual(options.peer_listen, "10.1.0.19:7200")
        self.assertEqual(options.seeds, ("10.1.0.19:7200", "10.2.0.13:7200"))
        self.assertEqual(options.view_listen, "10.1.0.19:8748")
        self.assertEqual(options.metrics_listen, "10.1.0.19:9464")
        self.assertIsNone(options.directory_listen)
        self.assertEqual((options.grace_ms, options.weight), (8000, 100))
        self.assertEqual(options.max_buffered_bytes, 75_000_000)
        self.assertEqual(options.bounds.retry_window_ms, 10_000)

    def test_buffered_answers_have_a_budget_whatever_memory_is_stated(self) -> None:
        """No or little memory stated leaves room for ordinary answers."""
        for stated, budget_bytes in (("", 32_000_000), ("memory_mb: 0, ", 4_194_304)):
            content = SETTINGS.replace("memory_mb: 300, ", stated)
            self.path.write_text(content, encoding="utf-8")
            options = options_from(read_settings(self.path), {})
            self.assertEqual(options.max_buffered_bytes, budget_bytes)

    def test_invalid_files_raise_errors_with_a_code(self) -> None:
        """A file that is malformed, incomplete or missing ends the start with an error."""
        for content in ("a: [", "node_name: x", SETTINGS.replace("[7200, 7215]", '"many"')):
            self.path.write_text(content, encoding="utf-8")
            with self.assertRaises(SettingsFileError) as caught:
                read_settings(self.path)
            self.assertEqual(caught.exception.code, "settings_invalid")
        self.assertEqual(run(self.path), EXIT_USAGE)
        self.assertEqual(run(self.path.with_name("missing")), EXIT_USAGE)


if __name__ == "__main__":
    unittest.main()
