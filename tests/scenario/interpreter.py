"""Runs a scenario in virtual time and returns its violations and failed expectations."""

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
    Disturbance,
    DomainPlace,
    EndpointPlace,
    EventKind,
    NodePlace,
    Place,
    Scenario,
    SendStep,
)
from tests.wagtailusher_once.schedules.faults import Fault
from wagtailusher_bench.fakes import FakeEngine
from wagtailusher_placement import EndpointState

WARM_UP_MS = 15_000
TAIL_MS = 30_000


@dataclass(slots=True)
class ScenarioResult:
    """Result of a run: violated invariants and failed expectations, and the fleet's records."""

    problems: list[str]
    fleet: Fleet


def run_scenario(scenario: Scenario, *, fault: Fault = Fault.NONE) -> ScenarioResult:
    """Run a scenario; the invariants of all scenarios are checked along with its expectations."""
    return _ScenarioRun(scenario, fault).run()


class _ScenarioRun:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, fault: Fault) -> None:
        """Start the fleet, with an injected fault if one is given."""
        self._scenario = scenario
        self._fleet = Fleet(scenario, fault)
        self._classes = {spec.name: spec for spec in scenario.classes}
        self._drained_domains: set[str] = set()
        self._handlers: dict[EventKind, Callable[[Disturbance], None]] = {
            EventKind.CUT: self._cut_link,
            EventKind.HEAL: lambda _: self._fleet.links.heal(),
            EventKind.KILL: lambda event: self._find_node(event).terminate(),
            EventKind.RESTART: lambda event: self._fleet.restart(_node_number(event)),
            EventKind.REPLACE: lambda event: self._fleet.replace(_node_number(event)),
            EventKind.PAUSE: lambda event: self._find_node(event).pause(event.number),
            EventKind.STOP: lambda event: self._find_node(event).stop(),
            EventKind.LEAVE: self._remove_endpoint,
            EventKind.DRAIN: self._drain_domain,
            EventKind.RETURN: self._return_domain,
            EventKind.SERVICE: self._set_service_state,
            EventKind.PUBLISH: lambda _: _discard(self._fleet.service.publish(b"{")),
            EventKind.CRASH: lambda event: self._find_engine(event).crash(),
            EventKind.COLD: lambda event: self._find_engine(event).begin_cold_start(
                reports_cold=not event.word
            ),
            EventKind.SLOW: lambda event: self._find_engine(event).set_slowness(event.number),
            EventKind.LINKS: self._set_loss_percent,
        }

    def run(self) -> ScenarioResult:
        """Run to the end and check the expectations."""
        scenario = self._scenario
        fleet = self._fleet
        for timed in scenario.events:
            event = timed.event
            if isinstance(event, SendStep):
                self._schedule_calls(WARM_UP_MS + timed.at_ms, event)
            else:
                self._schedule_disturbance(WARM_UP_MS + timed.at_ms, event)
        last_ms = max((timed.at_ms for timed in scenario.events), default=0)
        duration_ms = scenario.duration_ms or last_ms + TAIL_MS
        fleet.clock.run_until(WARM_UP_MS + duration_ms)
        problems = list(fleet.violations)
        problems.extend(
            problem
            for claim in scenario.claims
            if (problem := check_claim(claim, fleet, WARM_UP_MS)) is not None
        )
        return ScenarioResult(problems, fleet)

    def _schedule_disturbance(self, at_ms: int, event: Disturbance) -> None:
        """Schedule a disturbance at a time."""
        self._fleet.clock.call_later(at_ms, lambda: self._handlers[event.kind](event))

    def _schedule_calls(self, at_ms: int, send: SendStep) -> None:
        """Schedule the start of the callers."""
        for number in range(send.count):
            start_ms = at_ms + number * send.every_ms
            first_node = number if send.node is None else send.node - 1
            self._fleet.clock.call_later(
                start_ms, lambda first_node=first_node: self._start_call(send, first_node)  # type: ignore[misc]
            )

    def _start_call(self, send: SendStep, first_node: int) -> None:
        """Start one call; crashing requests of a class share one body, and thus a fingerprint."""
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

    def _find_node(self, event: Disturbance) -> EntryNode:
        """Return the node of an event."""
        return self._fleet.nodes[_node_number(event) - 1]

    def _find_engine(self, event: Disturbance) -> FakeEngine:
        """Return the fake engine of an event's endpoint."""
        assert isinstance(event.place, EndpointPlace)
        return self._fleet.endpoints[event.place.name].engine

    def _cut_link(self, event: Disturbance) -> None:
        """Cut the link of an event's two places."""
        assert event.place is not None
        assert event.other_place is not None
        self._fleet.links.cut(self._place_name(event.place), self._place_name(event.other_place))

    def _place_name(self, place: Place) -> str:
        """Return a place's name on the links."""
        if isinstance(place, NodePlace):
            return self._fleet.nodes[place.number - 1].vm_id
        return place.name

    def _remove_endpoint(self, event: Disturbance) -> None:
        """Publish an endpoint as leaving."""
        assert isinstance(event.place, EndpointPlace)
        self._fleet.endpoints[event.place.name].state = EndpointState.LEAVING

    def _drain_domain(self, event: Disturbance) -> None:
        """Publish a configuration that drains a failure domain."""
        assert isinstance(event.place, DomainPlace)
        self._drained_domains.add(event.place.name)
        self._fleet.service.publish(encode_configuration(self._drained_domains))

    def _return_domain(self, event: Disturbance) -> None:
        """Publish a configuration that no longer drains a failure domain."""
        assert isinstance(event.place, DomainPlace)
        self._drained_domains.discard(event.place.name)
        self._fleet.service.publish(encode_configuration(self._drained_domains))

    def _set_service_state(self, event: Disturbance) -> None:
        """Change the configuration service's state."""
        self._fleet.service.state = event.word

    def _set_loss_percent(self, event: Disturbance) -> None:
        """Change the percentage of lost datagrams."""
        self._fleet.links.loss_percent = event.number


def _node_number(event: Disturbance) -> int:
    """Return the number of an event's node."""
    assert isinstance(event.place, NodePlace)
    return event.place.number


def _discard(_: object) -> None:
    """Ignore a result, so that a handler returns None."""
