"""Prints a table of what each way sends, and what VMs miss."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import product
import sys

import defopt

from wagtailusher_bench.heartbeats.fleet import VARIANTS, Result, run_case
from wagtailusher_bench.heartbeats.ways import WAYS

HEADER = (
    "| VMs | variant | way | datagrams/s sent | busiest VM | states/s received | mean age, ms "
    "| wrongly silent, most | healed after, ms |\n"
    "|---|---|---|---|---|---|---|---|---|"
)


def main(
    *,
    seed: int = 1,
    way: Sequence[str] = tuple(WAYS),
    vms: Sequence[int] = (68, 195),
    domains: int = 6,
    variant: Sequence[str] = VARIANTS,
) -> None:
    """Compare ways to hear of VMs in other failure domains; equal arguments print equal bytes.

    :param seed: seed of the random numbers
    :param way: ways to compare
    :param vms: sizes of the fleet
    :param domains: number of failure domains
    :param variant: what happens in the run
    """
    sys.stdout.write(HEADER + "\n")
    for vm_count, name, item in product(vms, variant, way):
        sys.stdout.write(_row(run_case(item, name, vm_count, domains, seed)) + "\n")
        sys.stdout.flush()


def _row(result: Result) -> str:
    """Return the table's row of one case."""
    healed = "" if result.healed_ms is None else str(result.healed_ms)
    return (
        f"| {result.vm_count} | {result.variant} | {result.way} | {result.sent_per_s:.0f} "
        f"| {result.busiest_per_s:.0f} | {result.entries_per_s:.0f} | {result.age_ms:.0f} "
        f"| {100 * result.silent_share:.2f}% | {healed} |"
    )


if __name__ == "__main__":
    defopt.run(main)
