"""Tests of the files by which the users' platform builds and runs the daemon."""

from __future__ import annotations

from importlib.util import find_spec
from pathlib import Path
import tomllib
import unittest

ROOT = Path(__file__).resolve().parent.parent


def pins(name: str) -> dict[str, str]:
    """Return the pinned versions of a list of requirements."""
    lines = (ROOT / name).read_text(encoding="utf-8").split()
    return dict(line.split("==") for line in lines)


class DeployTest(unittest.TestCase):
    """The deploy file names what exists, and VMs get what was tested."""

    def test_role(self) -> None:
        """The one role serves everybody, and its program and build can be found."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        (role,) = deploy["roles"].values()
        self.assertEqual(set(role["serves"]), {"front", "control", "directory"})
        module = role["run"].split()[-1]
        self.assertIsNotNone(find_spec(f"{module}.__main__"))
        self.assertTrue((ROOT / deploy["build"].split()[-1]).exists())
        port = role["metrics"].partition("/")[0]
        self.assertEqual(role["env"]["WAGTAILUSHER_METRICS_PORT"], port)

    def test_run_time_versions_are_those_of_the_tests(self) -> None:
        """Each library that a VM gets has the version that the tests ran with."""
        tested = pins("requirements.txt")
        for name, version in pins("requirements-run.txt").items():
            with self.subTest(library=name):
                self.assertEqual(tested.get(name), version)

    def test_days_use_placeholders(self) -> None:
        """Our own days fit any deployment."""
        for path in sorted((ROOT / "deploy" / "days").glob("*.toml")):
            day = tomllib.loads(path.read_text(encoding="utf-8"))
            for trouble in (*day.get("plan", ()), *day["faults"]):
                for field in ("service", "zone", "class"):
                    self.assertTrue(str(trouble.get(field, "@")).startswith("@"), trouble)


if __name__ == "__main__":
    unittest.main()
