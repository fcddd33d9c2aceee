"""Tests of routing by host, prefix and API key.

They guard against requests that reach another route's service or bypass the check of the key.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
import unittest

from tests.wagtailusher_gateway.builders import configuration, plain_terms, route
from wagtailusher_core import WorkspaceId
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Split, Workspace
from wagtailusher_gateway.routes import RouteTable, choose_service


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

    def test_requests_of_one_service_are_ordered_by_workspace_and_then_by_route(self) -> None:
        """A workspace without a rank uses the route's."""
        workspaces = {
            str(rank): Workspace(workspace_id=WorkspaceId(f"w-{rank}"), rank=rank)
            for rank in (None, 0, 1)
        }
        chat = route(name="chat", prefix="/chat/", rank=0)
        review = route(name="review", prefix="/review/", rank=2)
        other = route(prefix="/other/", rank=1, splits=(Split(service="other", weight=1),))
        table = RouteTable(replace(configuration(1, chat, review, other), workspaces=workspaces))
        ranks = {
            (item.name, key): table.rank(item, workspaces[key], "desk")
            for item in (chat, review)
            for key in workspaces
        }
        self.assertEqual(ranks[("chat", "None")], ranks[("chat", "0")])
        ordered = [("chat", "0"), ("review", "0"), ("chat", "1"), ("review", "1")]
        self.assertEqual([ranks[key] for key in ordered], [0, 1, 2, 3])
        self.assertEqual(ranks[("review", "None")], 4)
        self.assertEqual(table.rank(review, None, "desk"), 4)

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
