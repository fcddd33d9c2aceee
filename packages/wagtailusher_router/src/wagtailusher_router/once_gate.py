"""The way of requests that may not be repeated through the at-most-once decider."""

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
from wagtailusher_router.flights import Flight


class OnceGate:
    """Lets a request pass once, and answers its repeats."""

    def __init__(self, once: OnceDecider) -> None:
        """Start without requests."""
        self._once = once
        self._published: tuple[PublishedVm, ...] = ()
        self._published_at_ms = 0
        self._leaders: dict[str, Flight] = {}

    def update_published(self, published: tuple[PublishedVm, ...], now_ms: int) -> None:
        """Take over the published list of entry VMs."""
        self._published = published
        self._published_at_ms = now_ms
        self._once.update_published(published, now_ms, observed_ms=now_ms)

    def submit(self, flight: Flight, now_ms: int) -> tuple[Action, ...] | None:
        """Return what a request is answered, or None when it is to be queued here."""
        submission = self._decide(flight.arrival, now_ms)
        if submission is None:
            return (_refuse(flight.request_id, ErrorCode.TICKET_REQUIRED, Outcome.NOT_RUN),)
        if isinstance(submission, RunHere):
            flight.ticket_id = submission.ticket_id
            self._leaders[submission.ticket_id] = flight
            return None
        if isinstance(submission, InProgress):
            return self._follow(flight, submission)
        return (_answer(flight.arrival, submission),)

    def _decide(self, arrival: ClassifiedRequest, now_ms: int) -> Submission | None:
        """Return the at-most-once decider's word, or None without a ticket or key."""
        if arrival.ticket is not None:
            return self._once.submit(arrival.ticket, arrival.body_digest, now_ms)
        if arrival.idempotency_key is None:
            return None
        return self._once.submit_key(
            arrival.policy.key.workspace_id,
            arrival.idempotency_key,
            arrival.body_digest,
            self._published,
            now_ms,
            now_wall_ms=arrival.now_wall_ms,
            first_sent_wall_ms=arrival.first_sent_wall_ms,
            published_observed_ms=self._published_at_ms,
        )

    def _follow(self, flight: Flight, submission: InProgress) -> tuple[Action, ...]:
        """Let a repeat wait for the attempt in progress."""
        leader = self._leaders.get(submission.ticket_id)
        if leader is not None:
            leader.followers.append(flight.request_id)
            return ()
        return (
            _refuse(
                flight.request_id, ErrorCode.IN_PROGRESS, Outcome.UNKNOWN, DEFAULT_RETRY_AFTER_MS
            ),
        )

    def leaders(self) -> tuple[Flight, ...]:
        """Return the requests that this node alone may run."""
        return tuple(self._leaders.values())

    def hand_over(self, flight: Flight, successor: ForwardTo, now_ms: int) -> bool:
        """Give the right to run away for good; return whether that could be done."""
        ticket_id = flight.ticket_id
        if ticket_id is None or not self._once.hand_over(ticket_id, successor, now_ms):
            return False
        self._leaders.pop(ticket_id, None)
        return True

    def unfollow(self, request_id: RequestId) -> None:
        """Forget a repeat whose caller left."""
        for leader in self._leaders.values():
            if request_id in leader.followers:
                leader.followers.remove(request_id)
                return

    def dispatch(self, ticket_id: str, now_ms: int) -> bool:
        """Return True once, when the request may be sent."""
        return self._once.dispatch(ticket_id, now_ms)

    def complete(self, ticket_id: str, answer: StoredAnswer, now_ms: int) -> None:
        """Keep the whole answer for repeats."""
        self._leaders.pop(ticket_id, None)
        self._once.complete(ticket_id, answer, now_ms)

    def end_without_answer(self, flight: Flight, code: ErrorCode, now_ms: int) -> None:
        """Record how a request ended that got no answer."""
        ticket_id = flight.ticket_id
        if ticket_id is None:
            return
        self._leaders.pop(ticket_id, None)
        if flight.ever_sent:
            self._once.fail(ticket_id, now_ms)
        else:
            self._once.refuse(ticket_id, now_ms, code)

    def expire(self, now_ms: int) -> None:
        """Drop records that no caller can use any more."""
        self._once.expire(now_ms)


def _answer(
    arrival: ClassifiedRequest,
    submission: ForwardTo | Replay | AnswerEvicted | OutcomeUnknown | BodyConflict | AlreadyRefused,
) -> Action:
    """Return the answer to a request that does not run here."""
    request_id = arrival.request_id
    if isinstance(submission, Replay):
        return ReplayAnswer(request_id=request_id, answer=submission.answer)
    if isinstance(submission, ForwardTo):
        if arrival.hop_count >= MAX_HOPS:
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
    """Return a refusal."""
    return Refuse(request_id=request_id, code=code, outcome=outcome, retry_after_ms=retry_after_ms)
