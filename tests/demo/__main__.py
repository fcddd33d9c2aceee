"""Runs the demonstration and prints a table; exits non-zero when a promise broke."""

from __future__ import annotations

import asyncio
import sys

from rich.console import Console
from rich.table import Table

from tests.demo.fleet import DemoFleet
from tests.demo.load import Ledger, Load, LoadClass
from wagtailusher_client import CallerClient
from wagtailusher_core import Outcome

DURATION_MS = 20_000
SEED = 7
DRAIN_BOUND_MS = 3_000
CLASSES = (
    LoadClass(name="booking", target_ms=1_000, interval_ms=100),
    LoadClass(name="advice", target_ms=1_100, interval_ms=60, tokens=12),
    LoadClass(name="review", target_ms=4_000, interval_ms=300, tokens=60),
    LoadClass(name="stock", target_ms=1_000, interval_ms=80),
)


def say(text: str) -> None:
    """Print a step at once."""
    print(text, flush=True)  # noqa: T201


async def async_disturb(fleet: DemoFleet) -> None:
    """Crash, kill, freeze and drain while the load runs."""
    await asyncio.sleep(3)
    say(" 3 s  engine-0 crashes and comes back cold")
    await fleet.engines[0].async_crash()
    await asyncio.sleep(2)
    say(" 5 s  entry-1 is killed")
    fleet.entries[1].kill()
    await asyncio.sleep(2)
    say(" 7 s  entry-1 is replaced")
    await fleet.async_replace(1)
    await asyncio.sleep(2)
    say("10 s  failure domain b is taken out by a change of settings")
    fleet.drain("b")
    await asyncio.sleep(5)
    say("15 s  failure domain b returns")
    fleet.drain()
    await asyncio.sleep(2)
    say("17 s  entry-0 is frozen for 1 s")
    fleet.entries[0].freeze()
    await asyncio.sleep(1)
    fleet.entries[0].thaw()


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


def check_promises(ledger: Ledger, fleet: DemoFleet) -> bool:
    """Print each promise with its count of breaches; return whether all held."""
    executions = fleet.booking.executions
    twice = sum(count > 1 for count in executions.values())
    lost = sum(tally.lost for tally in ledger.tallies.values())
    false_refusals = sum(
        outcome is Outcome.NOT_RUN and executions[name] > 0
        for name, outcome in ledger.told.items()
        if name.startswith("booking")
    )
    missing = sum(
        outcome is Outcome.COMPLETED and executions[name] != 1
        for name, outcome in ledger.told.items()
        if name.startswith("booking")
    )
    breaches = {
        "bookings executed twice": twice,
        "bookings completed but not executed once": missing,
        "lost answers": lost,
        "false refusals": false_refusals,
        f"starts in the drained domain after {DRAIN_BOUND_MS} ms": fleet.late_starts(
            DRAIN_BOUND_MS
        ),
        "cold engines overloaded": sum(engine.counters.collapsed for engine in fleet.engines),
    }
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
        await asyncio.gather(load.async_run(DURATION_MS), async_disturb(fleet))
        print_table(load.ledger)
        return 0 if check_promises(load.ledger, fleet) else 1
    finally:
        client.close()
        await fleet.async_stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(async_main()))
