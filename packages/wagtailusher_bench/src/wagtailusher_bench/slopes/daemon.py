"""What a real entry daemon takes for streams, chunks, requests and endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from wagtailusher_bench.relay.callers import Callers
from wagtailusher_bench.relay.measure import ONE_BY_ONE, WHOLE, async_until_ready
from wagtailusher_bench.relay.platform import Platform
from wagtailusher_bench.relay.process import ChildProcess, async_start_entry
from wagtailusher_bench.relay.source import MS_PER_S, ChunkSource
from wagtailusher_bench.slopes.fit import Point, Slope, fit_line

US_PER_S = 1_000_000
STREAM_ENDPOINTS = 16
CONNECTIONS = 8


MAX_WINDOWS = 50
"""Windows waited for more chunks than before, as a busy machine may relay equally many in two."""


@dataclass(slots=True, kw_only=True)
class Setting:
    """A daemon and the source behind it."""

    entry: ChildProcess
    source: ChunkSource


@asynccontextmanager
async def async_setting(endpoints: int) -> AsyncIterator[Setting]:
    """Run a daemon in front of endpoints."""
    source, platform = ChunkSource(), Platform()
    await source.async_start()
    await platform.async_start()
    entry = await async_start_entry(platform.address)
    try:
        platform.publish(entry.value, source.address, endpoints)
        await async_until_ready(entry)
        yield Setting(entry=entry, source=source)
    finally:
        await entry.async_end()
        await source.async_close()
        await platform.async_close()


async def async_measure_daemon(
    *,
    streams: Sequence[int],
    requests: Sequence[int],
    endpoints: Sequence[int],
    window_ms: int,
) -> AsyncIterator[Slope]:
    """Yield the slopes of a daemon."""
    async with async_setting(STREAM_ENDPOINTS) as setting:
        memory, chunks = await async_measure_streams(setting, streams, window_ms)
        yield fit_line("stream_memory", unit="bytes", per="open stream", points=memory)
        yield fit_line("chunk_cpu", unit="us", per="chunk", points=chunks)
        points = await _async_requests(setting, requests)
        yield fit_line("request_cpu", unit="us", per="request", points=points)
    resident, idle, polls = await _async_idle(endpoints, window_ms)
    yield fit_line("daemon_memory", unit="bytes", per="endpoint", points=resident)
    yield fit_line("load_reports_cpu", unit="us/s", per="polled endpoint", points=idle)
    yield fit_line("load_reports_bytes", unit="bytes/s", per="polled endpoint", points=polls)


async def async_measure_streams(
    setting: Setting, counts: Sequence[int], window_ms: int
) -> tuple[list[Point], list[Point]]:
    """Return the daemon's memory by open streams, and its processor time by chunks."""
    memory: list[Point] = []
    cpu: list[Point] = []
    entry, source = setting.entry, setting.source
    for count in counts:
        source.use(ONE_BY_ONE)
        callers = Callers(entry.address)
        await callers.async_open_streams(count)
        before_s, seen = entry.cpu_s(), callers.chunks
        largest = max((point.size for point in cpu), default=0)
        for _ in range(MAX_WINDOWS):
            await asyncio.sleep(window_ms / MS_PER_S)
            if callers.chunks - seen > largest:
                break
        spent_s, chunks = entry.cpu_s() - before_s, callers.chunks - seen
        memory.append(Point(size=count, value=entry.resident_bytes()))
        cpu.append(Point(size=chunks, value=spent_s * US_PER_S))
        source.stop_streams()
        await callers.async_join()
    return memory, cpu


async def _async_requests(setting: Setting, counts: Sequence[int]) -> list[Point]:
    """Return the daemon's processor time by whole requests."""
    setting.source.use(WHOLE)
    points: list[Point] = []
    for count in counts:
        callers = Callers(setting.entry.address)
        before_s = setting.entry.cpu_s()
        await callers.async_send_whole(count, CONNECTIONS)
        spent_s = setting.entry.cpu_s() - before_s
        points.append(Point(size=callers.answers, value=spent_s * US_PER_S))
    return points


async def _async_idle(
    endpoints: Sequence[int], window_ms: int
) -> tuple[list[Point], list[Point], list[Point]]:
    """Return memory, processor time and polled bytes a second of a daemon without requests."""
    polls: list[Point] = []
    memory: list[Point] = []
    cpu: list[Point] = []
    for count in endpoints:
        async with async_setting(count) as setting:
            entry, source = setting.entry, setting.source
            await asyncio.sleep(window_ms / MS_PER_S)
            before_s, before_bytes = entry.cpu_s(), source.poll_bytes
            await asyncio.sleep(window_ms / MS_PER_S)
            per_s = MS_PER_S / window_ms
            spent_us = (entry.cpu_s() - before_s) * US_PER_S
            memory.append(Point(size=count, value=entry.resident_bytes()))
            cpu.append(Point(size=count, value=spent_us * per_s))
            polls.append(Point(size=count, value=(source.poll_bytes - before_bytes) * per_s))
    return memory, cpu, polls
