"""Measures an entry daemon against a plain byte copy between the same source and callers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass
from statistics import median

from wagtailusher_bench.relay.callers import Callers
from wagtailusher_bench.relay.platform import ENDPOINT_CONCURRENCY, Platform
from wagtailusher_bench.relay.process import ChildProcess, async_start_entry
from wagtailusher_bench.relay.source import MS_PER_S, ChunkShape, ChunkSource
from wagtailusher_http import HttpClient

READY_STEP_MS = 50
READY_STEPS = 400
US_PER_S = 1_000_000
ONE_BY_ONE = ChunkShape(per_write=1, interval_ms=49)
JOINED = ChunkShape(per_write=8, interval_ms=98)
WHOLE = ChunkShape(per_write=0, interval_ms=0)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayShape:
    """How much to measure."""

    streams: int = 400
    joined_streams: int = 100
    window_ms: int = 3000
    repeats: int = 5
    requests: int = 2000
    connections: int = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Processor time for each unit of work: the median of the repeats and their spread."""

    us: float
    least_us: float
    most_us: float
    per_s: float
    broken: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCost:
    """The daemon's cost of one unit beside that of the copy in the same run."""

    measure: str
    cpu_us: float
    least_cpu_us: float
    most_cpu_us: float
    copy_cpu_us: float
    ratio_to_copy: float
    per_core_s: int
    measured_per_s: float
    idle_core_share: float
    broken: int


async def async_measure_relay(shape: RelayShape) -> AsyncIterator[dict[str, object]]:
    """Yield the cost of a chunk alone, of a chunk among joined ones and of a whole request."""
    source = ChunkSource()
    platform = Platform()
    await source.async_start()
    await platform.async_start()
    children: list[ChildProcess] = []
    try:
        entry = await async_start_entry(platform.address)
        children.append(entry)
        most = max(shape.streams, shape.joined_streams)
        platform.publish(entry.value, source.address, 1 + 2 * most // ENDPOINT_CONCURRENCY)
        await async_until_ready(entry)
        copy = await ChildProcess.async_start("wagtailusher_bench.relay.byte_copy", source.address)
        children.append(copy)
        idle = await _async_idle_share(entry, shape)
        for name, chunks, streams in (
            ("chunk_one_by_one", ONE_BY_ONE, shape.streams),
            ("chunk_joined", JOINED, shape.joined_streams),
        ):
            ours = await async_chunk_cost(entry, source, chunks, streams, shape, idle)
            plain = await async_chunk_cost(copy, source, chunks, streams, shape, 0.0)
            yield asdict(_compare(name, ours, plain, idle))
        source.use(WHOLE)
        ours = await _async_request_cost(entry, shape, idle)
        plain = await _async_request_cost(copy, shape, 0.0)
        yield asdict(_compare("whole_request", ours, plain, idle))
    finally:
        for child in children:
            await child.async_end()
        await source.async_close()
        await platform.async_close()


async def async_until_ready(entry: ChildProcess) -> None:
    """Wait until a daemon takes requests."""
    async with HttpClient() as client:
        for _ in range(READY_STEPS):
            address = entry.value["operator_address"]
            answer = await client.async_request(address, "GET", "/readyz")
            await answer.async_read()
            if answer.status == 200:
                return
            await asyncio.sleep(READY_STEP_MS / MS_PER_S)
    raise TimeoutError("the entry daemon did not become ready")


async def _async_idle_share(entry: ChildProcess, shape: RelayShape) -> float:
    """Return the share of a core that the daemon takes without requests."""
    await asyncio.sleep(shape.window_ms / MS_PER_S)
    before_s = entry.cpu_s()
    await asyncio.sleep(shape.window_ms / MS_PER_S)
    return (entry.cpu_s() - before_s) / (shape.window_ms / MS_PER_S)


async def async_chunk_cost(
    child: ChildProcess,
    source: ChunkSource,
    chunks: ChunkShape,
    streams: int,
    shape: RelayShape,
    idle: float,
) -> Cost:
    """Return the cost of a chunk while streams run at a set pace."""
    source.use(chunks)
    callers = Callers(child.address)
    await callers.async_open_streams(streams)
    costs: list[float] = []
    rates: list[float] = []
    loop = asyncio.get_running_loop()
    for _ in range(shape.repeats):
        started, cpu_s, seen = loop.time(), child.cpu_s(), callers.chunks
        await asyncio.sleep(shape.window_ms / MS_PER_S)
        took_s, spent_s = loop.time() - started, child.cpu_s() - cpu_s
        count = max(1, callers.chunks - seen)
        costs.append((spent_s - idle * took_s) / count * US_PER_S)
        rates.append(count / took_s)
    source.stop_streams()
    await callers.async_join()
    return _cost_of(costs, rates, callers.broken)


async def _async_request_cost(child: ChildProcess, shape: RelayShape, idle: float) -> Cost:
    """Return the cost of a whole request."""
    callers = Callers(child.address)
    costs: list[float] = []
    rates: list[float] = []
    loop = asyncio.get_running_loop()
    for _ in range(shape.repeats):
        started, cpu_s, seen = loop.time(), child.cpu_s(), callers.answers
        await callers.async_send_whole(shape.requests, shape.connections)
        took_s, spent_s = loop.time() - started, child.cpu_s() - cpu_s
        count = max(1, callers.answers - seen)
        costs.append((spent_s - idle * took_s) / count * US_PER_S)
        rates.append(count / took_s)
    return _cost_of(costs, rates, callers.broken)


def _cost_of(costs: list[float], rates: list[float], broken: int) -> Cost:
    """Return the repeats as one cost."""
    return Cost(
        us=median(costs),
        least_us=min(costs),
        most_us=max(costs),
        per_s=median(rates),
        broken=broken,
    )


def _compare(name: str, ours: Cost, plain: Cost, idle: float) -> RelayCost:
    """Return the daemon's cost beside the copy's."""
    return RelayCost(
        measure=name,
        cpu_us=round(ours.us, 1),
        least_cpu_us=round(ours.least_us, 1),
        most_cpu_us=round(ours.most_us, 1),
        copy_cpu_us=round(plain.us, 1),
        ratio_to_copy=round(ours.us / plain.us, 2) if plain.us > 0 else 0.0,
        per_core_s=int(US_PER_S / ours.us) if ours.us > 0 else 0,
        measured_per_s=round(ours.per_s, 1),
        idle_core_share=round(idle, 4),
        broken=ours.broken + plain.broken,
    )
