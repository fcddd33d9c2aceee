"""The typed steps that a scenario consists of."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class NodePlace:
    """An entry VM, counted from 1."""

    number: int


@dataclass(frozen=True, slots=True)
class DomainPlace:
    """A failure domain."""

    name: str


@dataclass(frozen=True, slots=True)
class EndpointPlace:
    """An endpoint."""

    name: str


Place = NodePlace | DomainPlace | EndpointPlace


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointSpec:
    """An endpoint that is there from the start; a token time makes it an engine."""

    name: str
    domain: str
    pool: str
    limit: int = 8
    cold_limit: int = 1
    service_ms: int = 0
    token_ms: int = 0
    starts_cold: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassSpec:
    """A class of requests."""

    name: str
    tier: int
    pool: str
    target_ms: int
    repeatable: bool = True
    served_late: bool = False
    output_tokens: int = 0
    queue_limit: int = 1_000
    share_percent: int = 1


class EventKind(StrEnum):
    """An event that needs no more than a place, a time or a number."""

    CUT = "cut"
    HEAL = "heal"
    KILL = "kill"
    RESTART = "restart"
    REPLACE = "replace"
    PAUSE = "pause"
    STOP = "stop"
    LEAVE = "leave"
    DRAIN = "drain"
    RETURN = "return"
    SERVICE = "service"
    PUBLISH = "publish"
    CRASH = "crash"
    COLD = "cold"
    SLOW = "slow"
    LINKS = "links"


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Requests of one class; no node means that each goes to another one."""

    class_name: str
    count: int = 1
    node: int | None = None
    every_ms: int = 0
    by_key: bool = False
    crashing: bool = False
    repeating: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturb:
    """Anything else that happens."""

    kind: EventKind
    place: Place | None = None
    other: Place | None = None
    number: int = 0
    word: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Timed:
    """An event at a time."""

    at_ms: int
    event: Send | Disturb
    line: int


class ClaimKind(StrEnum):
    """What may be expected at the end."""

    ONCE = "once"
    ANSWERED = "answered"
    ATTAINMENT = "attainment"
    OUTCOMES = "outcomes"
    NO_SENDS = "no_sends"
    SENDS = "sends"
    NO_EXCESS = "no_excess"
    CRASHES = "crashes"
    IN_FORCE = "in_force"
    NOT_CUT = "not_cut"
    SHED_ORDER = "shed_order"


@dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One expectation."""

    kind: ClaimKind
    line: int
    text: str
    class_name: str = ""
    other_class: str = ""
    place: Place | None = None
    number: int = 0
    word: str = ""
    outcome: str = ""
    after_ms: int = 0
    until_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A parsed file."""

    path: str
    seed: int
    node_count: int
    domains: tuple[str, ...]
    endpoints: tuple[EndpointSpec, ...]
    classes: tuple[ClassSpec, ...]
    events: tuple[Timed, ...]
    claims: tuple[Claim, ...]
    duration_ms: int | None
