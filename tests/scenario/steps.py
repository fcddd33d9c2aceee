"""Typed steps of a scenario."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class NodePlace:
    """An entry VM, numbered from 1."""

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
    """An endpoint of the fleet; a non-zero `token_ms` makes it an engine."""

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
    """Kinds of disturbances."""

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
class SendStep:
    """Requests of one class; without a node, they go to the nodes in turn."""

    class_name: str
    count: int = 1
    node: int | None = None
    every_ms: int = 0
    by_key: bool = False
    crashing: bool = False
    repeating: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """An event other than requests; the kind decides which arguments are used."""

    kind: EventKind
    place: Place | None = None
    other_place: Place | None = None
    number: int = 0
    word: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class TimedEvent:
    """An event with its time after the warm-up."""

    at_ms: int
    event: SendStep | Disturbance
    line: int


class ClaimKind(StrEnum):
    """Kinds of expectations."""

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
    """An expectation that is checked at the end of the run."""

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
    """A parsed scenario file."""

    path: str
    seed: int
    node_count: int
    domains: tuple[str, ...]
    endpoints: tuple[EndpointSpec, ...]
    classes: tuple[ClassSpec, ...]
    events: tuple[TimedEvent, ...]
    claims: tuple[Claim, ...]
    duration_ms: int | None
