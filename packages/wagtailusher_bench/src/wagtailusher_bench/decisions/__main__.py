"""Prints measurements of routing decisions, one JSON object per line."""

from __future__ import annotations

from collections.abc import Sequence
import sys

import defopt

from wagtailusher_bench.decisions.const import (
    DEFAULT_DRAIN_MS,
    DEFAULT_MEASURED_MS,
    DEFAULT_WARM_UP_MS,
    LOADS,
)
from wagtailusher_bench.decisions.mixes import MIX_NAMES, MIXES
from wagtailusher_bench.decisions.runner import ALL_FAULTS, POLICIES, Timing, run_decisions


def main(
    *,
    seed: int = 1,
    mix: Sequence[str] = MIX_NAMES,
    policy: Sequence[str] = POLICIES,
    load: Sequence[float] = LOADS,
    fault: Sequence[str] = ALL_FAULTS,
    warm_up_ms: int = DEFAULT_WARM_UP_MS,
    measured_ms: int = DEFAULT_MEASURED_MS,
    drain_ms: int = DEFAULT_DRAIN_MS,
) -> None:
    """Measure routing decisions; the same arguments print the same bytes.

    :param seed: seed of all random numbers
    :param mix: traffic mixes to run
    :param policy: routing policy and baselines to run
    :param load: loads to run without faults, as multiples of capacity
    :param fault: faults to run at the lowest load
    :param warm_up_ms: virtual time before the measured interval
    :param measured_ms: virtual time in which arrivals and work are measured
    :param drain_ms: virtual time after the measured interval for the last answers
    """
    results = run_decisions(
        seed,
        mixes=[item for item in MIXES if item.name in mix],
        policies=policy,
        loads=load,
        faults=fault,
        timing=Timing(warm_up_ms=warm_up_ms, measured_ms=measured_ms, drain_ms=drain_ms),
    )
    for result in results:
        sys.stdout.write(result.to_json() + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
