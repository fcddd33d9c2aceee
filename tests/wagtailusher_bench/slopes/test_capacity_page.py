"""Tests that the capacity page's tables follow from its measured figures.

The tables become wrong when a figure is updated or the model changes without printing them anew.
"""

from __future__ import annotations

from contextlib import redirect_stdout
from dataclasses import replace
from io import StringIO
import json
from pathlib import Path
import unittest

from wagtailusher_bench.__main__ import main
from wagtailusher_bench.slopes.capacity import DESIGN, SIZES
from wagtailusher_bench.slopes.capacity_page import read_figures, role_costs, table_row

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"


class CapacityPageTest(unittest.TestCase):
    """The tables of the page are computed from its figures."""

    def setUp(self) -> None:
        self.page = PAGE.read_text()
        self.figures = read_figures(self.page)

    def test_every_row_follows_from_the_figures(self) -> None:
        lines = set(self.page.splitlines())
        for name, size in SIZES.items():
            for cost in role_costs(self.figures, size):
                with self.subTest(size=name, role=cost.role):
                    self.assertIn(table_row(cost), lines)

    def test_summary_shows_the_sums(self) -> None:
        row = next(line for line in self.page.splitlines() if line.startswith("| control: share"))
        for size in SIZES.values():
            costs = {cost.role: cost for cost in role_costs(self.figures, size)}
            self.assertIn(f"{costs['control in all'].core_share:.1%}", row)

    def test_costs_follow_the_size(self) -> None:
        smaller = replace(DESIGN, tokens_per_s=DESIGN.tokens_per_s / 2, tracked_endpoints=40)
        before = {cost.role: cost for cost in role_costs(self.figures, DESIGN)}
        after = {cost.role: cost for cost in role_costs(self.figures, smaller)}
        for role in ("caller gateway", "endpoint choice"):
            self.assertLess(after[role].core_share, before[role].core_share)

    def test_command_prints_one_object_per_line(self) -> None:
        output = StringIO()
        with redirect_stdout(output):
            main(["capacity", "--page", str(PAGE)])
        rows = [json.loads(line) for line in output.getvalue().splitlines()]
        self.assertEqual({row["size"] for row in rows}, set(SIZES))

    def test_page_without_figures_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            read_figures("# Capacity\n")


if __name__ == "__main__":
    unittest.main()
