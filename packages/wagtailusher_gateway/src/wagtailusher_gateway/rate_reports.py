"""What VMs tell each other of the rates of engines, with the heartbeats that they send anyway."""

from __future__ import annotations

from collections.abc import Iterable
import math

from wagtailusher_core import EndpointId, VmId
from wagtailusher_gateway.const import MS_PER_S
from wagtailusher_gateway.engine_rates import EngineRates, RateReport
from wagtailusher_wire import BeatRate

MAX_RATES = 3
"""Most rates in one heartbeat, some 70 bytes; a VM of a large fleet observes about as many engines
between two of its heartbeats."""

ROTATION_MS = 400
"""Time after which the next rates are told; with losses, each still arrives within seconds."""

_MAX_GAP_MS = 60_000
"""Longest gap that is told; beyond it a stream has broken off."""


def new_rates(rates: EngineRates, now_ms: int) -> tuple[BeatRate, ...]:
    """Return the rates to tell now, in turn if there are too many."""
    observed = rates.observed_ids(now_ms)
    first = now_ms // ROTATION_MS * MAX_RATES % len(observed) if len(observed) > MAX_RATES else 0
    told = [*observed, *observed][first : first + MAX_RATES][: len(observed)]
    return tuple(_new_rate(item, rates.own_report(item, now_ms)) for item in told)


def _new_rate(endpoint_id: EndpointId, report: RateReport) -> BeatRate:
    return BeatRate(
        endpoint_id=endpoint_id,
        prompt_tokens_per_s=round(report.prompt_tokens_per_ms * MS_PER_S),
        observations=math.ceil(report.prompt_weight),
        quiet_gap_ms=min(_MAX_GAP_MS, round(report.quiet_gap_ms)),
        busy_gap_ms=min(_MAX_GAP_MS, round(report.busy_gap_ms)),
    )


def apply_rates(
    rates: EngineRates, vm_id: VmId, reported: Iterable[BeatRate], sent_ms: int
) -> None:
    """Apply the rates that a peer told."""
    for item in reported:
        report = RateReport(
            prompt_tokens_per_ms=item.prompt_tokens_per_s / MS_PER_S,
            prompt_weight=item.observations,
            quiet_gap_ms=item.quiet_gap_ms,
            busy_gap_ms=item.busy_gap_ms,
        )
        rates.set_peer_report(vm_id, item.endpoint_id, report, sent_ms)
