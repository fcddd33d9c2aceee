"""External faults sampled from a seed; they may repeat and overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
import random
import signal

from tests.soak.const import (
    CONFIG_APPLY_MS,
    DRAIN_MS,
    FAULTS_S,
    MAX_VERSION,
    MS_PER_S,
    SOFTWARE_VERSIONS,
)
from tests.soak.observations import GUESTS
from tests.soak.proxy import FaultProxy
from tests.soak.world import DESK, ENGINES, EndpointSlot, World
from wagtailusher_daemon.clock import monotonic_ms

MIN_FAULTS = 5
MAX_FAULTS = 9
MAX_FAULT_S = 1.5
"""Maximum duration of one fault."""
RESTART_PAUSE_S = 0.3
LINK_DELAY_S = 0.15
CONFIGURATIONS_IN_SERIES = 2

Fault = Callable[[World, random.Random], Awaitable[None]]


async def async_fault_kill(world: World, rng: random.Random) -> None:
    """Kill and restart an entry process, sometimes twice in a row."""
    await _async_restart(world, rng, signal.SIGKILL, times=rng.choice((1, 1, 2)))


async def async_fault_restart(world: World, rng: random.Random) -> None:
    """Restart an entry process gracefully."""
    await _async_restart(world, rng, signal.SIGTERM, times=1)


async def async_fault_pause(world: World, rng: random.Random) -> None:
    """Suspend an entry process temporarily."""
    process = rng.choice(world.entries)
    started_ms = monotonic_ms()
    process.send(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
    process.send(signal.SIGCONT)
    world.observations.fault_periods.append((process.name, started_ms, monotonic_ms()))


async def async_fault_reload(world: World, rng: random.Random) -> None:
    """Make an entry process reload its settings, at its start as soon as it handles that."""
    await rng.choice(world.entries).async_reload()


async def async_fault_link(world: World, rng: random.Random) -> None:
    """Disturb the link to an endpoint."""
    slot = rng.choice(world.endpoint_slots)
    await _async_disturb_link(world, rng, slot.proxy, slot.runner.instance_id)


async def async_fault_store_link(world: World, rng: random.Random) -> None:
    """Disturb one VM's link to the store."""
    index = rng.randrange(len(world.entries))
    await _async_disturb_link(world, rng, world.store_links[index], world.entries[index].name)


async def async_fault_store(world: World, rng: random.Random) -> None:
    """Make the store refuse calls, stop answering or drop its change history."""
    started_ms = monotonic_ms()
    mode = rng.choice(("refuse", "silent", "forget"))
    if mode == "forget":
        world.store.compact_history()
    elif mode == "refuse":
        world.store.status = HTTPStatus.SERVICE_UNAVAILABLE
    else:
        world.store.is_silent = True
    await asyncio.sleep(rng.uniform(0.3, MAX_FAULT_S))
    world.store.status = HTTPStatus.OK
    world.store.is_silent = False
    world.observations.fault_periods.append(("store", started_ms, monotonic_ms()))


async def async_fault_drain(world: World, rng: random.Random) -> None:
    """Drain an endpoint, remove it, and start a new incarnation of any software version."""
    slot = _choose_ready_slot(world, rng)
    if slot is None:
        return
    world.drain(slot)
    await asyncio.sleep(1.2 * DRAIN_MS / MS_PER_S)
    world.remove(slot)
    await asyncio.sleep(RESTART_PAUSE_S)
    world.start_incarnation(slot, rng.choice(SOFTWARE_VERSIONS))


async def async_fault_crash(world: World, rng: random.Random) -> None:
    """Remove an endpoint without draining and start a cold incarnation at its address."""
    slot = _choose_ready_slot(world, rng)
    if slot is None:
        return
    slot.proxy.refuse()
    world.remove(slot)
    await asyncio.sleep(rng.uniform(0.1, MAX_FAULT_S))
    await slot.proxy.async_accept_again()
    world.start_incarnation(slot, rng.choice(SOFTWARE_VERSIONS))


