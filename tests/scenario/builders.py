"""Builds typed steps from the parse tree."""

from __future__ import annotations

from typing import Any

from lark import Token, Transformer, v_args

from tests.scenario.steps import (
    Claim,
    ClaimKind,
    ClassSpec,
    Disturb,
    DomainPlace,
    EndpointPlace,
    EndpointSpec,
    EventKind,
    NodePlace,
    Place,
    Send,
    Timed,
)

_UNIT_MS = {"ms": 1, "s": 1_000, "min": 60_000}
Option = tuple[str, Any]


@v_args(inline=True)
class _Words(Transformer[Token, Any]):
    """The words that stand for a value."""

    def name(self, token: Token) -> str:
        """Return a name."""
        return str(token)

    def service_state(self, token: Token) -> str:
        """Return a state of the configuration service."""
        return str(token)

    def bound(self, token: Token) -> str:
        """Return the kind of a bound."""
        return str(token)

    def outcome(self, token: Token) -> str:
        """Return a way to end."""
        return str(token)

    def time(self, number: Token, unit: Token) -> int:
        """Return milliseconds."""
        return int(number) * _UNIT_MS[str(unit)]

    def node(self, number: Token) -> NodePlace:
        """Return an entry VM."""
        return NodePlace(int(number))

    def domain_place(self, name: str) -> DomainPlace:
        """Return a failure domain."""
        return DomainPlace(name)

    def endpoint_place(self, name: str) -> EndpointPlace:
        """Return an endpoint."""
        return EndpointPlace(name)


@v_args(inline=True)
class _Setup(_Words):
    """The steps that say what there is."""

    def seed(self, number: Token) -> tuple[str, int]:
        """Return the scenario's seed."""
        return "seed", int(number)

    def nodes(self, count: Token, *domains: str) -> tuple[str, int, tuple[str, ...]]:
        """Return the entry VMs and the failure domains."""
        return "nodes", int(count), domains

    def duration(self, time_ms: int) -> tuple[str, int]:
        """Return how long the scenario runs."""
        return "duration", time_ms

    def endpoint(self, name: str, domain: str, pool: str, *options: Option) -> EndpointSpec:
        """Return an endpoint."""
        return EndpointSpec(name=name, domain=domain, pool=pool, **dict(options))

    def limit(self, number: Token) -> Option:
        """Return the limit of a warm endpoint."""
        return "limit", int(number)

    def cold_limit(self, number: Token) -> Option:
        """Return the limit of a cold endpoint."""
        return "cold_limit", int(number)

    def takes(self, time_ms: int) -> Option:
        """Return the time of a service's call."""
        return "service_ms", time_ms

    def generates(self, time_ms: int) -> Option:
        """Return the time of an engine's token."""
        return "token_ms", time_ms

    def starts_cold(self) -> Option:
        """Return that the endpoint is cold at first."""
        return "starts_cold", True

    def class_(
        self, name: str, tier: Token, pool: str, target_ms: int, *options: Option
    ) -> ClassSpec:
        """Return a class."""
        values = dict(options)
        return ClassSpec(name=name, tier=int(tier), pool=pool, target_ms=target_ms, **values)

    def unrepeatable(self) -> Option:
        """Return that a request may not run twice."""
        return "repeatable", False

    def late(self) -> Option:
        """Return that a late answer has worth."""
        return "served_late", True

    def output(self, number: Token) -> Option:
        """Return an answer's length."""
        return "output_tokens", int(number)

    def queue(self, number: Token) -> Option:
        """Return the bound of the class's queue."""
        return "queue_limit", int(number)

    def share(self, number: Token) -> Option:
        """Return the class's guaranteed share."""
        return "share_percent", int(number)


