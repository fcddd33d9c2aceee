"""Prints the cost of relaying, one JSON object per line."""

from __future__ import annotations

import asyncio
import json
import sys

import defopt

from wagtailusher_bench.relay.measure import RelayShape, async_measure_relay


def main(
    *,
    streams: int = 400,
    joined_streams: int = 100,
    window_ms: int = 2000,
    repeats: int = 5,
    requests: int = 2000,
    connections: int = 8,
) -> None:
    """Print the cost of a relayed chunk and of an unstreamed request, beside a plain byte copy.

    :param streams: streams with one chunk per write, every 49 ms
    :param joined_streams: streams with eight chunks per write, every 98 ms
    :param window_ms: duration of one measurement
    :param repeats: number of measurements of each kind
    :param requests: unstreamed requests in one measurement
    :param connections: connections that the unstreamed requests are sent on
    """
    asyncio.run(_async_print(RelayShape(**locals())))


async def _async_print(shape: RelayShape) -> None:
    """Print each result as soon as it is measured."""
    async for result in async_measure_relay(shape):
        sys.stdout.write(json.dumps(result) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
