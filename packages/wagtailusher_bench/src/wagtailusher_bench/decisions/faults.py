"""Faults that can be injected into a run; each starts at a third of the measured time."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from wagtailusher_bench.decisions.const import (
    CRASHING_REPEAT_MS,
    CRASHING_REPEATS,
    LATE_REPORT_DELAY_MS,
)
from wagtailusher_bench.decisions.mixes import MODEL
from wagtailusher_bench.fakes import FakeEngine

if TYPE_CHECKING:
    from wagtailusher_bench.decisions.fleet import SimulatedFleet

Fault = Callable[["SimulatedFleet", float, float], None]
"""Takes the fleet and the start and end of the measured time; schedules the fault between them."""

_SLOWNESS = 5.0


def start_straggler(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Slow one engine down by a factor of five for half of the measured time."""
    engine = _select_engine(fleet, 3)
    span_ms = end_ms - start_ms
    fleet.clock.call_later(start_ms + span_ms / 3, lambda: engine.set_slowness(_SLOWNESS))
    fleet.clock.call_later(start_ms + span_ms * 5 / 6, lambda: engine.set_slowness(1.0))


def crash_engine(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Crash one engine, which restarts cold."""
    engine = _select_engine(fleet, 5)
    fleet.clock.call_later(start_ms + (end_ms - start_ms) / 3, engine.crash)


def start_unreported_cold_start(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Start a cold phase on one engine that its load reports don't show."""
    engine = _select_engine(fleet, 2)
    delay_ms = start_ms + (end_ms - start_ms) / 3
    fleet.clock.call_later(delay_ms, lambda: engine.begin_cold_start(reports_cold=False))


def delay_reports(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Delay all load reports to five seconds, until the end of the run."""
    delay_ms = start_ms + (end_ms - start_ms) / 3

    def delay() -> None:
        fleet.report_delay_ms = LATE_REPORT_DELAY_MS

    fleet.clock.call_later(delay_ms, delay)


def send_crashing_request(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Submit a request that crashes engines repeatedly, each time at a randomly chosen node."""
    begin_ms = start_ms + (end_ms - start_ms) / 3
    for number in range(CRASHING_REPEATS):
        fleet.clock.call_later(
            begin_ms + number * CRASHING_REPEAT_MS,
            lambda number=number: fleet.submit_crashing_call(number),  # type: ignore[misc]
        )


def move_failure_domain(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Drain a failure domain by operator order, restart its endpoints and end the drain."""
    span_ms = end_ms - start_ms
    fleet.clock.call_later(start_ms + span_ms / 3, lambda: fleet.drain_domain(0))
    fleet.clock.call_later(start_ms + span_ms * 5 / 9, lambda: fleet.restart_domain(0))
    fleet.clock.call_later(start_ms + span_ms * 2 / 3, lambda: fleet.return_domain(0))


FAULTS: Mapping[str, Fault] = {
    "straggler": start_straggler,
    "crash": crash_engine,
    "cold_turn": start_unreported_cold_start,
    "late_reports": delay_reports,
    "crashing_request": send_crashing_request,
    "domain_move": move_failure_domain,
}
BURST = "burst"


def _select_engine(fleet: SimulatedFleet, number: int) -> FakeEngine:
    """Return one engine of the model pool."""
    return fleet.pool_engines(MODEL)[number]
