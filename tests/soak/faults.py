"""Faults from outside, drawn from a seed; they come in series and overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
import random
import signal

from tests.soak.const import CONFIG_APPLY_MS, DRAIN_MS, FAULTS_S, MAX_VERSION, MS_PER_S
from tests.soak.observations import GUESTS
from tests.soak.proxy import FaultProxy
from tests.soak.world import DESK, ENGINES, Place, World
from wagtailusher_daemon.clock import monotonic_ms

MIN_FAULTS = 5
MAX_FAULTS = 9
MAX_HOLD_S = 1.5
"""Longest time for which one fault holds."""
RESTART_PAUSE_S = 0.3
LINK_DELAY_S = 0.15
CONFIGURATIONS_IN_SERIES = 2

Fault = Callable[[World, random.Random], Awaitable[None]]


async def async_fault_kill(world: World, chance: random.Random) -> None:
    """Kill a process, now and then twice in a row."""
    await _async_restart(world, chance, signal.SIGKILL, times=chance.choice((1, 1, 2)))


async def async_fault_restart(world: World, chance: random.Random) -> None:
    """Restart a process as planned."""
    await _async_restart(world, chance, signal.SIGTERM, times=1)


async def async_fault_pause(world: World, chance: random.Random) -> None:
    """Stop a process for a while."""
    process = chance.choice(world.entries)
    started_ms = monotonic_ms()
    process.send(signal.SIGSTOP)
    await asyncio.sleep(chance.uniform(0.2, MAX_HOLD_S))
    process.send(signal.SIGCONT)
    world.seen.disturbed.append((process.name, started_ms, monotonic_ms()))


async def async_fault_reload(world: World, chance: random.Random) -> None:
    """Have a process read its settings again."""
    chance.choice(world.entries).send(signal.SIGHUP)


async def async_fault_link(world: World, chance: random.Random) -> None:
    """Harm the way to an endpoint."""
    place = chance.choice(world.places)
    await _async_harm(world, chance, place.proxy, place.runner.instance_id)


async def async_fault_store_link(world: World, chance: random.Random) -> None:
    """Harm one VM's way to the store."""
    at = chance.randrange(len(world.entries))
    await _async_harm(world, chance, world.store_links[at], world.entries[at].name)


async def async_fault_store(world: World, chance: random.Random) -> None:
    """Let the store refuse, fall silent or forget its history."""
    started_ms = monotonic_ms()
    how = chance.choice(("refuse", "silent", "forget"))
    if how == "forget":
        world.store.compact_history()
    elif how == "refuse":
        world.store.status = HTTPStatus.SERVICE_UNAVAILABLE
    else:
        world.store.is_silent = True
    await asyncio.sleep(chance.uniform(0.3, MAX_HOLD_S))
    world.store.status = HTTPStatus.OK
    world.store.is_silent = False
    world.seen.disturbed.append(("store", started_ms, monotonic_ms()))


async def async_fault_drain(world: World, chance: random.Random) -> None:
    """Drain an endpoint, take it away, and bring another incarnation back."""
    place = _ready_place(world, chance)
    if place is None:
        return
    world.drain(place)
    await asyncio.sleep(1.2 * DRAIN_MS / MS_PER_S)
    world.remove(place)
    await asyncio.sleep(RESTART_PAUSE_S)
    world.bring_back(place)


async def async_fault_crash(world: World, chance: random.Random) -> None:
    """Take an endpoint away without notice and bring a cold one back at its address."""
    place = _ready_place(world, chance)
    if place is None:
        return
    place.proxy.reset_all()
    world.remove(place)
    await asyncio.sleep(chance.uniform(0.1, MAX_HOLD_S))
    world.bring_back(place)


async def async_fault_configuration(world: World, chance: random.Random) -> None:
    """Change the configuration, at times twice in quick succession."""
    for _ in range(chance.randint(1, CONFIGURATIONS_IN_SERIES)):
        if world.version + 2 < MAX_VERSION:
            world.put_configuration(world.version + 1)
        await asyncio.sleep(chance.uniform(0.0, RESTART_PAUSE_S))


