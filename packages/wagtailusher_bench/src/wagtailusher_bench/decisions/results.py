"""Computes the metrics of a case from its calls and endpoints."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
import json

from wagtailusher_bench.decisions.calls import Call, Ending
from wagtailusher_bench.decisions.mixes import Mix
from wagtailusher_bench.fakes import FakeEngine

_DIGITS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class CaseResult:
    """Metrics of one case; shares are fractions of one, goodput is a fraction of endpoint capacity.

    Goodput counts the work of answers that met their target, and of late answers of classes that
    are served late. Starvation is the longest time between two starts of a class.
    """

    seed: int
    mix: str
    policy: str
    load: float
    fault: str
    offered: int
    attainment_by_class: dict[str, float]
    attainment_by_tier: dict[str, float]
    highest_tier_attainment: float
    goodput: float
    wasted_work_share: float
    refused_by_tier: dict[str, int]
    refused_by_code: dict[str, int]
    left_by_tier: dict[str, int]
    failed: int
    longest_wait_ms_by_class: dict[str, int]
    max_starvation_ms_by_class: dict[str, int]
    cold_excess: int
    crashes: int
    repeated_executions: int

    def to_json(self) -> str:
        """Return the case as one line of JSON with sorted keys."""
        return json.dumps(asdict(self), sort_keys=True, separators=(",", ":"))


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkDone:
    """Cumulative work of all endpoints at one point in time."""

    useful_ms: float
    wasted_ms: float

    @classmethod
    def from_engines(cls, engines: Iterable[FakeEngine]) -> WorkDone:
        """Return the sums over all endpoints."""
        items = list(engines)
        return cls(
            useful_ms=sum(engine.useful_work_ms for engine in items),
            wasted_ms=sum(engine.wasted_work_ms for engine in items),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class CaseKey:
    """Parameters that identify a case."""

    seed: int
    mix: Mix
    policy: str
    load: float
    fault: str


def summarize(
    key: CaseKey,
    calls: Sequence[Call],
    engines: Sequence[FakeEngine],
    *,
    start_ms: float,
    end_ms: float,
    before: WorkDone,
    after: WorkDone,
) -> CaseResult:
    """Return the metrics of the calls that arrived and the work done between two times."""
    measured = [call for call in calls if start_ms <= call.arrived_ms < end_ms]
    healthy = [call for call in measured if not call.crashes_endpoint]
    refused = [call for call in healthy if call.ending is Ending.REFUSED]
    by_tier = _attainment(healthy, lambda call: f"{call.traffic.tier}")
    return CaseResult(
        seed=key.seed,
        mix=key.mix.name,
        policy=key.policy,
        load=key.load,
        fault=key.fault,
        offered=len(measured),
        attainment_by_class=_attainment(healthy, lambda call: call.traffic.class_id),
        attainment_by_tier=by_tier,
        highest_tier_attainment=by_tier[min(by_tier)] if by_tier else 1.0,
        goodput=round(_goodput(key.mix, calls, start_ms, end_ms), _DIGITS),
        wasted_work_share=_wasted_share(before, after),
        refused_by_tier=_count_by_tier(healthy, Ending.REFUSED),
        refused_by_code=dict(sorted(Counter(call.code for call in refused).items())),
        left_by_tier=_count_by_tier(healthy, Ending.LEFT),
        failed=sum(call.ending is Ending.FAILED for call in healthy),
        longest_wait_ms_by_class=_longest_waits(key.mix, measured),
        max_starvation_ms_by_class=_longest_start_gaps(key.mix, calls, start_ms, end_ms),
        cold_excess=sum(engine.cold_excess for engine in engines),
        crashes=sum(engine.crash_count for engine in engines),
        repeated_executions=sum(
            max(0, call.executions - 1) for call in calls if not call.traffic.is_repeatable
        ),
    )


def _wasted_share(before: WorkDone, after: WorkDone) -> float:
    """Return the fraction of the work between two times that was wasted."""
    wasted_ms = after.wasted_ms - before.wasted_ms
    total_ms = wasted_ms + after.useful_ms - before.useful_ms
    return round(wasted_ms / total_ms if total_ms else 0.0, _DIGITS)


def _attainment(calls: Iterable[Call], label: Callable[[Call], str]) -> dict[str, float]:
    """Return the fraction of the offered calls that met their target, by label."""
    offered: Counter[str] = Counter()
    met: Counter[str] = Counter()
    for call in calls:
        offered[label(call)] += 1
        met[label(call)] += call.meets_target
    return {name: round(met[name] / offered[name], _DIGITS) for name in sorted(offered)}


def _goodput(mix: Mix, calls: Iterable[Call], start_ms: float, end_ms: float) -> float:
    """Return the work of useful calls that ended in the interval, as a fraction of capacity."""
    work_ms = 0.0
    for call in calls:
        if call.ended_ms is None or not start_ms <= call.ended_ms < end_ms or not call.is_useful:
            continue
        traits = mix.pool_spec(call.traffic.pool_id).traits
        work_ms += traits.work_ms(call.prompt_tokens, call.output_tokens, call.service_work_ms)
    capacity = sum(pool.count * pool.traits.capacity for pool in mix.pools)
    return work_ms / (capacity * (end_ms - start_ms))


def _count_by_tier(calls: Iterable[Call], ending: Ending) -> dict[str, int]:
    """Return the number of calls with the given ending, by tier."""
    tiers = Counter(f"{call.traffic.tier}" for call in calls if call.ending is ending)
    return dict(sorted(tiers.items()))


def _longest_waits(mix: Mix, calls: Iterable[Call]) -> dict[str, int]:
    """Return the longest time from arrival to first dispatch in ms, by class."""
    longest = {traffic.class_id: 0.0 for traffic in mix.classes}
    for call in calls:
        if call.started_ms is not None:
            name = call.traffic.class_id
            longest[name] = max(longest[name], call.started_ms - call.arrived_ms)
    return {name: round(wait_ms) for name, wait_ms in longest.items()}


def _longest_start_gaps(
    mix: Mix, calls: Iterable[Call], start_ms: float, end_ms: float
) -> dict[str, int]:
    """Return the longest interval without a dispatch in ms, by class."""
    starts: dict[str, list[float]] = {traffic.class_id: [] for traffic in mix.classes}
    for call in calls:
        if call.started_ms is not None and start_ms <= call.started_ms < end_ms:
            starts[call.traffic.class_id].append(call.started_ms)
    gaps = {}
    for name, times in starts.items():
        edges = [start_ms, *sorted(times), end_ms]
        gaps[name] = round(max(b - a for a, b in zip(edges, edges[1:], strict=False)))
    return gaps
