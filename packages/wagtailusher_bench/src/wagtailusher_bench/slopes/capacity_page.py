"""Reads the measured figures of the capacity page and prints its tables of roles."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict
import json
from pathlib import Path
import sys

import defopt

from wagtailusher_bench.slopes.capacity import (
    SIZES,
    Figure,
    Figures,
    FleetSize,
    RoleCost,
    iterate_role_costs,
    sum_costs,
)

_FIGURES_HEADING = "## Measured figures"
_FIGURE_COLUMNS = 6
_BYTES_PER_KB = 1_000
_BYTES_PER_MB = 1_000_000


def read_figures(page: str) -> Figures:
    """Return the figures in the page's table by name; raise ValueError if it has none."""
    section = page.partition(_FIGURES_HEADING)[2].partition("\n## ")[0]
    figures: Figures = {}
    for line in section.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == _FIGURE_COLUMNS and _is_number(cells[2]):
            slope = float(cells[1]) if _is_number(cells[1]) else 0.0
            figures[cells[0].strip("`")] = Figure(slope=slope, intercept=float(cells[2]))
    if not figures:
        raise ValueError("capacity page has no measured figures")
    return figures


def role_costs(figures: Figures, size: FleetSize) -> Iterator[RoleCost]:
    """Yield the cost of every role, then the sums of control roles and of all roles."""
    costs = list(iterate_role_costs(figures, size))
    yield from costs
    yield sum_costs([cost for cost in costs if cost.control], "control in all")
    yield sum_costs(costs, "all")


def table_row(cost: RoleCost) -> str:
    """Return a role's cost as a row of the page's table."""
    cells = (
        cost.role,
        _size_text(cost.state_bytes),
        f"{cost.messages_per_s:.1f}",
        f"{cost.bytes_per_s / _BYTES_PER_KB:.1f}",
        f"{cost.core_share:.2%}",
    )
    return "| " + " | ".join(cells) + " |"


def main(*, page: Path = Path("docs/CAPACITY.md"), markdown: bool = False) -> None:
    """Print the cost of each role, computed from the page's measured figures.

    :param page: path of the capacity page
    :param markdown: print rows of the page's table instead of JSON
    """
    figures = read_figures(page.read_text())
    for name, size in SIZES.items():
        for cost in role_costs(figures, size):
            value = json.dumps({"size": name, **asdict(cost)})
            sys.stdout.write((table_row(cost) if markdown else value) + "\n")


def _size_text(size: float) -> str:
    """Return a number of bytes in KB or MB."""
    if size >= _BYTES_PER_MB:
        return f"{size / _BYTES_PER_MB:.1f} MB"
    return f"{size / _BYTES_PER_KB:.1f} KB"


def _is_number(text: str) -> bool:
    """Return whether a cell holds a number."""
    try:
        float(text)
    except ValueError:
        return False
    return True


if __name__ == "__main__":
    defopt.run(main)
