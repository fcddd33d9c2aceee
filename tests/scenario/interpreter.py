"""Runs a scenario in virtual time and returns what did not hold."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tests.scenario.caller import Caller
from tests.scenario.calls import Call
from tests.scenario.claims import check_claim
from tests.scenario.fleet import Fleet
from tests.scenario.node import EntryNode
from tests.scenario.platform import encode_configuration
from tests.scenario.steps import (
    Disturb,
    DomainPlace,
    EndpointPlace,
    EventKind,
    NodePlace,
    Place,
    Scenario,
    Send,
)
from tests.wagtailusher_once.schedules.faults import Fault
from wagtailusher_bench.fakes import FakeEngine
from wagtailusher_placement import EndpointState

WARM_UP_MS = 15_000
TAIL_MS = 30_000


@dataclass(slots=True)
class Result:
    """What a run showed."""

    problems: list[str]
    fleet: Fleet


def run_scenario(scenario: Scenario, *, fault: Fault = Fault.NONE) -> Result:
    """Run a scenario; the promises that always hold are checked without being asked for."""
    return _Run(scenario, fault).run()


class _Run:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, fault: Fault) -> None:
        """Start the fleet, perhaps with a planted fault."""
        self._scenario = scenario
        self._fleet = Fleet(scenario, fault)
        self._classes = {spec.name: spec for spec in scenario.classes}
        self._drained: set[str] = set()
        self._handlers: dict[EventKind, Callable[[Disturb], None]] = {
            EventKind.CUT: self._cut,
            EventKind.HEAL: lambda _: self._fleet.links.heal(),
            EventKind.KILL: lambda event: self._node(event).die(),
            EventKind.RESTART: lambda event: self._fleet.restart(_number(event)),
            EventKind.REPLACE: lambda event: self._fleet.replace(_number(event)),
            EventKind.PAUSE: lambda event: self._node(event).pause(event.number),
            EventKind.STOP: lambda event: self._node(event).stop(),
            EventKind.LEAVE: self._remove,
            EventKind.DRAIN: self._drain,
            EventKind.RETURN: self._return,
            EventKind.SERVICE: self._set_service,
            EventKind.PUBLISH: lambda _: _ignore(self._fleet.service.publish(b"{")),
            EventKind.CRASH: lambda event: self._engine(event).crash(),
            EventKind.COLD: lambda event: self._engine(event).begin_cold_start(
                reports_cold=not event.word
            ),
            EventKind.SLOW: lambda event: self._engine(event).set_slowness(event.number),
            EventKind.LINKS: self._set_loss,
        }

    def run(self) -> Result:
        """Run to the end and check."""
        scenario = self._scenario
        fleet = self._fleet
        for timed in scenario.events:
            event = timed.event
            if isinstance(event, Send):
                self._schedule_calls(WARM_UP_MS + timed.at_ms, event)
            else:
                self._schedule(WARM_UP_MS + timed.at_ms, event)
        last_ms = max((timed.at_ms for timed in scenario.events), default=0)
        duration_ms = scenario.duration_ms or last_ms + TAIL_MS
        fleet.clock.run_until(WARM_UP_MS + duration_ms)
        problems = list(fleet.violations)
        problems.extend(
            problem
            for claim in scenario.claims
            if (problem := check_claim(claim, fleet, WARM_UP_MS)) is not None
        )
        return Result(problems, fleet)

    def _schedule(self, at_ms: int, event: Disturb) -> None:
        """Let something happen at a time."""
        self._fleet.clock.call_later(at_ms, lambda: self._handlers[event.kind](event))

    def _schedule_calls(self, at_ms: int, send: Send) -> None:
        """Let callers start at their times."""
        for number in range(send.count):
            start_ms = at_ms + number * send.every_ms
            first_node = number if send.node is None else send.node - 1
            self._fleet.clock.call_later(
                start_ms, lambda first_node=first_node: self._start_call(send, first_node)  # type: ignore[misc]
            )

    def _start_call(self, send: Send, first_node: int) -> None:
        """Start one call; requests that crash endpoints are all of one body."""
        fleet = self._fleet
        call_id = f"{send.class_name}-{len(fleet.calls) + 1}"
        body = f"{send.class_name} crashes" if send.crashing else call_id
        call = Call(
            call_id=call_id,
            spec=self._classes[send.class_name],
            sent_ms=fleet.clock.time_ms,
            body=body.encode(),
            crashing=send.crashing,
        )
        fleet.calls.append(call)
        caller = Caller(
            fleet, call, first_node=first_node, by_key=send.by_key, repeating=send.repeating
        )
        caller.start()

    def _node(self, event: Disturb) -> EntryNode:
        """Return the node of an event."""
        return self._fleet.numbered[_number(event) - 1]

    def _engine(self, event: Disturb) -> FakeEngine:
        """Return the fake of an event's endpoint."""
        assert isinstance(event.place, EndpointPlace)
        return self._fleet.endpoints[event.place.name].engine

    def _cut(self, event: Disturb) -> None:
        """Part two places."""
        assert event.place is not None
        assert event.other is not None
        self._fleet.links.cut(self._place_name(event.place), self._place_name(event.other))

    def _place_name(self, place: Place) -> str:
        """Return the name of a place on the links."""
        if isinstance(place, NodePlace):
            return self._fleet.numbered[place.number - 1].vm_id
        return place.name

    def _remove(self, event: Disturb) -> None:
        """Publish an endpoint as leaving."""
        assert isinstance(event.place, EndpointPlace)
        self._fleet.endpoints[event.place.name].state = EndpointState.LEAVING

    def _drain(self, event: Disturb) -> None:
        """Publish a configuration without a failure domain."""
        assert isinstance(event.place, DomainPlace)
        self._drained.add(event.place.name)
        self._fleet.service.publish(encode_configuration(self._drained))

    def _return(self, event: Disturb) -> None:
        """Publish a configuration with a failure domain again."""
        assert isinstance(event.place, DomainPlace)
        self._drained.discard(event.place.name)
        self._fleet.service.publish(encode_configuration(self._drained))

    def _set_service(self, event: Disturb) -> None:
        """Change the configuration service's state."""
        self._fleet.service.state = event.word

    def _set_loss(self, event: Disturb) -> None:
        """Change the share of lost datagrams."""
        self._fleet.links.lost_percent = event.number


def _number(event: Disturb) -> int:
    """Return the number of an event's node."""
    assert isinstance(event.place, NodePlace)
    return event.place.number


def _ignore(_: object) -> None:
    """Drop a result."""
