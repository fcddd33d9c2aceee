"""Prints measurements of membership, configuration spread, summaries and the wire."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
import json
import sys

import defopt

from wagtailusher_bench.fleet.configuration import measure_configuration
from wagtailusher_bench.fleet.cost import measure_cost
from wagtailusher_bench.fleet.membership import measure_alarms, measure_membership
from wagtailusher_bench.fleet.summaries import measure_summaries
from wagtailusher_bench.fleet.wire import measure_wire

_SIZES = (9, 50, 370)


def membership(*, sizes: Sequence[int] = _SIZES, seed: int = 1, loss: float = 0.0) -> None:
    """Print how fast events spread and what membership costs.

    :param sizes: Numbers of nodes.
    :param seed: Seed of all draws.
    :param loss: Share of datagrams that are lost.
    """
    _print(measure_membership(sizes, seed=seed, loss=loss))


def alarms(
    *, sizes: Sequence[int] = _SIZES, seed: int = 1, loss: float = 0.1, minutes: int = 5
) -> None:
    """Print false suspicions and deaths under loss and pauses.

    :param sizes: Numbers of nodes.
    :param seed: Seed of all draws.
    :param loss: Share of datagrams that are lost.
    :param minutes: How long to run in virtual time.
    """
    _print(measure_alarms(sizes, seed=seed, loss=loss, minutes=minutes))


def configuration(
    *, sizes: Sequence[int] = _SIZES, seed: int = 1, loss: float = 0.0, changes: int = 20
) -> None:
    """Print how fast configurations spread and what it costs.

    :param sizes: Numbers of nodes.
    :param seed: Seed of all draws.
    :param loss: Share of datagrams that are lost.
    :param changes: How many changes to publish.
    """
    _print(measure_configuration(sizes, seed=seed, loss=loss, changes=changes))


def summaries(*, sizes: Sequence[int] = _SIZES, seed: int = 1, loss: float = 0.0) -> None:
    """Print how quota shares and address answers behave.

    :param sizes: Numbers of nodes.
    :param seed: Seed of all draws.
    :param loss: Share of datagrams that are lost.
    """
    _print(measure_summaries(sizes, seed=seed, loss=loss))


def wire() -> None:
    """Print sizes and times of both codecs and of the sealer."""
    _print(measure_wire())


def cost(*, sizes: Sequence[int] = _SIZES) -> None:
    """Print processor time and memory of one node's deciders.

    :param sizes: Numbers of nodes.
    """
    _print(measure_cost(sizes))


def _print(rows: Iterable[dict[str, object]]) -> None:
    """Print one JSON object a line."""
    for row in rows:
        sys.stdout.write(json.dumps(row) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    defopt.run([membership, alarms, configuration, summaries, wire, cost])