@v_args(inline=True)
class _Events(_Setup):
    """The steps that say what happens."""

    @v_args(inline=True, meta=True)
    def timed(self, meta: Any, at_ms: int, event: Send | Disturb) -> Timed:
        """Return an event at its time."""
        return Timed(at_ms=at_ms, event=event, line=meta.line)

    def count(self, word: Token) -> Option:
        """Return the number of requests."""
        return "count", int(word[1:])

    def any_node(self) -> None:
        """Return that each request goes to another node."""

    def every(self, time_ms: int) -> Option:
        """Return the time between two requests."""
        return "every_ms", time_ms

    def by_key(self) -> Option:
        """Return that the caller brings a key in place of a ticket."""
        return "by_key", True

    def crashing(self) -> Option:
        """Return that the requests crash what runs them."""
        return "crashing", True

    def repeating(self) -> Option:
        """Return that the callers send again whatever they are told."""
        return "repeating", True

    def send(self, class_name: str, *rest: Option | NodePlace | None) -> Send:
        """Return requests of one class."""
        options = dict(part for part in rest if isinstance(part, tuple))
        nodes = [part.number for part in rest if isinstance(part, NodePlace)]
        return Send(class_name=class_name, node=nodes[0] if nodes else None, **options)

    def cut(self, place: Place, other: Place) -> Disturb:
        """Return a partition."""
        return Disturb(kind=EventKind.CUT, place=place, other=other)

    def heal(self) -> Disturb:
        """Return the end of all partitions."""
        return Disturb(kind=EventKind.HEAL)

    def kill(self, node: NodePlace) -> Disturb:
        """Return the death of a process."""
        return Disturb(kind=EventKind.KILL, place=node)

    def restart(self, node: NodePlace) -> Disturb:
        """Return a new process in place of the old one."""
        return Disturb(kind=EventKind.RESTART, place=node)

    def replace(self, node: NodePlace) -> Disturb:
        """Return a new process while the old one, stopped, wakes later."""
        return Disturb(kind=EventKind.REPLACE, place=node)

    def pause(self, node: NodePlace, time_ms: int) -> Disturb:
        """Return a pause of a process."""
        return Disturb(kind=EventKind.PAUSE, place=node, number=time_ms)

    def stop(self, node: NodePlace) -> Disturb:
        """Return a graceful shutdown."""
        return Disturb(kind=EventKind.STOP, place=node)

    def leave(self, name: str) -> Disturb:
        """Return an endpoint that leaves."""
        return Disturb(kind=EventKind.LEAVE, place=EndpointPlace(name))

    def drain(self, name: str) -> Disturb:
        """Return a failure domain that is taken out."""
        return Disturb(kind=EventKind.DRAIN, place=DomainPlace(name))

    def return_(self, name: str) -> Disturb:
        """Return a failure domain that comes back."""
        return Disturb(kind=EventKind.RETURN, place=DomainPlace(name))

    def service(self, state: str) -> Disturb:
        """Return a state of the configuration service."""
        return Disturb(kind=EventKind.SERVICE, word=state)

    def publish(self) -> Disturb:
        """Return a configuration that isn't valid."""
        return Disturb(kind=EventKind.PUBLISH)

    def crash(self, name: str) -> Disturb:
        """Return a crash of an endpoint."""
        return Disturb(kind=EventKind.CRASH, place=EndpointPlace(name))

    def cold(self, name: str, *silently: str) -> Disturb:
        """Return an endpoint that turns cold."""
        return Disturb(kind=EventKind.COLD, place=EndpointPlace(name), word="".join(silently))

    def silently(self) -> str:
        """Return that the endpoint goes on reporting to be warm."""
        return "silently"

    def slow(self, name: str, factor: Token) -> Disturb:
        """Return an endpoint that becomes slow."""
        return Disturb(kind=EventKind.SLOW, place=EndpointPlace(name), number=int(factor))

    def links(self, percent: Token) -> Disturb:
        """Return how many of the messages between VMs are lost."""
        return Disturb(kind=EventKind.LINKS, number=int(percent))


@v_args(inline=True)
class Builder(_Events):
    """All steps; the expectations are built here."""

    @v_args(inline=True, meta=True)
    def expectation(self, meta: Any, fields: dict[str, Any]) -> Claim:
        """Return an expectation with its place in the file."""
        text = f"line {meta.line}: {fields['kind']}"
        return Claim(line=meta.line, text=text, **fields)

    def once(self, name: str) -> dict[str, Any]:
        """Return that no request of a class ran twice."""
        return {"kind": ClaimKind.ONCE, "class_name": name}

    def answered(self, name: str) -> dict[str, Any]:
        """Return that every request of a class completed."""
        return {"kind": ClaimKind.ANSWERED, "class_name": name}

    def attainment(self, name: str, percent: Token) -> dict[str, Any]:
        """Return a lower bound of a class's attainment."""
        return {"kind": ClaimKind.ATTAINMENT, "class_name": name, "number": int(percent)}

    def outcomes(self, bound: str, number: Token, name: str, outcome: str) -> dict[str, Any]:
        """Return a bound of a class's requests that end in one way."""
        return {
            "kind": ClaimKind.OUTCOMES,
            "word": bound,
            "number": int(number),
            "class_name": name,
            "outcome": outcome,
        }

    def window(self, after_ms: int, *until_ms: int) -> dict[str, Any]:
        """Return a part of the scenario's time."""
        return {"after_ms": after_ms, "until_ms": until_ms[0] if until_ms else None}

    def no_sends(self, place: Place, window: dict[str, Any]) -> dict[str, Any]:
        """Return that a place gets no new work."""
        return {"kind": ClaimKind.NO_SENDS, "place": place, **window}

    def sends(self, place: Place, window: dict[str, Any]) -> dict[str, Any]:
        """Return that a place gets work."""
        return {"kind": ClaimKind.SENDS, "place": place, **window}

    def no_excess(self) -> dict[str, Any]:
        """Return that no cold endpoint gets more than it bears."""
        return {"kind": ClaimKind.NO_EXCESS}

    def crashes(self, bound: str, number: Token) -> dict[str, Any]:
        """Return a bound of all endpoints' crashes."""
        return {"kind": ClaimKind.CRASHES, "word": bound, "number": int(number)}

    def in_force(self, number: Token, time_ms: int) -> dict[str, Any]:
        """Return that a configuration is in force everywhere by a time."""
        return {"kind": ClaimKind.IN_FORCE, "number": int(number), "until_ms": time_ms}

    def not_cut(self) -> dict[str, Any]:
        """Return that no answer in progress breaks off."""
        return {"kind": ClaimKind.NOT_CUT}

    def shed_order(self, name: str, other: str) -> dict[str, Any]:
        """Return that a class is not refused while one below it starts."""
        return {"kind": ClaimKind.SHED_ORDER, "class_name": name, "other_class": other}
