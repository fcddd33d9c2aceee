"""Runs seeds of the soak test from the command line: `python -m tests.soak --count 50`."""

from __future__ import annotations

import asyncio
import logging
import shutil
import sys

import defopt

from tests.soak.const import ENTRY_COUNT
from tests.soak.seed_run import SeedResult, async_run_seed
from tests.soak.stream_checks import count_streams


def soak(*, first: int = 1, count: int = 50, at_once: int = 2, entries: int = ENTRY_COUNT) -> None:
    """Run seeds and print the result of each; exit with 1 if a guarantee was violated.

    :param first: first seed
    :param count: number of seeds
    :param at_once: number of seeds that run concurrently
    :param entries: entry processes of each run; about 30 MB each
    """
    logging.basicConfig(level=logging.WARNING)
    sys.exit(1 if asyncio.run(async_soak(first, count, at_once, entries)) else 0)


async def async_soak(first: int, count: int, at_once: int, entries: int) -> int:
    """Run seeds and return how many of them violated a guarantee."""
    semaphore = asyncio.Semaphore(at_once)

    async def async_one(seed: int) -> bool:
        async with semaphore:
            result = await async_run_seed(seed, entry_count=entries)
        show(result)
        return bool(result.violations)

    failed = await asyncio.gather(*(async_one(seed) for seed in range(first, first + count)))
    print(f"{count} seeds, {sum(failed)} with violations")  # noqa: T201
    return sum(failed)


def show(result: SeedResult) -> None:
    """Print the result of a seed; remove its logs if there are no violations."""
    observations = result.observations
    served = sum(
        1 for answer in observations.answered if answer.status == 200 and answer.is_complete
    )
    print(  # noqa: T201
        f"seed {result.seed}: {len(observations.sent)} requests, {served} served, "
        f"{len(observations.executions)} executions; {', '.join(result.faults)}"
    )
    print(f"  {count_streams(observations)}")  # noqa: T201
    for text in result.violations[:10]:
        print(f"  {text}")  # noqa: T201
    if result.violations:
        print(f"  logs: {result.folder}")  # noqa: T201
    else:
        shutil.rmtree(result.folder)


if __name__ == "__main__":
    defopt.run(soak)
