"""Tests of the modules that the platform's process imports.

They guard against a slower start and more memory because of packages that it does not use.
"""

from __future__ import annotations

import subprocess
import sys
import unittest

UNUSED_MODULES = (
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
"""Packages of this project, and libraries, that are not used on this platform."""


class ImportsTest(unittest.TestCase):
    """Unused packages are not imported, and the standard library is not shadowed."""

    def test_modules_of_the_process(self) -> None:
        """The entry module imports none of the unused packages."""
        code = "import sys, wagtailusher_platform.entry; print('\\n'.join(sys.modules))"
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        loaded = set(completed.stdout.decode().split())
        self.assertEqual([name for name in UNUSED_MODULES if name in loaded], [])

    def test_standard_library_is_not_shadowed(self) -> None:
        """The folder `platform` does not shadow the standard library's module."""
        code = "import platform; print(platform.system())"
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertTrue(completed.stdout.strip())


if __name__ == "__main__":
    unittest.main()
