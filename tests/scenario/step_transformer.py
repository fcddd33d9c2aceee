"""Converts the parse tree to typed steps; each method handles the grammar rule of its name."""

from __future__ import annotations

from typing import Any

from lark import Token, Transformer, v_args

from tests.scenario.steps import (
    Claim,
    ClaimKind,
    ClassSpec,
    Disturbance,
    DomainPlace,
    EndpointPlace,
    EndpointSpec,
    EventKind,
    NodePlace,
    Place,
    SendStep,
    TimedEvent,
)

_UNIT_MS = {"ms": 1, "s": 1_000, "min": 60_000}
Option = tuple[str, Any]


@v_args(inline=True)
class _ValueRules(Transformer[Token, Any]):
    """Rules of single values."""

    def name(self, token: Token) -> str:
        return str(token)

    def service_state(self, token: Token) -> str:
        """Return the configuration service's state: down, up or stale."""
        return str(token)

    def bound(self, token: Token) -> str:
        """Return the kind of bound: least or most."""
        return str(token)

    def outcome(self, token: Token) -> str:
        """Return the outcome: completed, unknown or refused."""
        return str(token)

    def time(self, number: Token, unit: Token) -> int:
        """Return a time in milliseconds."""
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
class _SetupRules(_ValueRules):
    """Rules of the setup steps: the fleet and its classes."""

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
        """Return an endpoint of the fleet."""
        return EndpointSpec(name=name, domain=domain, pool=pool, **dict(options))

    def limit(self, number: Token) -> Option:
        """Return the concurrency limit of a warm endpoint."""
        return "limit", int(number)

    def cold_limit(self, number: Token) -> Option:
        """Return the concurrency limit of a cold endpoint."""
        return "cold_limit", int(number)

    def takes(self, time_ms: int) -> Option:
        """Return the duration of a call to a service."""
        return "service_ms", time_ms

    def generates(self, time_ms: int) -> Option:
        """Return the time between an engine's tokens."""
        return "token_ms", time_ms

    def starts_cold(self) -> Option:
        """Mark the endpoint as cold at the start."""
        return "starts_cold", True

    def class_(
        self, name: str, tier: Token, pool: str, target_ms: int, *options: Option
    ) -> ClassSpec:
        """Return a class."""
        values = dict(options)
        return ClassSpec(name=name, tier=int(tier), pool=pool, target_ms=target_ms, **values)

    def unrepeatable(self) -> Option:
        """Mark the class as not repeatable."""
        return "repeatable", False

    def late(self) -> Option:
        """Mark the class as served after its deadline."""
        return "served_late", True

    def output(self, number: Token) -> Option:
        """Return the length of an answer in tokens."""
        return "output_tokens", int(number)

    def queue(self, number: Token) -> Option:
        """Return the limit of the class's queue."""
        return "queue_limit", int(number)

    def share(self, number: Token) -> Option:
        """Return the class's guaranteed share."""
        return "share_percent", int(number)


@v_args(inline=True)
class _EventRules(_SetupRules):
    """Rules of the events."""

    @v_args(inline=True, meta=True)
    def timed(self, meta: Any, at_ms: int, event: SendStep | Disturbance) -> TimedEvent:
        """Return an event with its time and line."""
        return TimedEvent(at_ms=at_ms, event=event, line=meta.line)

    def count(self, word: Token) -> Option:
        """Return the number of requests."""
        return "count", int(word[1:])

    def any_node(self) -> None:
        """Return no node: the requests go to the nodes in turn."""

    def every(self, time_ms: int) -> Option:
        """Return the time between two requests."""
        return "every_ms", time_ms

    def by_key(self) -> Option:
        """Mark the requests as sent with an idempotency key instead of a ticket."""
        return "by_key", True

    def crashing(self) -> Option:
        """Mark the requests as crashing the endpoint that runs them."""
        return "crashing", True

    def repeating(self) -> Option:
        """Mark the callers as retrying after every refusal, also a final one."""
        return "repeating", True

    def send(self, class_name: str, *arguments: Option | NodePlace | None) -> SendStep:
        """Return requests of one class."""
        options = dict(argument for argument in arguments if isinstance(argument, tuple))
        nodes = [argument.number for argument in arguments if isinstance(argument, NodePlace)]
        return SendStep(class_name=class_name, node=nodes[0] if nodes else None, **options)

    def cut(self, place: Place, other_place: Place) -> Disturbance:
        """Return the cut of a link."""
        return Disturbance(kind=EventKind.CUT, place=place, other_place=other_place)

    def heal(self) -> Disturbance:
        """Return the end of all partitions."""
        return Disturbance(kind=EventKind.HEAL)

    def kill(self, node: NodePlace) -> Disturbance:
        """Return the termination of a process without a shutdown."""
        return Disturbance(kind=EventKind.KILL, place=node)

    def restart(self, node: NodePlace) -> Disturbance:
        """Return the restart of a VM's process."""
        return Disturbance(kind=EventKind.RESTART, place=node)

    def replace(self, node: NodePlace) -> Disturbance:
        """Return the replacement of a VM, whose old process, paused or not, goes on."""
        return Disturbance(kind=EventKind.REPLACE, place=node)

    def pause(self, node: NodePlace, time_ms: int) -> Disturbance:
        """Return a pause of a process."""
        return Disturbance(kind=EventKind.PAUSE, place=node, number=time_ms)

    def stop(self, node: NodePlace) -> Disturbance:
        """Return a graceful shutdown."""
        return Disturbance(kind=EventKind.STOP, place=node)

    def leave(self, name: str) -> Disturbance:
        """Return the publication of an endpoint as leaving."""
        return Disturbance(kind=EventKind.LEAVE, place=EndpointPlace(name))

    def drain(self, name: str) -> Disturbance:
        """Return the drain of a failure domain."""
        return Disturbance(kind=EventKind.DRAIN, place=DomainPlace(name))

    def return_(self, name: str) -> Disturbance:
        """Return the end of a failure domain's drain."""
        return Disturbance(kind=EventKind.RETURN, place=DomainPlace(name))

    def service(self, state: str) -> Disturbance:
        """Return a change of the configuration service's state."""
        return Disturbance(kind=EventKind.SERVICE, word=state)

    def publish(self) -> Disturbance:
        """Return the publication of an invalid configuration."""
        return Disturbance(kind=EventKind.PUBLISH)

    def crash(self, name: str) -> Disturbance:
        """Return a crash of an endpoint."""
        return Disturbance(kind=EventKind.CRASH, place=EndpointPlace(name))

    def cold(self, name: str, *silently: str) -> Disturbance:
        """Return a cold start of an endpoint."""
        return Disturbance(kind=EventKind.COLD, place=EndpointPlace(name), word="".join(silently))

    def silently(self) -> str:
        """Return the qualifier for an endpoint that keeps reporting itself as warm."""
        return "silently"

    def slow(self, name: str, factor: Token) -> Disturbance:
        """Return a slowdown of an endpoint by a factor."""
        return Disturbance(kind=EventKind.SLOW, place=EndpointPlace(name), number=int(factor))

    def links(self, percent: Token) -> Disturbance:
        """Return the loss of a percentage of the datagrams between VMs."""
        return Disturbance(kind=EventKind.LINKS, number=int(percent))


