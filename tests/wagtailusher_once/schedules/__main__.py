"""Runs more schedules than the tests do, or measures the outcomes of requests."""

from __future__ import annotations

from collections import Counter
import json
import sys

import defopt

from tests.wagtailusher_once.schedules.conditions import Disturbance, measured_conditions
from tests.wagtailusher_once.schedules.faults import KEY_FAULTS, Fault
from tests.wagtailusher_once.schedules.schedule import Schedule
from wagtailusher_core import Outcome

MEASURED_RUNS = 40


def find_violations(
    *, count: int = 50_000, seed: int = 0, keys: bool = False, fault: Fault | None = None
) -> int:
    """Run random schedules and print those that violate a guarantee.

    :param count: Number of schedules.
    :param seed: Seed of the first schedule; each following one adds 1.
    :param keys: Whether callers use idempotency keys in place of tickets.
    :param fault: Fault to inject, to check that the schedules detect it.
    """
    broken = 0
    for number in range(seed, seed + count):
        uses_keys = keys or fault in KEY_FAULTS
        violations = (
            Schedule(number, fault=fault or Fault.NONE, uses_keys=uses_keys).run().violations
        )
        broken += bool(violations)
        if violations:
            _print({"seed": number, "violations": violations})
    _print({"schedules": count, "broken": broken})
    return 1 if broken else 0


def measure(*, seed: int = 0) -> int:
    """Print the outcomes of bookings by ticket and by key under one disturbance each.

    :param seed: Seed of the first run.
    """
    for kind in (None, Disturbance.KILL, Disturbance.REPLACE, Disturbance.CUT, Disturbance.PAUSE):
        for uses_keys in (False, True):
            _print(_measure_one(kind, uses_keys, seed))
    return 0


def _measure_one(kind: Disturbance | None, uses_keys: bool, seed: int) -> dict[str, object]:
    """Return the share of each outcome over several runs."""
    outcomes: Counter[Outcome | None] = Counter()
    handles = 0
    for number in range(seed, seed + MEASURED_RUNS):
        schedule = Schedule(number, uses_keys=uses_keys, conditions=measured_conditions(kind))
        outcomes.update(schedule.run().outcomes)
        handles += sum(caller.handles for caller in schedule.callers)
    total = outcomes.total()
    return {
        "disturbance": None if kind is None else kind.value,
        "by": "key" if uses_keys else "ticket",
        "bookings": total,
        "handles_a_booking": round(handles / total, 4),
        "completed": round(outcomes[Outcome.COMPLETED] / total, 4),
        "not_run": round(outcomes[Outcome.NOT_RUN] / total, 4),
        "unknown": round((outcomes[Outcome.UNKNOWN] + outcomes[None]) / total, 4),
    }


def _print(value: object) -> None:
    """Print a value as one line of JSON."""
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(defopt.run([find_violations, measure]))
