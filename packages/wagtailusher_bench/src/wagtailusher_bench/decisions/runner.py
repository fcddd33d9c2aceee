"""Runs the combinations of mix, load, fault and policy in virtual time."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from wagtailusher_bench.decisions.calls import Burst, generate_calls
from wagtailusher_bench.decisions.const import (
    BURST_FACTOR,
    DEFAULT_DRAIN_MS,
    DEFAULT_MEASURED_MS,
    DEFAULT_WARM_UP_MS,
    FAULT_LOAD,
    LOADS,
)
from wagtailusher_bench.decisions.faults import BURST, FAULTS
from wagtailusher_bench.decisions.fleet import NodeFactory, SimulatedFleet
from wagtailusher_bench.decisions.mixes import MIXES, Mix
from wagtailusher_bench.decisions.network import Network, Node
from wagtailusher_bench.decisions.plain_node import PlainNode
from wagtailusher_bench.decisions.results import CaseKey, CaseResult, WorkDone, summarize
from wagtailusher_bench.decisions.router_node import RouterNode
from wagtailusher_core import PublishedVm
from wagtailusher_placement import (
    Chooser,
    choose_least_in_flight,
    choose_least_reported,
    choose_random,
    choose_round_robin,
)

POLICY = "wagtailusher"
BASELINES: Mapping[str, Chooser] = {
    "random": choose_random,
    "round_robin": choose_round_robin,
    "least_in_flight": choose_least_in_flight,
    "least_reported": choose_least_reported,
}
POLICIES = (POLICY, *BASELINES)
NO_FAULT = "none"
ALL_FAULTS = (BURST, *FAULTS)


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Durations of a case in virtual time."""

    warm_up_ms: int = DEFAULT_WARM_UP_MS
    measured_ms: int = DEFAULT_MEASURED_MS
    drain_ms: int = DEFAULT_DRAIN_MS


def run_decisions(
    seed: int,
    *,
    mixes: Sequence[Mix] = MIXES,
    policies: Sequence[str] = POLICIES,
    loads: Sequence[float] = LOADS,
    faults: Sequence[str] = ALL_FAULTS,
    timing: Timing | None = None,
) -> Iterator[CaseResult]:
    """Yield the result of every case: each load without faults, then each fault at FAULT_LOAD."""
    conditions = [(load, NO_FAULT) for load in loads]
    conditions.extend((FAULT_LOAD, fault) for fault in faults)
    for mix in mixes:
        for load, fault in conditions:
            for policy in policies:
                key = CaseKey(seed=seed, mix=mix, policy=policy, load=load, fault=fault)
                yield run_case(key, timing or Timing())


def run_case(key: CaseKey, timing: Timing) -> CaseResult:
    """Run one case and return its metrics."""
    start_ms = float(timing.warm_up_ms)
    end_ms = start_ms + timing.measured_ms
    seed = f"{key.seed}/{key.mix.name}/{key.load}/{key.fault}"
    fleet = SimulatedFleet(
        key.mix, make_node=_node_factory(key), seed=seed, uses_entry_points=key.policy == POLICY
    )
    burst = _lowest_tier_burst(key, start_ms, end_ms)
    fleet.schedule_calls(
        generate_calls(key.mix, load=key.load, end_ms=end_ms, seed=seed, burst=burst)
    )
    if key.fault in FAULTS:
        FAULTS[key.fault](fleet, start_ms, end_ms)
    fleet.clock.run_until(start_ms)
    before = WorkDone.from_engines(fleet.engines)
    fleet.clock.run_until(end_ms)
    after = WorkDone.from_engines(fleet.engines)
    fleet.clock.run_until(end_ms + timing.drain_ms)
    return summarize(
        key,
        fleet.calls,
        fleet.engines,
        start_ms=start_ms,
        end_ms=end_ms,
        before=before,
        after=after,
    )


def _lowest_tier_burst(key: CaseKey, start_ms: float, end_ms: float) -> Burst | None:
    """Return a burst of the least important streaming class, or None for other faults."""
    if key.fault != BURST:
        return None
    traffic = max(
        (traffic for traffic in key.mix.classes if traffic.is_stream), key=lambda item: item.tier
    )
    span_ms = end_ms - start_ms
    return Burst(
        class_id=traffic.class_id,
        factor=BURST_FACTOR,
        start_ms=start_ms + span_ms / 3,
        end_ms=start_ms + span_ms / 2,
    )


def _node_factory(key: CaseKey) -> NodeFactory:
    """Return the factory for nodes of the policy or of a baseline."""

    def make(vm: PublishedVm, network: Network, number: int) -> Node:
        seed = key.seed * 1_000 + number
        chooser = BASELINES.get(key.policy)
        if chooser is None:
            return RouterNode(vm, network, seed=seed)
        return PlainNode(vm, network, seed=seed, choose=chooser)

    return make
