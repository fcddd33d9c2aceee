"""Tests of the files with which the users' platform builds and runs the daemon.

A deploy file that names a missing module, or another library version than the tested one, would
only fail on a VM.
"""

from __future__ import annotations

from importlib.util import find_spec
from pathlib import Path
import tomllib
import unittest

ROOT = Path(__file__).resolve().parent.parent


def read_pinned_versions(name: str) -> dict[str, str]:
    """Return the pinned version of each library in a requirements file."""
    lines = (ROOT / name).read_text(encoding="utf-8").split()
    return dict(line.split("==") for line in lines)


class DeployTest(unittest.TestCase):
    """Checks that deploy files refer to existing modules and to the tested library versions."""

    def test_role(self) -> None:
        """The only role serves all three listeners, and its module and build script exist."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        (role,) = deploy["roles"].values()
        self.assertEqual(set(role["serves"]), {"front", "control", "directory"})
        module = role["run"].split()[-1]
        self.assertIsNotNone(find_spec(f"{module}.__main__"))
        self.assertTrue((ROOT / deploy["build"].split()[-1]).exists())
        port = role["metrics"].partition("/")[0]
        self.assertEqual(role["env"]["WAGTAILUSHER_METRICS_PORT"], port)

    def test_runtime_versions_match_tested_versions(self) -> None:
        """Each library installed on a VM has the version that the tests use."""
        tested = read_pinned_versions("requirements.txt")
        for name, version in read_pinned_versions("requirements-run.txt").items():
            with self.subTest(library=name):
                self.assertEqual(tested.get(name), version)

    def test_days_use_placeholders(self) -> None:
        """Fault plans use placeholders instead of one deployment's names, so they fit any."""
        for path in sorted((ROOT / "deploy" / "days").glob("*.toml")):
            day = tomllib.loads(path.read_text(encoding="utf-8"))
            for step in (*day.get("plan", ()), *day["faults"]):
                for field in ("service", "zone", "class"):
                    self.assertTrue(str(step.get(field, "@")).startswith("@"), step)


if __name__ == "__main__":
    unittest.main()
