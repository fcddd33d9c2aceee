"""Under which conditions a schedule runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from wagtailusher_once import OnceLimits


class Disturbance(StrEnum):
    """One thing that goes wrong."""

    KILL = "kill"
    PAUSE = "pause"
    CUT = "cut"
    REPLACE = "replace"
    JUMP_WALL = "jump_wall"
    LEAVE = "leave"


TICKET_DISTURBANCES = (
    Disturbance.KILL,
    Disturbance.PAUSE,
    Disturbance.CUT,
    Disturbance.REPLACE,
    Disturbance.JUMP_WALL,
)
KEY_DISTURBANCES = (
    Disturbance.KILL,
    Disturbance.PAUSE,
    Disturbance.CUT,
    Disturbance.REPLACE,
    Disturbance.LEAVE,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Conditions:
    """A schedule's size, limits, links and disturbances."""

    limits: OnceLimits
    ticket_lifetime_ms: int
    ticket_hold_ms: tuple[int, int]
    loss: float
    slow_share: float
    truncated_share: float
    refused_share: float
    node_count: int
    caller_count: int
    start_ms: tuple[int, int]
    disturbances: tuple[tuple[int, Disturbance], ...]
    end_ms: int


def draw_conditions(rng: Random, *, uses_keys: bool) -> Conditions:
    """Return small bounds and many disturbances, to reach as many states as possible."""
    limits = OnceLimits(
        max_records=rng.choice((2, 100, 100)),
        max_answers_bytes=rng.choice((12, 10_000)),
        max_clock_skew_ms=200,
        key_lifetime_ms=rng.choice((5_000, 20_000)),
        max_list_lag_ms=800,
        max_list_age_ms=1_000,
    )
    first_ms = limits.settling_ms if uses_keys else 0
    kinds = KEY_DISTURBANCES if uses_keys else TICKET_DISTURBANCES
    return Conditions(
        limits=limits,
        ticket_lifetime_ms=rng.choice((1_500, 5_000, 60_000)),
        ticket_hold_ms=(0, 500),
        loss=rng.choice((0.0, 0.02, 0.15)),
        slow_share=0.08,
        truncated_share=0.05,
        refused_share=0.15,
        node_count=3,
        caller_count=3,
        start_ms=(first_ms, first_ms + 9_000),
        disturbances=tuple(
            (rng.randint(0, first_ms + 15_000), rng.choice(kinds)) for _ in range(rng.randint(2, 9))
        ),
        end_ms=70_000,
    )


def measured_conditions(kind: Disturbance | None) -> Conditions:
    """Return the default limits with one disturbance in the middle of a steady load."""
    limits = OnceLimits()
    first_ms = 2 * limits.settling_ms
    return Conditions(
        limits=limits,
        ticket_lifetime_ms=120_000,
        ticket_hold_ms=(0, 20_000),
        loss=0.0,
        slow_share=0.0,
        truncated_share=0.0,
        refused_share=0.0,
        node_count=9,
        caller_count=60,
        start_ms=(first_ms, first_ms + 60_000),
        disturbances=() if kind is None else ((first_ms + 20_000, kind),),
        end_ms=first_ms + 120_000,
    )
