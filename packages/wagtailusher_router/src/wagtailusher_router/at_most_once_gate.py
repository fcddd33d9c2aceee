"""At-most-once check of requests that may not be repeated, before they are queued."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome, PublishedVm, RequestId
from wagtailusher_once import (
    AlreadyRefused,
    AnswerEvicted,
    BodyConflict,
    ForwardTo,
    InProgress,
    OnceDecider,
    OutcomeUnknown,
    Replay,
    RunHere,
    StoredAnswer,
    Submission,
)
from wagtailusher_router.actions import Action, Forward, ForwardReason, Refuse, ReplayAnswer
from wagtailusher_router.classified_request import ClassifiedRequest
from wagtailusher_router.const import DEFAULT_RETRY_AFTER_MS, MAX_HOPS
from wagtailusher_router.tracked_requests import TrackedRequest


class AtMostOnceGate:
    """Admits a request once, and answers its repeats."""

    def __init__(self, once: OnceDecider) -> None:
        self._once = once
        self._published: tuple[PublishedVm, ...] = ()
        self._published_at_ms = 0
        self._leaders: dict[str, TrackedRequest] = {}

    def update_published(self, published: tuple[PublishedVm, ...], now_ms: int) -> None:
        """Replace the published list of entry VMs."""
        self._published = published
        self._published_at_ms = now_ms
        self._once.update_published(published, now_ms, observed_ms=now_ms)

    def submit(self, tracked: TrackedRequest, now_ms: int) -> tuple[Action, ...] | None:
        """Return the actions that answer a request, or None when it has to be queued here.

        A repeat of a request in progress becomes its follower and gets no action yet.
        """
        submission = self._submit(tracked.classified, now_ms)
        if submission is None:
            return (_refuse(tracked.request_id, ErrorCode.TICKET_REQUIRED, Outcome.NOT_RUN),)
        if isinstance(submission, RunHere):
            tracked.ticket_id = submission.ticket_id
            self._leaders[submission.ticket_id] = tracked
            return None
        if isinstance(submission, InProgress):
            return self._add_follower(tracked, submission)
        return (_action_for(tracked.classified, submission),)

    def _submit(self, classified: ClassifiedRequest, now_ms: int) -> Submission | None:
        """Return the at-most-once decider's result, or None without a ticket or key."""
        if classified.ticket is not None:
            return self._once.submit(classified.ticket, classified.body_digest, now_ms)
        if classified.idempotency_key is None:
            return None
        return self._once.submit_key(
            classified.policy.key.workspace_id,
            classified.idempotency_key,
            classified.body_digest,
            self._published,
            now_ms,
            now_wall_ms=classified.now_wall_ms,
            first_sent_wall_ms=classified.first_sent_wall_ms,
            published_observed_ms=self._published_at_ms,
        )

    def _add_follower(self, tracked: TrackedRequest, submission: InProgress) -> tuple[Action, ...]:
        """Make a repeat wait for the answer of the request in progress."""
        leader = self._leaders.get(submission.ticket_id)
        if leader is not None:
            leader.followers.append(tracked.request_id)
            return ()
        return (
            _refuse(
                tracked.request_id, ErrorCode.IN_PROGRESS, Outcome.UNKNOWN, DEFAULT_RETRY_AFTER_MS
            ),
        )

    def leaders(self) -> tuple[TrackedRequest, ...]:
        """Return the requests that only this node may run."""
        return tuple(self._leaders.values())

    def hand_over(self, tracked: TrackedRequest, successor: ForwardTo, now_ms: int) -> bool:
        """Transfer the right to run permanently; return whether that succeeded."""
        ticket_id = tracked.ticket_id
        if ticket_id is None or not self._once.hand_over(ticket_id, successor, now_ms):
            return False
        self._leaders.pop(ticket_id, None)
        return True

    def remove_follower(self, request_id: RequestId) -> None:
        """Remove a repeat whose caller left."""
        for leader in self._leaders.values():
            if request_id in leader.followers:
                leader.followers.remove(request_id)
                return

    def dispatch(self, ticket_id: str, now_ms: int) -> bool:
        """Return whether the request may be sent; at most one call returns True."""
        return self._once.dispatch(ticket_id, now_ms)

    def complete(self, ticket_id: str, answer: StoredAnswer, now_ms: int) -> None:
        """Store the complete answer for repeats."""
        self._leaders.pop(ticket_id, None)
        self._once.complete(ticket_id, answer, now_ms)

    def end_without_answer(self, tracked: TrackedRequest, code: ErrorCode, now_ms: int) -> None:
        """Record the end of a request that got no answer."""
        ticket_id = tracked.ticket_id
        if ticket_id is None:
            return
        self._leaders.pop(ticket_id, None)
        if tracked.was_sent:
            self._once.fail(ticket_id, now_ms)
        else:
            self._once.refuse(ticket_id, now_ms, code)

    def expire(self, now_ms: int) -> None:
        """Remove records that no caller can use any more."""
        self._once.expire(now_ms)


def _action_for(
    classified: ClassifiedRequest,
    submission: ForwardTo | Replay | AnswerEvicted | OutcomeUnknown | BodyConflict | AlreadyRefused,
) -> Action:
    """Return the action for a request that does not run here."""
    request_id = classified.request_id
    if isinstance(submission, Replay):
        return ReplayAnswer(request_id=request_id, answer=submission.answer)
    if isinstance(submission, ForwardTo):
        if classified.hop_count >= MAX_HOPS:
            return _refuse(request_id, ErrorCode.HOME_GONE, Outcome.UNKNOWN)
        return Forward(
            request_id=request_id,
            vm_id=submission.home_id,
            reason=ForwardReason.HOME,
            ticket=submission.ticket,
        )
    if isinstance(submission, AnswerEvicted):
        return _refuse(request_id, ErrorCode.ANSWER_NOT_KEPT, Outcome.COMPLETED)
    if isinstance(submission, OutcomeUnknown):
        return _refuse(request_id, submission.code, Outcome.UNKNOWN)
    retry_after_ms = submission.retry_after_ms if isinstance(submission, AlreadyRefused) else None
    return _refuse(request_id, submission.code, Outcome.NOT_RUN, retry_after_ms or None)


def _refuse(
    request_id: RequestId, code: ErrorCode, outcome: Outcome, retry_after_ms: int | None = None
) -> Refuse:
    return Refuse(request_id=request_id, code=code, outcome=outcome, retry_after_ms=retry_after_ms)
