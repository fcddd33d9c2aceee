"""Runs the demonstration and prints a table; exits non-zero if a guarantee was violated."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

from rich.console import Console
from rich.table import Table

from tests.demo.fleet import DemoFleet
from tests.demo.guarantees import count_violations
from tests.demo.load import Ledger, Load, LoadClass
from wagtailusher_client import CallerClient

DURATION_MS = 20_000
OUT_FILE = Path("out") / "demo.jsonl"
SEED = 7
CLASSES = (
    LoadClass(name="booking", target_ms=1_000, interval_ms=100),
    LoadClass(name="advice", target_ms=1_100, interval_ms=60, tokens=12),
    LoadClass(name="review", target_ms=4_000, interval_ms=300, tokens=60),
    LoadClass(name="stock", target_ms=1_000, interval_ms=80),
)


def write_line(text: str) -> None:
    """Print a line without buffering."""
    print(text, flush=True)  # noqa: T201


async def async_inject_faults(fleet: DemoFleet, ledger: Ledger) -> None:
    """Crash, kill, suspend and drain components while the load runs."""

    def record_step(text: str) -> None:
        ledger.mark(text)
        write_line(f"{ledger.rows[-1].at_ms / 1000:5.1f} s  {text}")

    await asyncio.sleep(3)
    record_step("engine-0 crashes and restarts cold")
    await fleet.engines[0].async_crash()
    await asyncio.sleep(2)
    record_step("entry-1 is killed")
    fleet.entries[1].kill()
    await asyncio.sleep(2)
    record_step("entry-1 is replaced")
    await fleet.async_replace(1)
    await asyncio.sleep(2)
    record_step("failure domain b is drained by a settings change")
    fleet.drain("b")
    await asyncio.sleep(5)
    record_step("failure domain b is restored")
    fleet.drain()
    await asyncio.sleep(2)
    record_step("entry-0 is suspended for 1 s")
    fleet.entries[0].freeze()
    await asyncio.sleep(1)
    fleet.entries[0].thaw()


def write_rows(ledger: Ledger) -> None:
    """Write the rows of a report to `OUT_FILE`."""
    OUT_FILE.parent.mkdir(exist_ok=True)
    lines = [row.model_dump_json() + "\n" for row in ledger.rows]
    OUT_FILE.write_text("".join(lines), encoding="utf-8")
    write_line(f"rows for a report: {OUT_FILE}")


def print_table(ledger: Ledger) -> None:
    """Print the results of each class."""
    columns = ("class", "sent", "on target", "late", "not run", "unknown", "broken", "lost")
    table = Table(*columns)
    for load_class in CLASSES:
        tally = ledger.tallies[load_class.name]
        share = tally.on_target / max(1, tally.sent)
        counts = (tally.late, tally.not_run, tally.unknown, tally.broken, tally.lost)
        table.add_row(load_class.name, str(tally.sent), f"{share:.1%}", *map(str, counts))
    Console().print(table)


def print_violations(violations: dict[str, int]) -> bool:
    """Print each guarantee's number of violations; return whether there were none."""
    for name, count in violations.items():
        write_line(f"{name}: {count}")
    return not any(violations.values())


async def async_main() -> int:
    """Run the demonstration and return its exit code."""
    fleet = DemoFleet()
    await fleet.async_start()
    client = CallerClient(
        tuple(entry.vm.address for entry in fleet.entries), fleet.api_key, seed=SEED
    )
    try:
        load = Load(client, CLASSES, fleet.model, SEED)
        await asyncio.gather(load.async_run(DURATION_MS), async_inject_faults(fleet, load.ledger))
        print_table(load.ledger)
        write_rows(load.ledger)
        return 0 if print_violations(count_violations(load.ledger, fleet)) else 1
    finally:
        client.close()
        await fleet.async_stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
