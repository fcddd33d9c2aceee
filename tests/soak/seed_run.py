"""One run: starts the fleet, runs callers and faults, and checks the observations."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
import logging
from pathlib import Path
import random
from tempfile import mkdtemp

from tests.soak.callers import NameAttempt, Tamper, async_run_callers
from tests.soak.checks import find_violations
from tests.soak.const import ENTRY_COUNT, RECOVERY_PHASE_S, START_TIMEOUT_S
from tests.soak.faults import async_inject_faults
from tests.soak.observations import Observations
from tests.soak.world import AfterRun, World
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_http import HttpClient
from wagtailusher_http.exceptions import HttpError

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class SeedResult:
    """The result of running one seed."""

    seed: int
    observations: Observations
    faults: list[str]
    violations: list[str]
    folder: Path
    """Directory of the processes' logs."""


async def async_run_seed(
    seed: int,
    *,
    entry_count: int = ENTRY_COUNT,
    has_faults: bool = True,
    after_run: AfterRun | None = None,
    tamper: Tamper | None = None,
    name_attempt: NameAttempt | None = None,
    stated_version: str | None = None,
) -> SeedResult:
    """Run one seed; the parameters after `has_faults` inject faults that the checks must find."""
    folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
    world = World(
        folder=folder,
        entry_count=entry_count,
        after_run=after_run,
        stated_version=stated_version,
    )
    stop_event = asyncio.Event()
    faults: list[str] = []
    try:
        await world.async_start()
        await _async_wait_until_ready(world)
        callers = asyncio.create_task(
            async_run_callers(
                seed, world.observations, world.entries, stop_event, tamper, name_attempt
            )
        )
        if has_faults:
            faults = await async_inject_faults(world, random.Random(seed))
        world.observations.faults_ended_ms = monotonic_ms()
        await asyncio.sleep(RECOVERY_PHASE_S)
        stop_event.set()
        await callers
    finally:
        await world.async_stop()
    return SeedResult(
        seed=seed,
        observations=world.observations,
        faults=faults,
        violations=find_violations(world.observations),
        folder=folder,
    )


async def _async_wait_until_ready(world: World) -> None:
    """Wait until every entry process is ready for requests."""
    client = HttpClient()
    async with asyncio.timeout(START_TIMEOUT_S):
        for process in world.entries:
            while True:
                try:
                    answer = await client.async_request(process.front, "GET", "/none/")
                    await answer.async_read()
                    if answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
                        break
                except HttpError as err:
                    _LOGGER.debug("Soak: %s does not answer yet: %s", process.name, err)
                await asyncio.sleep(POLL_S)
    client.close()
