"""One play: starts the world, lets callers and faults act, and returns what was seen."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus
import logging
from pathlib import Path
import random
from tempfile import mkdtemp

from tests.soak.callers import Tamper, async_call
from tests.soak.checks import violations
from tests.soak.const import CALM_S, ENTRY_COUNT, START_TIMEOUT_S
from tests.soak.faults import async_run_faults
from tests.soak.observations import Observations
from tests.soak.world import AfterRun, World
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_http import HttpClient
from wagtailusher_http.exceptions import HttpError

_LOGGER = logging.getLogger(__name__)

POLL_S = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Played:
    """The outcome of one play."""

    seed: int
    seen: Observations
    faults: list[str]
    violations: list[str]
    folder: Path
    """Holds the processes' logs."""


async def async_play(
    seed: int,
    *,
    entry_count: int = ENTRY_COUNT,
    has_faults: bool = True,
    after_run: AfterRun | None = None,
    tamper: Tamper | None = None,
) -> Played:
    """Play one seed; the last two arguments plant faults to test the checks."""
    folder = Path(mkdtemp(prefix=f"soak-{seed}-"))
    world = World(folder=folder, entry_count=entry_count, after_run=after_run)
    stopping = asyncio.Event()
    faults: list[str] = []
    try:
        await world.async_start()
        await _async_ready(world)
        callers = asyncio.create_task(async_call(seed, world.seen, world.entries, stopping, tamper))
        if has_faults:
            faults = await async_run_faults(world, random.Random(seed))
        world.seen.calm_from_ms = monotonic_ms()
        await asyncio.sleep(CALM_S)
        stopping.set()
        await callers
    finally:
        await world.async_stop()
    return Played(
        seed=seed,
        seen=world.seen,
        faults=faults,
        violations=violations(world.seen),
        folder=folder,
    )


async def _async_ready(world: World) -> None:
    """Wait until every entry answers."""
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
                    _LOGGER.debug("Soak: %s does not listen yet: %s", process.name, err)
                await asyncio.sleep(POLL_S)
    client.close()