async def async_fault_revoke(world: World, chance: random.Random) -> None:
    """Take the guests' key away, and give it back some time after that is in force."""
    if world.version + 1 >= MAX_VERSION or not world.has_guests:
        return
    world.has_guests = False
    world.put_configuration(world.version + 1)
    world.note("revoke", GUESTS)
    await asyncio.sleep(CONFIG_APPLY_MS / MS_PER_S + chance.uniform(0.5, MAX_HOLD_S))
    world.note("restore", GUESTS)
    world.has_guests = True
    world.put_configuration(world.version + 1)


FAULTS: tuple[Fault, ...] = (
    async_fault_kill,
    async_fault_restart,
    async_fault_pause,
    async_fault_reload,
    async_fault_link,
    async_fault_store_link,
    async_fault_store,
    async_fault_drain,
    async_fault_crash,
    async_fault_configuration,
    async_fault_revoke,
)


def draw(chance: random.Random) -> list[tuple[float, Fault]]:
    """Return faults and when they begin, in seconds from the start of traffic."""
    count = chance.randint(MIN_FAULTS, MAX_FAULTS)
    return sorted(
        ((chance.uniform(0.0, FAULTS_S), chance.choice(FAULTS)) for _ in range(count)),
        key=lambda item: item[0],
    )


async def async_run_faults(world: World, chance: random.Random) -> list[str]:
    """Let a play's faults happen; return what was done."""
    plan = draw(chance)
    started_s = monotonic_ms() / MS_PER_S
    async with asyncio.TaskGroup() as group:
        for at_s, fault in plan:
            await asyncio.sleep(max(0.0, started_s + at_s - monotonic_ms() / MS_PER_S))
            group.create_task(_async_one(fault, world, random.Random(chance.random())))
    return [f"{at_s:.1f} s {fault.__name__.removeprefix('async_fault_')}" for at_s, fault in plan]


async def _async_one(fault: Fault, world: World, chance: random.Random) -> None:
    """Let one fault happen."""
    await fault(world, chance)


async def _async_restart(
    world: World, chance: random.Random, number: signal.Signals, *, times: int
) -> None:
    """End a process and start it again; one that is being restarted is left alone."""
    process = chance.choice(world.entries)
    if process.is_restarting:
        return
    process.is_restarting = True
    started_ms = monotonic_ms()
    for _ in range(times):
        await process.async_end(number)
        await asyncio.sleep(RESTART_PAUSE_S)
        await process.async_start()
        await asyncio.sleep(chance.uniform(0.0, MAX_HOLD_S))
    process.is_restarting = False
    world.seen.disturbed.append((process.name, started_ms, monotonic_ms()))


async def _async_harm(
    world: World, chance: random.Random, proxy: FaultProxy, concerned: str
) -> None:
    """Delay, silence, cut one way or reset what passes through a proxy."""
    started_ms = monotonic_ms()
    how = chance.choice(("delay", "silent", "requests", "answers", "reset"))
    proxy.delay_s = LINK_DELAY_S if how == "delay" else 0.0
    proxy.drops_requests = how in ("silent", "requests")
    proxy.drops_answers = how in ("silent", "answers")
    if how == "reset":
        proxy.reset_all()
    else:
        await asyncio.sleep(chance.uniform(0.2, MAX_HOLD_S))
        proxy.heal()
        # What was dropped is missing for good; the connections are of no use any more.
        proxy.reset_all()
    world.seen.disturbed.append((concerned, started_ms, monotonic_ms()))


def _ready_place(world: World, chance: random.Random) -> Place | None:
    """Return a place whose endpoint may go, as another of its service stays."""
    service = chance.choice((DESK, ENGINES))
    ready = [place for place in world.places if place.service == service and place.is_ready]
    return chance.choice(ready) if len(ready) > 1 else None
