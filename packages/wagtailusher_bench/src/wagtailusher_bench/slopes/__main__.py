"""Prints slopes of memory, processor time and traffic, one JSON object per line."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from dataclasses import asdict
import json
import sys

import defopt

from wagtailusher_bench.slopes.daemon import async_measure_daemon
from wagtailusher_bench.slopes.fit import Slope
from wagtailusher_bench.slopes.lists import measure_lists
from wagtailusher_bench.slopes.memory import measure_memory
from wagtailusher_bench.slopes.wire import measure_wire
from wagtailusher_bench.slopes.work import measure_work

GROUPS = ("memory", "lists", "work", "daemon")
WORKSPACES = (470, 1500, 4700)
ENDPOINTS = (60, 600, 1900, 3800)
PEERS = (9, 50, 150)
QUEUED = (100, 500, 1000)
DECISIONS = (500, 1000, 2000, 4000)
RENEWALS = (60, 120, 240, 480)
CONTENT_LINES = (3000, 6000, 12000)
STREAMS = (100, 200, 300, 400)
REQUESTS = (400, 800, 1600)
POLLED = (4, 16, 32, 64)
DEFAULT_WINDOW_MS = 3000


def main(*, group: Sequence[str] = GROUPS, window_ms: int = DEFAULT_WINDOW_MS) -> None:
    """Print the slopes of memory, processor time and bytes.

    :param group: memory of deciders, parsing of lists, processor time of deciders, or a real daemon
    :param window_ms: duration of one measurement of a daemon in ms
    """
    for slope in _decider_slopes(group):
        _print(slope)
    if "daemon" in group:
        asyncio.run(_async_daemon(window_ms))


def _decider_slopes(group: Sequence[str]) -> Iterator[Slope]:
    """Yield the slopes that are measured in this process."""
    if "memory" in group:
        yield from measure_memory(
            workspaces=WORKSPACES, endpoints=ENDPOINTS, peers=PEERS, queued=QUEUED
        )
    if "lists" in group:
        yield from measure_lists(endpoints=ENDPOINTS, workspaces=WORKSPACES)
    if "work" in group:
        yield from measure_work(
            decisions=DECISIONS,
            endpoints=ENDPOINTS,
            renewals=RENEWALS,
            nodes=PEERS,
            content_lines=CONTENT_LINES,
        )
        yield from measure_wire(renewals=RENEWALS)


async def _async_daemon(window_ms: int) -> None:
    """Print the slopes of a daemon in a child process."""
    slopes = async_measure_daemon(
        streams=STREAMS, requests=REQUESTS, endpoints=POLLED, window_ms=window_ms
    )
    async for slope in slopes:
        _print(slope)


def _print(slope: Slope) -> None:
    sys.stdout.write(json.dumps(asdict(slope)) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
