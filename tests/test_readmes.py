"""Runs the Python examples in the libraries' README files, which are otherwise not executed."""

from __future__ import annotations

from pathlib import Path
import re
import unittest

PACKAGES = Path(__file__).resolve().parent.parent / "packages"
LIBRARIES_WITH_EXAMPLES = (
    "admission",
    "availability",
    "liveness",
    "once",
    "quarantine",
    "rate_limits",
    "router",
    "settings",
)
_EXAMPLE = re.compile(r"```python\n(.*?)```", re.DOTALL)


class ReadmesTest(unittest.TestCase):
    """Checks that each example runs unchanged."""

    def test_examples(self) -> None:
        for name in LIBRARIES_WITH_EXAMPLES:
            path = PACKAGES / f"wagtailusher_{name}" / "README.md"
            examples = _EXAMPLE.findall(path.read_text(encoding="utf-8"))
            self.assertTrue(examples, name)
            for example in examples:
                with self.subTest(library=name):
                    exec(compile(example, str(path), "exec"), {})


if __name__ == "__main__":
    unittest.main()
