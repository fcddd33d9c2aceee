"""The conditions under which a schedule runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from wagtailusher_once import OnceLimits


class Disturbance(StrEnum):
    """One kind of disturbance."""

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
FLAPPING = (Disturbance.LEAVE,)
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
    handed_over_share: float
    node_count: int
    caller_count: int
    hedge_share: float
    start_ms: tuple[int, int]
    disturbances: tuple[tuple[int, Disturbance], ...]
    absence_ms: tuple[int, int]
    end_ms: int


def draw_conditions(rng: Random, *, uses_keys: bool) -> Conditions:
    """Return low limits and many disturbances, to reach as many states as possible."""
    limits = OnceLimits(
        max_records=rng.choice((2, 100, 100)),
        max_answers_bytes=rng.choice((12, 10_000)),
        max_clock_skew_ms=200,
        key_lifetime_ms=rng.choice((5_000, 20_000)),
        max_list_lag_ms=800,
        max_list_age_ms=1_000,
    )
    first_ms = limits.settling_ms if uses_keys else 0
    kinds: tuple[Disturbance, ...] = KEY_DISTURBANCES if uses_keys else TICKET_DISTURBANCES
    count = rng.randint(2, 9)
    absence_ms = (200, 12_000)
    hedge_share = 0.1
    caller_count = 3
    if uses_keys and rng.random() < 0.5:
        kinds = FLAPPING
        count = rng.randint(5, 25)
        absence_ms = (100, 2_500)
        hedge_share = 0.9
        caller_count = 6
    return Conditions(
        limits=limits,
        ticket_lifetime_ms=rng.choice((1_500, 5_000, 60_000)),
        ticket_hold_ms=(0, 500),
        loss=rng.choice((0.0, 0.02, 0.15)),
        slow_share=0.08,
        truncated_share=0.05,
        refused_share=0.15,
        handed_over_share=0.3,
        node_count=3,
        caller_count=caller_count,
        hedge_share=hedge_share,
        start_ms=(first_ms, first_ms + 9_000),
        disturbances=tuple(
            (rng.randint(0, first_ms + 15_000), rng.choice(kinds)) for _ in range(count)
        ),
        absence_ms=absence_ms,
        end_ms=70_000,
    )


def measured_conditions(kind: Disturbance | None) -> Conditions:
    """Return the default limits with one disturbance during a steady load."""
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
        handed_over_share=0.0,
        node_count=9,
        caller_count=60,
        hedge_share=0.1,
        start_ms=(first_ms, first_ms + 60_000),
        disturbances=() if kind is None else ((first_ms + 20_000, kind),),
        absence_ms=(200, 12_000),
        end_ms=first_ms + 120_000,
    )