@v_args(inline=True)
class StepTransformer(_EventRules):
    """All rules; those of the expectations are defined here."""

    @v_args(inline=True, meta=True)
    def expectation(self, meta: Any, fields: dict[str, Any]) -> Claim:
        """Return an expectation with its line in the file."""
        text = f"line {meta.line}: {fields['kind']}"
        return Claim(line=meta.line, text=text, **fields)

    def once(self, name: str) -> dict[str, Any]:
        """Expect that no request of a class ran twice."""
        return {"kind": ClaimKind.ONCE, "class_name": name}

    def answered(self, name: str) -> dict[str, Any]:
        """Expect that every request of a class completed."""
        return {"kind": ClaimKind.ANSWERED, "class_name": name}

    def attainment(self, name: str, percent: Token) -> dict[str, Any]:
        """Expect a minimum attainment of a class, in percent."""
        return {"kind": ClaimKind.ATTAINMENT, "class_name": name, "number": int(percent)}

    def outcomes(self, bound: str, number: Token, name: str, outcome: str) -> dict[str, Any]:
        """Expect a bound on the number of a class's requests with an outcome."""
        return {
            "kind": ClaimKind.OUTCOMES,
            "word": bound,
            "number": int(number),
            "class_name": name,
            "outcome": outcome,
        }

    def window(self, after_ms: int, *until_ms: int) -> dict[str, Any]:
        """Return the window of an expectation; without an end, it lasts to the end of the run."""
        return {"after_ms": after_ms, "until_ms": until_ms[0] if until_ms else None}

    def no_sends(self, place: Place, window: dict[str, Any]) -> dict[str, Any]:
        """Expect that no request is sent to a place within a window."""
        return {"kind": ClaimKind.NO_SENDS, "place": place, **window}

    def sends(self, place: Place, window: dict[str, Any]) -> dict[str, Any]:
        """Expect that a request is sent to a place within a window."""
        return {"kind": ClaimKind.SENDS, "place": place, **window}

    def no_excess(self) -> dict[str, Any]:
        """Expect that no cold endpoint exceeds its cold limit."""
        return {"kind": ClaimKind.NO_EXCESS}

    def crashes(self, bound: str, number: Token) -> dict[str, Any]:
        """Expect a bound on the number of crashes of all endpoints."""
        return {"kind": ClaimKind.CRASHES, "word": bound, "number": int(number)}

    def in_force(self, number: Token, time_ms: int) -> dict[str, Any]:
        """Expect that all live nodes have applied a configuration by a time."""
        return {"kind": ClaimKind.IN_FORCE, "number": int(number), "until_ms": time_ms}

    def not_cut(self) -> dict[str, Any]:
        """Expect that no answer in progress is cut off."""
        return {"kind": ClaimKind.NOT_CUT}

    def shed_order(self, name: str, other_name: str) -> dict[str, Any]:
        """Expect that a class is not refused while requests of a lower one still start."""
        return {"kind": ClaimKind.SHED_ORDER, "class_name": name, "other_class": other_name}
