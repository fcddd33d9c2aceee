"""Prints slopes, one JSON object a line."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
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


def main(
    *,
    group: Sequence[str] = GROUPS,
    workspaces: Sequence[int] = (470, 1500, 4700),
    endpoints: Sequence[int] = (60, 600, 1900, 3800),
    peers: Sequence[int] = (9, 50, 150),
    queued: Sequence[int] = (100, 500, 1000),
    nodes: Sequence[int] = (9, 50, 150),
    decisions: Sequence[int] = (500, 1000, 2000, 4000),
    renewals: Sequence[int] = (60, 120, 240, 480),
    content_lines: Sequence[int] = (3000, 6000, 12000),
    streams: Sequence[int] = (100, 200, 300, 400),
    requests: Sequence[int] = (400, 800, 1600),
    polled: Sequence[int] = (4, 16, 32, 64),
    window_ms: int = 3000,
) -> None:
    """Print the slopes of memory, processor time and bytes.

    :param group: memory of the deciders, reading of lists, their work, or a real daemon
    :param workspaces: numbers of workspaces
    :param endpoints: numbers of endpoints that a decider knows
    :param peers: fleet sizes for the memory of a member
    :param queued: numbers of requests that wait in admission
    :param nodes: fleet sizes for the traffic of membership
    :param decisions: numbers of decisions
    :param renewals: numbers of lease renewals
    :param content_lines: sizes of the configuration that changes, in lines
    :param streams: numbers of open streams, a chunk each 49 ms
    :param requests: numbers of whole requests
    :param polled: numbers of endpoints whose load a daemon polls
    :param window_ms: length of one measurement of a daemon
    """
    if "memory" in group:
        kept = measure_memory(
            workspaces=workspaces, endpoints=endpoints, peers=peers, queued=queued
        )
        for slope in kept:
            _print(slope)
    if "lists" in group:
        for slope in measure_lists(endpoints=endpoints, workspaces=workspaces):
            _print(slope)
    if "work" in group:
        slopes = measure_work(
            decisions=decisions,
            endpoints=endpoints,
            renewals=renewals,
            nodes=nodes,
            content_lines=content_lines,
        )
        for slope in (*slopes, *measure_wire(renewals=renewals)):
            _print(slope)
    if "daemon" in group:
        asyncio.run(_async_daemon(streams, requests, polled, window_ms))


async def _async_daemon(
    streams: Sequence[int], requests: Sequence[int], polled: Sequence[int], window_ms: int
) -> None:
    """Print the slopes of a daemon."""
    slopes = async_measure_daemon(
        streams=streams, requests=requests, endpoints=polled, window_ms=window_ms
    )
    async for slope in slopes:
        _print(slope)


def _print(slope: Slope) -> None:
    """Print one slope."""
    sys.stdout.write(json.dumps(asdict(slope)) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
