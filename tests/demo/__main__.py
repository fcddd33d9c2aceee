"""Runs the demonstration and prints a table; exits non-zero when a promise broke."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

from rich.console import Console
from rich.table import Table

from tests.demo.fleet import DemoFleet
from tests.demo.load import Ledger, Load, LoadClass
from tests.demo.promises import count_breaches
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


def say(text: str) -> None:
    """Print a step at once."""
    print(text, flush=True)  # noqa: T201


async def async_disturb(fleet: DemoFleet, ledger: Ledger) -> None:
    """Crash, kill, freeze and drain while the load runs."""

    def note(text: str) -> None:
        ledger.mark(text)
        say(f"{ledger.rows[-1].at_ms / 1000:5.1f} s  {text}")

    await asyncio.sleep(3)
    note("engine-0 crashes and comes back cold")
    await fleet.engines[0].async_crash()
    await asyncio.sleep(2)
    note("entry-1 is killed")
    fleet.entries[1].kill()
    await asyncio.sleep(2)
    note("entry-1 is replaced")
    await fleet.async_replace(1)
    await asyncio.sleep(2)
    note("failure domain b is taken out by a change of settings")
    fleet.drain("b")
    await asyncio.sleep(5)
    note("failure domain b returns")
    fleet.drain()
    await asyncio.sleep(2)
    note("entry-0 is frozen for 1 s")
    fleet.entries[0].freeze()
    await asyncio.sleep(1)
    fleet.entries[0].thaw()


def write_rows(ledger: Ledger) -> None:
    """Write the rows of a report."""
    OUT_FILE.parent.mkdir(exist_ok=True)
    lines = [row.model_dump_json() + "\n" for row in ledger.rows]
    OUT_FILE.write_text("".join(lines), encoding="utf-8")
    say(f"rows for a report: {OUT_FILE}")


def print_table(ledger: Ledger) -> None:
    """Print what became of each class."""
    columns = ("class", "sent", "on target", "late", "not run", "unknown", "broken", "lost")
    table = Table(*columns)
    for load_class in CLASSES:
        tally = ledger.tallies[load_class.name]
        share = tally.on_target / max(1, tally.sent)
        counts = (tally.late, tally.not_run, tally.unknown, tally.broken, tally.lost)
        table.add_row(load_class.name, str(tally.sent), f"{share:.1%}", *map(str, counts))
    Console().print(table)


def print_breaches(breaches: dict[str, int]) -> bool:
    """Print each promise with its count of breaches; return whether all held."""
    for name, count in breaches.items():
        say(f"{name}: {count}")
    return not any(breaches.values())


async def async_main() -> int:
    """Run the demonstration."""
    fleet = DemoFleet()
    await fleet.async_start()
    client = CallerClient(
        tuple(entry.vm.address for entry in fleet.entries), fleet.api_key, seed=SEED
    )
    try:
        load = Load(client, CLASSES, fleet.model, SEED)
        await asyncio.gather(load.async_run(DURATION_MS), async_disturb(fleet, load.ledger))
        print_table(load.ledger)
        write_rows(load.ledger)
        return 0 if print_breaches(count_breaches(load.ledger, fleet)) else 1
    finally:
        client.close()
        await fleet.async_stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
