"""Prints a table of what each way sends and leaves unused."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import product
from statistics import fmean
import sys

import defopt

from wagtailusher_bench.limits.fleet import VARIANTS, Result, run_case
from wagtailusher_bench.limits.ways import WAYS

HEADER = (
    "| VMs | limit | variant | way | most in 4 s | allowed | used: mean |\n"
    "|---|---|---|---|---|---|---|"
)


def main(
    *,
    first_seed: int = 1,
    seeds: int = 5,
    way: Sequence[str] = tuple(WAYS),
    vms: Sequence[int] = (9, 68),
    limit: Sequence[float] = (0.4, 1.0, 5.0),
    variant: Sequence[str] = VARIANTS,
) -> None:
    """Compare ways to keep to a limit; the same arguments print the same bytes.

    :param first_seed: first seed of the random numbers
    :param seeds: number of seeds
    :param way: ways to compare
    :param vms: sizes of the fleet
    :param limit: requests a second that the endpoint names
    :param variant: what happens in the run
    """
    sys.stdout.write(HEADER + "\n")
    for vm_count, limit_per_s, name, item in product(vms, limit, variant, way):
        results = [
            run_case(item, name, vm_count, limit_per_s, seed)
            for seed in range(first_seed, first_seed + seeds)
        ]
        sys.stdout.write(_row(results) + "\n")
        sys.stdout.flush()


def _row(results: Sequence[Result]) -> str:
    """Return the table's row of the runs of one case."""
    first = results[0]
    used = fmean(result.used_share for result in results)
    most = max(result.most for result in results)
    mark = " (over)" if most > first.allowed else ""
    return (
        f"| {first.vm_count} | {first.limit_per_s:g} | {first.variant} | {first.way} "
        f"| {most}{mark} | {first.allowed:g} | {100 * used:.0f}% |"
    )


if __name__ == "__main__":
    defopt.run(main)
