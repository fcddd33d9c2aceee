"""Tests of fields that are absent, null or empty in the store's documents and in the settings.

They guard against an empty list that counts as a missing one, and opens or closes what it must not.
"""

from __future__ import annotations

from base64 import b64encode
import json
from typing import Any
import unittest

from tests.wagtailusher_platform.fleet import KEY, PlatformTest, configuration
from wagtailusher_gateway import Configuration, RefusedError
from wagtailusher_gateway.routes import RouteTable
from wagtailusher_platform.documents import parse_configuration
from wagtailusher_platform.exceptions import UnreadableEntryError

KEYS = (KEY, "never-held")


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


if __name__ == "__main__":
    unittest.main()
