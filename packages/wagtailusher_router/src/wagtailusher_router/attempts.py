"""What follows when an attempt ends without a whole answer."""

from __future__ import annotations

from enum import StrEnum

from wagtailusher_placement import AttemptResult
from wagtailusher_router.const import MAX_RESUMES
from wagtailusher_router.flights import Flight, Phase


class NextStep(StrEnum):
    """The ways on after a failed attempt."""

    RETRY_ELSEWHERE = "retry_elsewhere"
    RESUME = "resume"
    GIVE_UP = "give_up"


def next_step(flight: Flight, end: AttemptResult, *, resumable: bool) -> NextStep:
    """Return the way on; `resumable` tells whether the answer can be resumed.

    A request whose first byte never left may always go elsewhere. One that may not be repeated
    is never sent twice. A repeatable one goes elsewhere while the caller has seen nothing of
    the answer; after that only the same endpoint can carry the answer on.
    """
    if flight.is_barred:
        return NextStep.GIVE_UP
    if flight.phase is not Phase.SENT:
        return _retry_if_attempts_left(flight)
    if end is AttemptResult.SILENT and resumable and flight.resumes < MAX_RESUMES:
        return NextStep.RESUME
    if not flight.may_repeat or flight.relayed_events:
        return NextStep.GIVE_UP
    return _retry_if_attempts_left(flight)


def _retry_if_attempts_left(flight: Flight) -> NextStep:
    """Return a retry while the class's attempts last."""
    if flight.attempt >= flight.arrival.policy.max_attempts:
        return NextStep.GIVE_UP
    return NextStep.RETRY_ELSEWHERE