async def async_fault_configuration(world: World, rng: random.Random) -> None:
    """Change the configuration, sometimes twice in quick succession."""
    for _ in range(rng.randint(1, CONFIGURATIONS_IN_SERIES)):
        if world.version + 2 < MAX_VERSION:
            world.put_configuration(world.version + 1)
        await asyncio.sleep(rng.uniform(0.0, RESTART_PAUSE_S))


async def async_fault_revoke(world: World, rng: random.Random) -> None:
    """Revoke the guests' key, and restore it some time after the revocation must be applied."""
    if world.version + 1 >= MAX_VERSION or not world.has_guest_key:
        return
    world.has_guest_key = False
    world.put_configuration(world.version + 1)
    world.record_change("revoke", GUESTS)
    await asyncio.sleep(CONFIG_APPLY_MS / MS_PER_S + rng.uniform(0.5, MAX_FAULT_S))
    world.record_change("restore", GUESTS)
    world.has_guest_key = True
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


def sample_faults(rng: random.Random) -> list[tuple[float, Fault]]:
    """Return faults and their start times, in seconds from the start of traffic."""
    count = rng.randint(MIN_FAULTS, MAX_FAULTS)
    return sorted(
        ((rng.uniform(0.0, FAULTS_S), rng.choice(FAULTS)) for _ in range(count)),
        key=lambda item: item[0],
    )


async def async_inject_faults(world: World, rng: random.Random) -> list[str]:
    """Inject the faults of a run; return the start time and name of each."""
    plan = sample_faults(rng)
    started_s = monotonic_ms() / MS_PER_S
    async with asyncio.TaskGroup() as group:
        for at_s, fault in plan:
            await asyncio.sleep(max(0.0, started_s + at_s - monotonic_ms() / MS_PER_S))
            group.create_task(_async_inject(fault, world, random.Random(rng.random())))
    return [f"{at_s:.1f} s {fault.__name__.removeprefix('async_fault_')}" for at_s, fault in plan]


async def _async_inject(fault: Fault, world: World, rng: random.Random) -> None:
    """Inject one fault."""
    await fault(world, rng)


async def _async_restart(
    world: World, rng: random.Random, signal_number: signal.Signals, *, times: int
) -> None:
    """Stop a process and start it again, unless it is already being restarted."""
    process = rng.choice(world.entries)
    if process.is_restarting:
        return
    process.is_restarting = True
    started_ms = monotonic_ms()
    for _ in range(times):
        await process.async_stop(signal_number)
        await asyncio.sleep(RESTART_PAUSE_S)
        await process.async_start()
        await asyncio.sleep(rng.uniform(0.0, MAX_FAULT_S))
    process.is_restarting = False
    world.observations.fault_periods.append((process.name, started_ms, monotonic_ms()))


async def _async_disturb_link(
    world: World, rng: random.Random, proxy: FaultProxy, subject: str
) -> None:
    """Delay, drop in one or both directions, or reset the traffic through a proxy."""
    started_ms = monotonic_ms()
    mode = rng.choice(("delay", "silent", "requests", "answers", "reset"))
    proxy.delay_s = LINK_DELAY_S if mode == "delay" else 0.0
    proxy.drops_requests = mode in ("silent", "requests")
    proxy.drops_answers = mode in ("silent", "answers")
    if mode == "reset":
        proxy.reset_all()
    else:
        await asyncio.sleep(rng.uniform(0.2, MAX_FAULT_S))
        proxy.heal()
        # Dropped bytes are not resent, so the open connections are unusable.
        proxy.reset_all()
    world.observations.fault_periods.append((subject, started_ms, monotonic_ms()))


def _choose_ready_slot(world: World, rng: random.Random) -> EndpointSlot | None:
    """Return a slot whose endpoint can be removed while another of its service stays ready."""
    service = rng.choice((DESK, ENGINES))
    ready = [slot for slot in world.endpoint_slots if slot.service == service and slot.is_ready]
    return rng.choice(ready) if len(ready) > 1 else None
