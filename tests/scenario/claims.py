"""Checks of what a scenario expects."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import islice

from tests.scenario.calls import Call, SendRecord
from tests.scenario.fleet import Fleet
from tests.scenario.steps import Claim, ClaimKind, DomainPlace, EndpointPlace, NodePlace, Place
from wagtailusher_core import Outcome

SHOWN = 5
_OUTCOMES = {
    "completed": Outcome.COMPLETED,
    "unknown": Outcome.UNKNOWN,
    "refused": Outcome.NOT_RUN,
}


def check_claim(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Return how an expectation fails, or None when it holds."""
    problem = _CHECKS[claim.kind](claim, fleet, start_ms)
    return None if problem is None else f"line {claim.line}: {problem}"


def _calls(claim: Claim, fleet: Fleet) -> list[Call]:
    """Return the calls of a claim's class."""
    return [call for call in fleet.calls if call.spec.name == claim.class_name]


def _check_once(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no call of a class ran twice."""
    twice = [call.call_id for call in _calls(claim, fleet) if call.runs > 1]
    return f"ran twice: {_some(twice)}" if twice else None


def _check_answered(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that every call of a class completed."""
    others = [
        f"{call.call_id} ({call.outcome}, {call.code})"
        for call in _calls(claim, fleet)
        if call.outcome is not Outcome.COMPLETED
    ]
    return f"did not complete: {_some(others)}" if others else None


def _check_attainment(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check the share of a class's calls that met their target."""
    calls = _calls(claim, fleet)
    if not calls:
        return f"nothing of {claim.class_name} was sent"
    percent = 100 * sum(call.is_on_target for call in calls) / len(calls)
    if percent >= claim.number:
        return None
    return f"attainment of {claim.class_name} is {percent:.1f} percent"


def _check_outcomes(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check how many calls of a class ended in one way."""
    wanted = _OUTCOMES[claim.outcome]
    count = sum(call.outcome is wanted for call in _calls(claim, fleet))
    return _compare(claim, count, f"{claim.class_name} {claim.outcome}")


def _check_no_sends(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that a place got no new work in a time."""
    sends = list(islice(_sends(claim, fleet, start_ms), SHOWN))
    if not sends:
        return None
    shown = ", ".join(f"{send.endpoint} at {send.at_ms - start_ms:.0f} ms" for send in sends)
    return f"new work for {shown}"


def _check_sends(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that a place got work in a time."""
    if next(_sends(claim, fleet, start_ms), None) is None:
        return f"no work for {claim.place}"
    return None


def _check_no_excess(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no cold endpoint got more than it bears."""
    over = [
        f"{name} by {endpoint.engine.cold_excess}"
        for name, endpoint in fleet.endpoints.items()
        if endpoint.engine.cold_excess
    ]
    return f"overloaded while cold: {_some(over)}" if over else None


def _check_crashes(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check the number of crashes."""
    count = sum(endpoint.engine.crash_count for endpoint in fleet.endpoints.values())
    return _compare(claim, count, "crashes")


def _check_in_force(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that each live node had a configuration in force by a time."""
    end_ms = start_ms + (claim.until_ms or 0)
    reached = {
        vm_id
        for at_ms, vm_id, revision in fleet.applied
        if at_ms <= end_ms and revision.number >= claim.number
    }
    missing = [node.vm_id for node in fleet.live_nodes() if node.vm_id not in reached]
    return f"not in force at {_some(missing)}" if missing else None


def _check_not_cut(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no caller lost an answer."""
    return f"{fleet.cut_off} answers were cut off" if fleet.cut_off else None


def _check_shed_order(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that a class isn't refused before another starts for the last time."""
    refused = [
        call.ended_ms
        for call in _calls(claim, fleet)
        if call.outcome is Outcome.NOT_RUN and call.ended_ms is not None
    ]
    starts = [send.at_ms for send in fleet.sends if send.class_name == claim.other_class]
    if not refused or not starts or min(refused) > max(starts):
        return None
    return f"{len(refused)} of {claim.class_name} refused, {claim.other_class} went on"


_CHECKS = {
    ClaimKind.ONCE: _check_once,
    ClaimKind.ANSWERED: _check_answered,
    ClaimKind.ATTAINMENT: _check_attainment,
    ClaimKind.OUTCOMES: _check_outcomes,
    ClaimKind.NO_SENDS: _check_no_sends,
    ClaimKind.SENDS: _check_sends,
    ClaimKind.NO_EXCESS: _check_no_excess,
    ClaimKind.CRASHES: _check_crashes,
    ClaimKind.IN_FORCE: _check_in_force,
    ClaimKind.NOT_CUT: _check_not_cut,
    ClaimKind.SHED_ORDER: _check_shed_order,
}


def _sends(claim: Claim, fleet: Fleet, start_ms: float) -> Iterator[SendRecord]:
    """Yield the sends to a claim's place within its time."""
    end_ms = float("inf") if claim.until_ms is None else start_ms + claim.until_ms
    for send in fleet.sends:
        if start_ms + claim.after_ms <= send.at_ms < end_ms and _is_at(send, claim.place, fleet):
            yield send


def _is_at(send: SendRecord, place: Place | None, fleet: Fleet) -> bool:
    """Return whether work was sent to a place, or by a node."""
    if isinstance(place, DomainPlace):
        return send.domain == place.name
    if isinstance(place, EndpointPlace):
        return send.endpoint == place.name
    if isinstance(place, NodePlace):
        return send.node_id == fleet.numbered[place.number - 1].vm_id
    return False


def _compare(claim: Claim, count: int, what: str) -> str | None:
    """Return how a count misses a claim's bound."""
    holds = count >= claim.number if claim.word == "least" else count <= claim.number
    return None if holds else f"{count} {what}, expected at {claim.word} {claim.number}"


def _some(names: Sequence[str]) -> str:
    """Return the first names, and how many there are."""
    shown = ", ".join(names[:SHOWN])
    return shown if len(names) <= SHOWN else f"{shown} and {len(names) - SHOWN} more"
