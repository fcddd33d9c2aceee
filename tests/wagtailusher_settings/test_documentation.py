"""The operators' page lists every key with its default, and its examples are valid.

Guards against a page that no longer matches the schema after a key or default changes.
"""

from __future__ import annotations

from dataclasses import fields
import json
from pathlib import Path
import re
import unittest

from wagtailusher_settings import FleetPolicy, parse_settings
from wagtailusher_settings.policy import DEFAULT_POLICY, FLEET_KEYS, POLICY_KEYS
from wagtailusher_settings.schema import FleetModel, HeaderModel, RouteModel, WorkspaceModel

PAGE = (Path(__file__).parents[2] / "docs" / "CONFIGURATION.md").read_text()


class DocumentationTest(unittest.TestCase):
    """Comparison of the page with the code."""

    def test_every_key_is_on_the_page(self) -> None:
        models = (HeaderModel, FleetModel, WorkspaceModel, RouteModel)
        for model in models:
            for key in model.model_fields:
                self.assertRegex(PAGE, rf"(?m)^\| `{key}` \|")

    def test_defaults_are_those_of_the_code(self) -> None:
        values = {key: getattr(DEFAULT_POLICY, key) for key in POLICY_KEYS}
        values |= {item.name: item.default for item in fields(FleetPolicy)}
        self.assertEqual(values.keys(), {*POLICY_KEYS, *FLEET_KEYS})
        for key, value in values.items():
            shown = value if isinstance(value, str) else json.dumps(value, default=sorted)
            with self.subTest(key=key):
                self.assertIn(f"| `{shown}` |", re.findall(rf"(?m)^\| `{key}` .*$", PAGE)[0])

    def test_examples_are_valid(self) -> None:
        examples = re.findall(r"```yaml\n(.*?)```", PAGE, re.DOTALL)
        self.assertEqual(len(examples), 3)
        for example in examples:
            parse_settings(example.encode())
