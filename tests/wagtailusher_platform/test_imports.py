"""Tests of what the platform's process loads."""

from __future__ import annotations

import subprocess
import sys
import unittest

NEEDLESS = (
    "matplotlib",
    "opentelemetry",
    "pydantic",
    "wagtailusher_admission",
    "wagtailusher_membership",
    "wagtailusher_once",
    "wagtailusher_placement",
    "wagtailusher_router",
    "wagtailusher_settings",
)
"""Parts of the product, and libraries, that have no work on this platform."""


class ImportsTest(unittest.TestCase):
    """What isn't used is not loaded, and the standard library is not shadowed."""

    def test_modules_of_the_process(self) -> None:
        """The entry module loads none of the parts that this platform makes needless."""
        code = "import sys, wagtailusher_platform.entry; print('\\n'.join(sys.modules))"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        loaded = set(done.stdout.decode().split())
        self.assertEqual([name for name in NEEDLESS if name in loaded], [])

    def test_standard_library_is_not_shadowed(self) -> None:
        """The adapter's folder is no package of the standard library's name."""
        code = "import platform; print(platform.system())"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertTrue(done.stdout.strip())


if __name__ == "__main__":
    unittest.main()
