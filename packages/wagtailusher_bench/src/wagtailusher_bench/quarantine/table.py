"""Sums up the runs of one way, fleet and variant as a row of a table."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from wagtailusher_bench.quarantine.runner import CaseResult

HEADER: Final = (
    "| fleet | variant | way | crashes by the part: mean, most | later sends: most"
    " | later sends out of touch: most | sound refused | rare refused"
    " | datagrams | bytes | memory of a VM | wait |\n" + "|---" * 12 + "|"
)


def table_row(results: Sequence[CaseResult]) -> str:
    """Return the row of runs that differ in the seed only."""
    first, count = results[0], len(results)
    crashes = [item.poison_crashes for item in results]
    sound = sum(item.sound_refused for item in results) / sum(item.sound for item in results)
    rare = sum(item.rare for item in results)
    rare_share = f"{sum(item.rare_refused for item in results) / rare:.1%}" if rare else ""
    cells = (
        first.vms,
        first.variant,
        first.way,
        f"{sum(crashes) / count:.1f}, {max(crashes)}",
        max(item.later_sends for item in results),
        max(item.later_sends_out_of_touch for item in results),
        f"{sound:.2%}",
        rare_share,
        f"{sum(item.messages for item in results) / count:,.0f}",
        f"{sum(item.message_bytes for item in results) / count / 1_000:,.0f} KB",
        f"{max(item.memory_bytes for item in results) / 1_000:,.0f} KB",
        f"{sum(item.wait_ms for item in results) / count:.1f} ms",
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"
