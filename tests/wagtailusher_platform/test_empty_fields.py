"""Tests of fields that are absent, null or empty in the store's documents and in the settings.

They guard against an empty list that counts as a missing one, and opens or closes what it must not.
"""

from __future__ import annotations

from base64 import b64encode
from dataclasses import replace
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
import unittest

from tests.wagtailusher_platform.fleet import KEY, PlatformTest, configuration
from tests.wagtailusher_platform.test_settings import SETTINGS
from wagtailusher_gateway import Configuration, RefusedError
from wagtailusher_gateway.routes import RouteTable
from wagtailusher_platform.documents import parse_configuration
from wagtailusher_platform.exceptions import SettingsFileError, UnreadableEntryError
from wagtailusher_platform.settings import options_from, read_settings

KEYS = (KEY, "never-held")
OPTIONAL_OF_ROUTE = (
    *("timeout_ms", "target_latency_ms", "priority", "traffic_split", "max_attempts"),
    *("public", "stream_resume", "gap_aim_ms"),
)


def parsed(document: dict[str, Any]) -> Configuration:
    """Return the configuration of a document."""
    return parse_configuration(b64encode(json.dumps(document).encode()).decode())


def without(document: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a document without one field."""
    return {key: value for key, value in document.items() if key != name}


class TenantsTest(PlatformTest):
    """The operator takes the last tenant away."""

    async def test_last_tenant_taken_away_leaves_no_route_open(self) -> None:
        app, (runner,) = await self.async_endpoints_and_gateway("desk", ())
        self.store.put("op/config", configuration(2, tenants=[]))
        await self.async_until(lambda: app.view_cache.configuration_version == 2)
        for key in KEYS:
            reply = await self.async_ask(app, "/look/1", authorization=f"Bearer {key}")
            self.assertEqual(reply.status, 401)
            await reply.async_read()
        self.assertEqual(runner.executed_ids, [])


class ConfigurationFieldsTest(unittest.TestCase):
    """Null stands for a field that is missing; an empty list is one that is there."""

    def test_routes_are_open_only_where_no_tenants_are_stated(self) -> None:
        cases: list[tuple[Any, bool]] = [([], False), ([{"name": "a"}], False), (None, True)]
        for tenants, is_open in cases:
            table = RouteTable(parsed(configuration(tenants=tenants)))
            for route in table.configuration.routes:
                with self.subTest(tenants=tenants, route=route.name):
                    if is_open:
                        self.assertIsNone(table.workspace(route, "any"))
                        continue
                    with self.assertRaises(RefusedError) as caught:
                        table.workspace(route, "any")
                    self.assertEqual(caught.exception.status, 401)
        self.assertFalse(parsed(without(configuration(), "tenants")).has_workspaces)

    def test_tenants_of_a_wrong_type_leave_the_older_configuration(self) -> None:
        wrong: list[Any] = [{}, "", 0, False, ["a"], [None], [{"name": "a", "api_keys": "key"}]]
        for tenants in wrong:
            with self.subTest(tenants=tenants), self.assertRaises(UnreadableEntryError):
                parsed(configuration(tenants=tenants))

    def test_optional_field_that_is_null_counts_as_missing(self) -> None:
        document = configuration()
        for name in OPTIONAL_OF_ROUTE:
            with self.subTest(name=name):
                routes = [route | {name: None} for route in document["routes"]]
                missing = [without(route, name) for route in document["routes"]]
                self.assertEqual(
                    parsed(document | {"routes": routes}), parsed(document | {"routes": missing})
                )

    def test_request_handed_on_without_workspace_is_refused_where_one_is_needed(self) -> None:
        """The VM that handed it on has a configuration without tenants."""
        table = RouteTable(parsed(configuration(2)))
        route = table.configuration.routes[0]
        with self.assertRaises(RefusedError) as caught:
            table.workspace_by_id(route, None)
        self.assertEqual(caught.exception.status, 409)
        self.assertIsNone(table.workspace_by_id(replace(route, is_public=True), None))


class SettingsFieldsTest(unittest.TestCase):
    """Fields of the settings that are null or empty don't keep a process from starting."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.yaml"

    def _options(self, old: str, new: str) -> Any:
        self.assertIn(old, SETTINGS)
        self.path.write_text(SETTINGS.replace(old, new), encoding="utf-8")
        return options_from(read_settings(self.path), {})

    def test_null_stands_for_a_missing_field(self) -> None:
        self.assertEqual(
            self._options("retry_budget_slack: 58, ", "retry_budget_slack: null, "),
            self._options("retry_budget_slack: 58, ", ""),
        )
        line = next(item for item in SETTINGS.splitlines() if item.startswith("limits"))
        self.assertEqual(self._options(line, "limits: null"), self._options(line, ""))
        self.assertEqual(self._options(', ready: "10.1.0.19:8749"', "").ready_listen, None)

    def test_empty_address_is_no_address(self) -> None:
        self.assertEqual(
            self._options('control: "10.1.0.19:8748"', 'control: ""'),
            self._options(', control: "10.1.0.19:8748"', ""),
        )
        self.assertIsNone(self._options('ready: "10.1.0.19:8749"', 'ready: ""').ready_listen)

    def test_required_field_that_is_null_is_an_error(self) -> None:
        with self.assertRaises(SettingsFileError):
            self._options('zone: "a"', "zone: null")


if __name__ == "__main__":
    unittest.main()
