"""Prints measurements of membership, configuration spread, summaries and messages."""

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
    """Print how fast membership events spread and how much traffic membership takes.

    :param sizes: Fleet sizes, in nodes.
    :param seed: Seed of all random numbers.
    :param loss: Share of datagrams that are lost, from 0 to 1.
    """
    _print(measure_membership(sizes, seed=seed, loss=loss))


def alarms(
    *, sizes: Sequence[int] = _SIZES, seed: int = 1, loss: float = 0.1, minutes: int = 5
) -> None:
    """Print the false suspicions and false deaths under packet loss and process pauses.

    :param sizes: Fleet sizes, in nodes.
    :param seed: Seed of all random numbers.
    :param loss: Share of datagrams that are lost, from 0 to 1.
    :param minutes: Duration in virtual time.
    """
    _print(measure_alarms(sizes, seed=seed, loss=loss, minutes=minutes))


def configuration(
    *, sizes: Sequence[int] = _SIZES, seed: int = 1, loss: float = 0.0, changes: int = 20
) -> None:
    """Print how fast configuration changes spread and how much traffic that takes.

    :param sizes: Fleet sizes, in nodes.
    :param seed: Seed of all random numbers.
    :param loss: Share of datagrams that are lost, from 0 to 1.
    :param changes: Number of changes to publish.
    """
    _print(measure_configuration(sizes, seed=seed, loss=loss, changes=changes))


def summaries(*, sizes: Sequence[int] = _SIZES, seed: int = 1, loss: float = 0.0) -> None:
    """Print the sums of quota shares under changing demand and the balance of address answers.

    :param sizes: Fleet sizes, in nodes.
    :param seed: Seed of all random numbers.
    :param loss: Share of datagrams that are lost, from 0 to 1.
    """
    _print(measure_summaries(sizes, seed=seed, loss=loss))


def wire() -> None:
    """Print sizes and times of both codecs and of the message authenticator."""
    _print(measure_wire())


def cost(*, sizes: Sequence[int] = _SIZES) -> None:
    """Print processor time and memory of one node's deciders.

    :param sizes: Fleet sizes, in nodes.
    """
    _print(measure_cost(sizes))


def _print(rows: Iterable[dict[str, object]]) -> None:
    """Print one JSON object per line."""
    for row in rows:
        sys.stdout.write(json.dumps(row) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    defopt.run([membership, alarms, configuration, summaries, wire, cost])
