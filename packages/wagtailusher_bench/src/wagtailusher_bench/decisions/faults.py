"""The faults that a run may have; each starts at a third of the measured time."""

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
"""Schedules itself between the start and the end of the measured time."""

_SLOWNESS = 5.0


def start_straggler(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Let one engine take five times as long for half of the time."""
    engine = _victim(fleet, 3)
    span_ms = end_ms - start_ms
    fleet.clock.call_later(start_ms + span_ms / 3, lambda: engine.set_slowness(_SLOWNESS))
    fleet.clock.call_later(start_ms + span_ms * 5 / 6, lambda: engine.set_slowness(1.0))


def crash_engine(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Let one engine crash; it comes back cold."""
    engine = _victim(fleet, 5)
    fleet.clock.call_later(start_ms + (end_ms - start_ms) / 3, engine.crash)


def turn_engine_cold(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Let one engine turn cold without its reports telling so."""
    engine = _victim(fleet, 2)
    delay_ms = start_ms + (end_ms - start_ms) / 3
    fleet.clock.call_later(delay_ms, lambda: engine.begin_cold_start(reports_cold=False))


def delay_reports(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Let all load reports arrive five seconds late."""
    delay_ms = start_ms + (end_ms - start_ms) / 3

    def delay() -> None:
        fleet.report_delay_ms = LATE_REPORT_DELAY_MS

    fleet.clock.call_later(delay_ms, delay)


def send_crashing_request(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Let a caller repeat a request that crashes engines, each time at another node."""
    begin_ms = start_ms + (end_ms - start_ms) / 3
    for number in range(CRASHING_REPEATS):
        fleet.clock.call_later(
            begin_ms + number * CRASHING_REPEAT_MS,
            lambda number=number: fleet.send_crashing(number),  # type: ignore[misc]
        )


def move_failure_domain(fleet: SimulatedFleet, start_ms: float, end_ms: float) -> None:
    """Take a failure domain out by order, restart its endpoints, and take it in again."""
    span_ms = end_ms - start_ms
    fleet.clock.call_later(start_ms + span_ms / 3, lambda: fleet.drain_domain(0))
    fleet.clock.call_later(start_ms + span_ms * 5 / 9, lambda: fleet.restart_domain(0))
    fleet.clock.call_later(start_ms + span_ms * 2 / 3, lambda: fleet.return_domain(0))


FAULTS: Mapping[str, Fault] = {
    "straggler": start_straggler,
    "crash": crash_engine,
    "cold_turn": turn_engine_cold,
    "late_reports": delay_reports,
    "crashing_request": send_crashing_request,
    "domain_move": move_failure_domain,
}
BURST = "burst"


def _victim(fleet: SimulatedFleet, number: int) -> FakeEngine:
    """Return one engine of the pool of models."""
    return fleet.engines_of(MODEL)[number]
