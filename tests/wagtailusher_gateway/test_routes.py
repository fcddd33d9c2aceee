"""Tests of routing by host, prefix and API key.

They guard against requests that reach another route's service or bypass the check of the key.
"""

from __future__ import annotations

from collections import Counter
import unittest

from tests.wagtailusher_gateway.builders import configuration, plain_terms, route
from wagtailusher_core import WorkspaceId
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Split, Workspace
from wagtailusher_gateway.routes import RouteTable, choose_service, effective_rank


class RoutesTest(unittest.TestCase):
    """The longest prefix is matched, keys are checked, and splits follow their weights."""

    def test_longest_prefix_of_the_host(self) -> None:
        """A nested route is preferred to the outer one; case and port of hosts are ignored."""
        inner = route(name="inner", prefix="/book/late/")
        other = route(name="other", host="else.example", prefix="/book/late/now/")
        table = RouteTable(configuration(1, route(), inner, other))
        self.assertEqual(table.match("Shop.Example:80", "/book/late/now/1").name, "inner")
        self.assertEqual(table.match("shop.example", "/book/1").name, "book")
        for host, path in (("shop.example", "/book"), ("no.example", "/book/")):
            with self.assertRaises(RefusedError) as caught:
                table.match(host, path)
            self.assertEqual(caught.exception.status, 404)

    def test_keys(self) -> None:
        """An unknown key is refused except on public routes."""
        table = RouteTable(configuration())
        workspace = table.workspace(route(), "key")
        assert workspace is not None
        self.assertEqual(workspace.workspace_id, "members")
        for key in (None, "other"):
            with self.assertRaises(RefusedError) as caught:
                table.workspace(route(), key)
            self.assertEqual(caught.exception.status, 401)
            self.assertIsNone(table.workspace(route(is_public=True), key))

    def test_rank_of_workspace_overrides_the_routes(self) -> None:
        """A workspace without a rank uses the route's."""
        plain = Workspace(workspace_id=WorkspaceId("w"))
        self.assertEqual(effective_rank(route(rank=2), plain), 2)
        ranked = Workspace(workspace_id=WorkspaceId("w"), rank=0)
        self.assertEqual(effective_rank(route(rank=2), ranked), 0)

    def test_split_by_weight(self) -> None:
        """Requests are split by weight, and the same request always gets the same service."""
        split = route(splits=(Split(service="a", weight=90), Split(service="b", weight=10)))
        found = Counter(choose_service(split, plain_terms(number)) for number in range(2_000))
        self.assertGreater(found["b"], 140)
        self.assertLess(found["b"], 260)
        self.assertEqual(
            choose_service(split, plain_terms(7)), choose_service(split, plain_terms(7))
        )


if __name__ == "__main__":
    unittest.main()
