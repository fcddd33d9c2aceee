"""Counts violations of the guarantees as observed by callers and endpoints."""

from __future__ import annotations

from tests.demo.fleet import DemoFleet
from tests.demo.load import Ledger
from wagtailusher_core import Outcome

DRAIN_BOUND_MS = 3_000
BOOKING = "booking"


def count_violations(ledger: Ledger, fleet: DemoFleet) -> dict[str, int]:
    """Return the number of violations of each guarantee."""
    executions = fleet.booking.executions
    outcomes = {
        name: item for name, item in ledger.reported_outcomes.items() if name.startswith(BOOKING)
    }
    late_starts = fleet.late_starts(DRAIN_BOUND_MS)
    return {
        "bookings executed twice": sum(count > 1 for count in executions.values()),
        "bookings completed but not executed once": sum(
            outcome is Outcome.COMPLETED and executions[name] != 1
            for name, outcome in outcomes.items()
        ),
        "false refusals": sum(
            outcome is Outcome.NOT_RUN and executions[name] > 0
            for name, outcome in outcomes.items()
        ),
        "lost answers": sum(tally.lost for tally in ledger.tallies.values()),
        f"starts in the drained domain after {DRAIN_BOUND_MS} ms": late_starts,
        "cold engines overloaded": sum(engine.counters.collapsed for engine in fleet.engines),
    }
