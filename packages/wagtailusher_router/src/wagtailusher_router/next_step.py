"""Decision on what follows an attempt that ended without a complete answer."""

from __future__ import annotations

from enum import StrEnum

from wagtailusher_placement import AttemptResult
from wagtailusher_router.const import MAX_RESUMES
from wagtailusher_router.tracked_requests import Phase, TrackedRequest

_RESUMED = frozenset({AttemptResult.SILENT, AttemptResult.BROKEN})
"""Results after which the endpoint may still hold the answer."""


class NextStep(StrEnum):
    """The next steps after a failed attempt."""

    RETRY_ELSEWHERE = "retry_elsewhere"
    RESUME = "resume"
    GIVE_UP = "give_up"


def next_step(tracked: TrackedRequest, result: AttemptResult, *, resumable: bool) -> NextStep:
    """Return the next step; `resumable` means that the endpoint can resume the answer.

    A request whose first byte was never sent may always be retried at another endpoint. One that
    may not be repeated is never sent twice. A repeatable one is retried elsewhere until the caller
    has received a part of the answer; after that only the same endpoint can resume it.
    """
    if tracked.send_rejected:
        return NextStep.GIVE_UP
    if tracked.phase is not Phase.SENT:
        return _retry_if_attempts_left(tracked)
    if result in _RESUMED and resumable and tracked.resume_count < MAX_RESUMES:
        return NextStep.RESUME
    if not tracked.may_repeat or tracked.relayed_events:
        return NextStep.GIVE_UP
    return _retry_if_attempts_left(tracked)


def _retry_if_attempts_left(tracked: TrackedRequest) -> NextStep:
    """Return a retry unless the class's attempts are used up."""
    if tracked.attempt >= tracked.classified.policy.max_attempts:
        return NextStep.GIVE_UP
    return NextStep.RETRY_ELSEWHERE
