"""Measures an entry daemon against a plain byte copy between the same source and callers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from dataclasses import asdict, dataclass, replace
from statistics import median

from wagtailusher_bench.relay.callers import Callers
from wagtailusher_bench.relay.chunk_source import MS_PER_S, ChunkShape, ChunkSource
from wagtailusher_bench.relay.platform_standin import ENDPOINT_CONCURRENCY, PlatformStandin
from wagtailusher_bench.relay.process import ChildProcess, async_start_entry
from wagtailusher_http import HttpClient

READY_STEP_MS = 50
READY_STEPS = 400
US_PER_S = 1_000_000
ONE_BY_ONE = ChunkShape(per_write=1, interval_ms=49)
JOINED = ChunkShape(per_write=8, interval_ms=98)
UNSTREAMED = ChunkShape(per_write=0, interval_ms=0)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayShape:
    """Numbers of streams, requests and repeats to measure."""

    streams: int = 400
    joined_streams: int = 100
    window_ms: int = 2000
    repeats: int = 5
    requests: int = 2000
    connections: int = 8


@dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Processor time per unit of work, and the rate of units, in one measurement."""

    us: float
    kernel_us: float
    per_s: float
    broken: int


Measure = Callable[[ChildProcess, float], Awaitable[Window]]


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCost:
    """The daemon's cost per unit of work beside that of the byte copy in the same run."""

    measure: str
    cpu_us: float
    kernel_cpu_us: float
    least_cpu_us: float
    most_cpu_us: float
    copy_cpu_us: float
    copy_kernel_cpu_us: float
    ratio_to_copy: float
    least_ratio: float
    most_ratio: float
    per_core_s: int
    measured_per_s: float
    idle_core_share: float
    broken: int


async def async_measure_relay(shape: RelayShape) -> AsyncIterator[dict[str, object]]:
    """Yield the cost of a single chunk, a chunk in joined writes and an unstreamed request."""
    source = ChunkSource()
    platform = PlatformStandin()
    await source.async_start()
    await platform.async_start()
    children: list[ChildProcess] = []
    try:
        entry = await async_start_entry(platform.address)
        children.append(entry)
        most = max(shape.streams, shape.joined_streams)
        platform.publish(entry.startup_info, source.address, 1 + 2 * most // ENDPOINT_CONCURRENCY)
        await async_until_ready(entry)
        copy = await ChildProcess.async_start("wagtailusher_bench.relay.byte_copy", source.address)
        children.append(copy)
        idle = await _async_idle_share(entry, shape)
        for name, measure in _measurements(source, shape):
            pairs = [
                (await measure(entry, idle), await measure(copy, 0.0)) for _ in range(shape.repeats)
            ]
            yield asdict(_compare_to_copy(name, pairs, idle))
    finally:
        for child in children:
            await child.async_stop()
        await source.async_close()
        await platform.async_close()


async def async_until_ready(entry: ChildProcess) -> None:
    """Wait until a daemon is ready; raise TimeoutError after READY_STEPS checks."""
    async with HttpClient() as client:
        for _ in range(READY_STEPS):
            address = entry.startup_info["operator_address"]
            answer = await client.async_request(address, "GET", "/readyz")
            await answer.async_read()
            if answer.status == 200:
                return
            await asyncio.sleep(READY_STEP_MS / MS_PER_S)
    raise TimeoutError("entry daemon did not become ready")


async def _async_idle_share(entry: ChildProcess, shape: RelayShape) -> float:
    """Return the share of a core that the daemon uses without requests."""
    await asyncio.sleep(shape.window_ms / MS_PER_S)
    before_s = entry.cpu_s()
    await asyncio.sleep(shape.window_ms / MS_PER_S)
    return (entry.cpu_s() - before_s) / (shape.window_ms / MS_PER_S)


def _measurements(source: ChunkSource, shape: RelayShape) -> Iterator[tuple[str, Measure]]:
    """Yield the name and coroutine function of each measurement."""

    def chunks(kind: ChunkShape, streams: int) -> Measure:
        async def async_measure(child: ChildProcess, idle: float) -> Window:
            source.set_shape(kind)
            return await async_chunk_window(child, source, streams, shape.window_ms, idle)

        return async_measure

    async def async_measure_requests(child: ChildProcess, idle: float) -> Window:
        source.set_shape(UNSTREAMED)
        return await _async_request_window(child, shape, idle)

    yield "chunk_one_by_one", chunks(ONE_BY_ONE, shape.streams)
    yield "chunk_joined", chunks(JOINED, shape.joined_streams)
    yield "whole_request", async_measure_requests


async def async_chunk_window(
    child: ChildProcess, source: ChunkSource, streams: int, window_ms: int, idle: float
) -> Window:
    """Return the cost per chunk while streams run at the source's pace."""
    callers = Callers(child.address)
    await callers.async_open_streams(streams)
    window = await _async_window(
        child, idle, lambda: callers.chunks, lambda: asyncio.sleep(window_ms / MS_PER_S)
    )
    source.stop_streams()
    await callers.async_join()
    return replace(window, broken=callers.broken)


async def _async_request_window(child: ChildProcess, shape: RelayShape, idle: float) -> Window:
    """Return the cost per unstreamed request."""
    callers = Callers(child.address)
    window = await _async_window(
        child,
        idle,
        lambda: callers.answers,
        lambda: callers.async_send_requests(shape.requests, shape.connections),
    )
    return replace(window, broken=callers.broken)


async def _async_window(
    child: ChildProcess,
    idle: float,
    count_of: Callable[[], int],
    async_work: Callable[[], Awaitable[None]],
) -> Window:
    """Return the cost per counted unit while `async_work` runs, without the idle share."""
    loop = asyncio.get_running_loop()
    started, before, count_before = loop.time(), child.cpu_user_and_kernel_s(), count_of()
    await async_work()
    elapsed_s = loop.time() - started
    user_s, kernel_s = (
        now - then for now, then in zip(child.cpu_user_and_kernel_s(), before, strict=True)
    )
    count = max(1, count_of() - count_before)
    return Window(
        us=(user_s + kernel_s - idle * elapsed_s) / count * US_PER_S,
        kernel_us=kernel_s / count * US_PER_S,
        per_s=count / elapsed_s,
        broken=0,
    )


def _compare_to_copy(name: str, pairs: Sequence[tuple[Window, Window]], idle: float) -> RelayCost:
    """Return the daemon's cost beside that of the copy, as medians over the repeats."""
    costs = [ours.us for ours, _ in pairs]
    cpu_us = median(costs)
    ratios = [ours.us / plain.us for ours, plain in pairs if plain.us > 0]
    return RelayCost(
        measure=name,
        cpu_us=round(cpu_us, 1),
        kernel_cpu_us=round(median(ours.kernel_us for ours, _ in pairs), 1),
        least_cpu_us=round(min(costs), 1),
        most_cpu_us=round(max(costs), 1),
        copy_cpu_us=round(median(plain.us for _, plain in pairs), 1),
        copy_kernel_cpu_us=round(median(plain.kernel_us for _, plain in pairs), 1),
        ratio_to_copy=round(median(ratios), 2) if ratios else 0.0,
        least_ratio=round(min(ratios, default=0.0), 2),
        most_ratio=round(max(ratios, default=0.0), 2),
        per_core_s=int(US_PER_S / cpu_us) if cpu_us > 0 else 0,
        measured_per_s=round(median(ours.per_s for ours, _ in pairs), 1),
        idle_core_share=round(idle, 4),
        broken=sum(ours.broken + plain.broken for ours, plain in pairs),
    )
