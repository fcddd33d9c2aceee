"""Checks of a scenario's expectations against the records of its run."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import islice

from tests.scenario.calls import Call, SendRecord
from tests.scenario.fleet import Fleet
from tests.scenario.steps import Claim, ClaimKind, DomainPlace, EndpointPlace, NodePlace, Place
from wagtailusher_core import Outcome

MAX_SHOWN = 5
_OUTCOMES = {
    "completed": Outcome.COMPLETED,
    "unknown": Outcome.UNKNOWN,
    "refused": Outcome.NOT_RUN,
}


def check_claim(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Return a description of how an expectation fails, or None if it holds."""
    problem = _CHECKS[claim.kind](claim, fleet, start_ms)
    return None if problem is None else f"line {claim.line}: {problem}"


def _calls_of_class(claim: Claim, fleet: Fleet) -> list[Call]:
    """Return the calls of a claim's class."""
    return [call for call in fleet.calls if call.spec.name == claim.class_name]


def _check_once(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no call of a class ran twice."""
    run_twice = [call.call_id for call in _calls_of_class(claim, fleet) if call.execution_count > 1]
    return f"ran twice: {_summarize(run_twice)}" if run_twice else None


def _check_answered(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that every call of a class completed."""
    not_completed = [
        f"{call.call_id} ({call.outcome}, {call.code})"
        for call in _calls_of_class(claim, fleet)
        if call.outcome is not Outcome.COMPLETED
    ]
    return f"did not complete: {_summarize(not_completed)}" if not_completed else None


def _check_attainment(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check the percentage of a class's calls that met their target."""
    calls = _calls_of_class(claim, fleet)
    if not calls:
        return f"no request of class {claim.class_name} was sent"
    percent = 100 * sum(call.is_on_target for call in calls) / len(calls)
    if percent >= claim.number:
        return None
    return f"attainment of {claim.class_name} is {percent:.1f} percent"


def _check_outcomes(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check the number of a class's calls with an outcome."""
    expected_outcome = _OUTCOMES[claim.outcome]
    count = sum(call.outcome is expected_outcome for call in _calls_of_class(claim, fleet))
    return _check_bound(claim, count, f"{claim.class_name} {claim.outcome}")


def _check_no_sends(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no request was sent to a place within the claim's window."""
    sends = list(islice(_sends_in_window(claim, fleet, start_ms), MAX_SHOWN))
    if not sends:
        return None
    shown = ", ".join(f"{send.endpoint} at {send.at_ms - start_ms:.0f} ms" for send in sends)
    return f"requests sent to {shown}"


def _check_sends(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that a request was sent to a place within the claim's window."""
    if next(_sends_in_window(claim, fleet, start_ms), None) is None:
        return f"no request sent to {claim.place}"
    return None


def _check_no_excess(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no cold endpoint exceeded its cold limit."""
    overloaded = [
        f"{name} by {endpoint.engine.cold_excess}"
        for name, endpoint in fleet.endpoints.items()
        if endpoint.engine.cold_excess
    ]
    return f"overloaded while cold: {_summarize(overloaded)}" if overloaded else None


def _check_crashes(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check the number of crashes of all endpoints."""
    count = sum(endpoint.engine.crash_count for endpoint in fleet.endpoints.values())
    return _check_bound(claim, count, "crashes")


def _check_in_force(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that each live node applied a configuration or a newer one by the claim's time."""
    end_ms = start_ms + (claim.until_ms or 0)
    reached_vm_ids = {
        vm_id
        for at_ms, vm_id, revision in fleet.applied_revisions
        if at_ms <= end_ms and revision.number >= claim.number
    }
    missing_vm_ids = [node.vm_id for node in fleet.live_nodes() if node.vm_id not in reached_vm_ids]
    return f"not in force at {_summarize(missing_vm_ids)}" if missing_vm_ids else None


def _check_not_cut(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no caller got a reply with an unknown outcome."""
    return f"{fleet.cut_off_count} answers were cut off" if fleet.cut_off_count else None


def _check_shed_order(claim: Claim, fleet: Fleet, start_ms: float) -> str | None:
    """Check that no call of a class is refused before the last send of the other class."""
    refused = [
        call.ended_ms
        for call in _calls_of_class(claim, fleet)
        if call.outcome is Outcome.NOT_RUN and call.ended_ms is not None
    ]
    starts = [send.at_ms for send in fleet.sends if send.class_name == claim.other_class]
    if not refused or not starts or min(refused) > max(starts):
        return None
    return f"{len(refused)} of {claim.class_name} refused while {claim.other_class} still started"


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


def _sends_in_window(claim: Claim, fleet: Fleet, start_ms: float) -> Iterator[SendRecord]:
    """Yield the sends to a claim's place within its window."""
    end_ms = float("inf") if claim.until_ms is None else start_ms + claim.until_ms
    for send in fleet.sends:
        if start_ms + claim.after_ms <= send.at_ms < end_ms and _matches_place(
            send, claim.place, fleet
        ):
            yield send


def _matches_place(send: SendRecord, place: Place | None, fleet: Fleet) -> bool:
    """Return whether a request was sent to a failure domain or endpoint, or by a node."""
    if isinstance(place, DomainPlace):
        return send.domain == place.name
    if isinstance(place, EndpointPlace):
        return send.endpoint == place.name
    if isinstance(place, NodePlace):
        return send.node_id == fleet.nodes[place.number - 1].vm_id
    return False


def _check_bound(claim: Claim, count: int, description: str) -> str | None:
    """Return how a count violates a claim's bound, or None if it doesn't."""
    holds = count >= claim.number if claim.word == "least" else count <= claim.number
    return None if holds else f"{count} {description}, expected at {claim.word} {claim.number}"


def _summarize(names: Sequence[str]) -> str:
    """Return the first names, and the number of those not shown."""
    shown = ", ".join(names[:MAX_SHOWN])
    return shown if len(names) <= MAX_SHOWN else f"{shown} and {len(names) - MAX_SHOWN} more"
