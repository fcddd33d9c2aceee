"""Tests of routing by host, prefix and key."""

from __future__ import annotations

from collections import Counter
import unittest

from tests.wagtailusher_gateway.builders import configuration, plain_terms, route
from wagtailusher_core import WorkspaceId
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Split, Workspace
from wagtailusher_gateway.routes import RouteTable, rank_of, service_of


class RoutesTest(unittest.TestCase):
    """The longest prefix wins, keys decide, and splits keep their weights."""

    def test_longest_prefix_of_the_host(self) -> None:
        """A nested route goes before the one around it; hosts ignore case and port."""
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
        """An unknown key is refused but on public routes."""
        table = RouteTable(configuration())
        workspace = table.workspace(route(), "key")
        assert workspace is not None
        self.assertEqual(workspace.workspace_id, "members")
        for key in (None, "other"):
            with self.assertRaises(RefusedError) as caught:
                table.workspace(route(), key)
            self.assertEqual(caught.exception.status, 401)
            self.assertIsNone(table.workspace(route(is_public=True), key))

    def test_rank_of_workspace_goes_first(self) -> None:
        """A workspace without a rank leaves the route's."""
        plain = Workspace(workspace_id=WorkspaceId("w"))
        self.assertEqual(rank_of(route(rank=2), plain), 2)
        ranked = Workspace(workspace_id=WorkspaceId("w"), rank=0)
        self.assertEqual(rank_of(route(rank=2), ranked), 0)

    def test_split_by_weight(self) -> None:
        """Requests are split by weight, and the same request always alike."""
        split = route(splits=(Split(service="a", weight=90), Split(service="b", weight=10)))
        found = Counter(service_of(split, plain_terms(number)) for number in range(2_000))
        self.assertGreater(found["b"], 140)
        self.assertLess(found["b"], 260)
        self.assertEqual(service_of(split, plain_terms(7)), service_of(split, plain_terms(7)))


if __name__ == "__main__":
    unittest.main()
