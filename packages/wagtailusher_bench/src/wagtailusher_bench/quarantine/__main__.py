"""Prints what each way costs and misses, one JSON object per line."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import product
import sys

import defopt

from wagtailusher_bench.quarantine.load import VARIANTS
from wagtailusher_bench.quarantine.runner import FLEETS, WAYS, run_case
from wagtailusher_bench.quarantine.table import HEADER, table_row


def main(
    *,
    first_seed: int = 1,
    seeds: int = 10,
    way: Sequence[str] = tuple(WAYS),
    vms: Sequence[int] = tuple(FLEETS),
    variant: Sequence[str] = tuple(VARIANTS),
    table: bool = False,
) -> None:
    """Compare ways to find a part that crashes endpoints; the same arguments print the same bytes.

    :param first_seed: first seed of the random numbers
    :param seeds: number of seeds
    :param way: ways to compare
    :param vms: sizes of the fleet
    :param variant: what happens in the run
    :param table: print rows of a table over all seeds instead
    """
    if table:
        sys.stdout.write(HEADER + "\n")
    for size, name, item in product(vms, variant, way):
        results = []
        for seed in range(first_seed, first_seed + seeds):
            results.append(run_case(item, size, name, seed))
            if not table:
                sys.stdout.write(results[-1].to_json() + "\n")
        if table:
            sys.stdout.write(table_row(results) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
