"""Measures an entry daemon's cost of streams, chunks, requests and endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from wagtailusher_bench.relay.callers import Callers
from wagtailusher_bench.relay.chunk_source import MS_PER_S, ChunkSource
from wagtailusher_bench.relay.measure import ONE_BY_ONE, UNSTREAMED, async_until_ready
from wagtailusher_bench.relay.platform_standin import PlatformStandin
from wagtailusher_bench.relay.process import ChildProcess, async_start_entry
from wagtailusher_bench.slopes.fit import Point, Slope, fit_line

US_PER_S = 1_000_000
STREAM_ENDPOINTS = 16
CONNECTIONS = 8


MAX_WINDOWS = 50
"""Most windows to wait for more chunks than before; a busy VM may relay the same number twice."""


@dataclass(slots=True, kw_only=True)
class DaemonSetup:
    """A running daemon and the source that serves as its endpoints."""

    entry: ChildProcess
    source: ChunkSource


@asynccontextmanager
async def async_daemon_setup(endpoints: int) -> AsyncIterator[DaemonSetup]:
    """Run a daemon with endpoints that are all served by one source."""
    source, platform = ChunkSource(), PlatformStandin()
    await source.async_start()
    await platform.async_start()
    entry = await async_start_entry(platform.address)
    try:
        platform.publish(entry.startup_info, source.address, endpoints)
        await async_until_ready(entry)
        yield DaemonSetup(entry=entry, source=source)
    finally:
        await entry.async_stop()
        await source.async_close()
        await platform.async_close()


async def async_measure_daemon(
    *,
    streams: Sequence[int],
    requests: Sequence[int],
    endpoints: Sequence[int],
    window_ms: int,
) -> AsyncIterator[Slope]:
    """Yield the slopes of a daemon's memory, processor time and polled bytes."""
    async with async_daemon_setup(STREAM_ENDPOINTS) as setup:
        memory, chunks = await async_measure_streams(setup, streams, window_ms)
        yield fit_line("stream_memory", unit="bytes", per="open stream", points=memory)
        yield fit_line("chunk_cpu", unit="us", per="chunk", points=chunks)
        points = await _async_measure_requests(setup, requests)
        yield fit_line("request_cpu", unit="us", per="request", points=points)
    resident, idle, polls = await _async_measure_idle(endpoints, window_ms)
    yield fit_line("daemon_memory", unit="bytes", per="endpoint", points=resident)
    yield fit_line("load_reports_cpu", unit="us/s", per="polled endpoint", points=idle)
    yield fit_line("load_reports_bytes", unit="bytes/s", per="polled endpoint", points=polls)


async def async_measure_streams(
    setup: DaemonSetup, counts: Sequence[int], window_ms: int
) -> tuple[list[Point], list[Point]]:
    """Return the daemon's memory by open streams, and its processor time by relayed chunks."""
    memory: list[Point] = []
    cpu: list[Point] = []
    entry, source = setup.entry, setup.source
    for count in counts:
        source.set_shape(ONE_BY_ONE)
        callers = Callers(entry.address)
        await callers.async_open_streams(count)
        before_s, chunks_before = entry.cpu_s(), callers.chunks
        most_chunks = max((point.size for point in cpu), default=0)
        for _ in range(MAX_WINDOWS):
            await asyncio.sleep(window_ms / MS_PER_S)
            if callers.chunks - chunks_before > most_chunks:
                break
        spent_s, chunks = entry.cpu_s() - before_s, callers.chunks - chunks_before
        memory.append(Point(size=count, value=entry.resident_bytes()))
        cpu.append(Point(size=chunks, value=spent_s * US_PER_S))
        source.stop_streams()
        await callers.async_join()
    return memory, cpu


async def _async_measure_requests(setup: DaemonSetup, counts: Sequence[int]) -> list[Point]:
    """Return the daemon's processor time by unstreamed requests."""
    setup.source.set_shape(UNSTREAMED)
    points: list[Point] = []
    for count in counts:
        callers = Callers(setup.entry.address)
        before_s = setup.entry.cpu_s()
        await callers.async_send_requests(count, CONNECTIONS)
        spent_s = setup.entry.cpu_s() - before_s
        points.append(Point(size=callers.answers, value=spent_s * US_PER_S))
    return points


async def _async_measure_idle(
    endpoints: Sequence[int], window_ms: int
) -> tuple[list[Point], list[Point], list[Point]]:
    """Return memory, processor time and polled bytes per second of an idle daemon by endpoints."""
    polls: list[Point] = []
    memory: list[Point] = []
    cpu: list[Point] = []
    for count in endpoints:
        async with async_daemon_setup(count) as setup:
            entry, source = setup.entry, setup.source
            await asyncio.sleep(window_ms / MS_PER_S)
            before_s, before_bytes = entry.cpu_s(), source.poll_bytes
            await asyncio.sleep(window_ms / MS_PER_S)
            per_s = MS_PER_S / window_ms
            spent_us = (entry.cpu_s() - before_s) * US_PER_S
            memory.append(Point(size=count, value=entry.resident_bytes()))
            cpu.append(Point(size=count, value=spent_us * per_s))
            polls.append(Point(size=count, value=(source.poll_bytes - before_bytes) * per_s))
    return memory, cpu, polls
