"""A node of the schedules: the production deciders behind unreliable links."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from hashlib import sha256
from typing import TYPE_CHECKING

from tests.wagtailusher_once.schedules.faults import Fault, make_decider
from tests.wagtailusher_once.schedules.messages import Attempt, Reply, Work
from tests.wagtailusher_once.schedules.world import Process
from wagtailusher_core import ErrorCode, Incarnation, Outcome, PublishedVm, VmId, WorkspaceId
from wagtailusher_once import (
    AlreadyRefused,
    AnswerEvicted,
    BodyConflict,
    ForwardTo,
    InProgress,
    OnceError,
    OutcomeUnknown,
    Replay,
    RunHere,
    StoredAnswer,
    Submission,
    TicketIssuer,
)

if TYPE_CHECKING:
    from tests.wagtailusher_once.schedules.schedule import Schedule

Answer = Callable[[Reply], None]

WORKSPACE = WorkspaceId("w")
SECRET = b"fleet"
WALL_BASE_MS = 1_700_000_000_000
FORWARD_TIMEOUT_MS = 3_000
LIST_READ_DELAYS_MS = (0, 200, 550)
ANSWER_TIMEOUT_MS = 4_000
QUEUED_MS = (0, 400)


class Node(Process):
    """One incarnation of a VM."""

    def __init__(self, schedule: Schedule, vm_id: VmId, incarnation: Incarnation) -> None:
        """Start without any state of earlier incarnations."""
        super().__init__(schedule.world)
        self.schedule = schedule
        self.vm_id = vm_id
        self.clock_offset_ms = self.world.rng.randint(0, 1_000_000)
        half_skew_ms = schedule.limits.max_clock_skew_ms // 2
        self.wall_offset_ms = self.world.rng.randint(-half_skew_ms, half_skew_ms)
        max_lag_ms = schedule.limits.max_list_lag_ms
        self.list_lag_ms = self.world.rng.choice((0, max_lag_ms // 2, max_lag_ms))
        self.list_delay_ms = self.world.rng.choice(LIST_READ_DELAYS_MS)
        self.published: tuple[PublishedVm, ...] = ()
        self.published_observed_ms: int | None = None
        self.ticket_issuer = TicketIssuer(
            vm_id=vm_id,
            incarnation=incarnation,
            secret=SECRET,
            lifetime_ms=schedule.conditions.ticket_lifetime_ms,
            max_clock_skew_ms=schedule.limits.max_clock_skew_ms,
            draw_nonce=lambda: f"{self.world.rng.getrandbits(64):x}",
        )
        self.decider = make_decider(
            schedule.fault, vm_id=vm_id, incarnation=incarnation, limits=schedule.limits
        )

    @property
    def now_ms(self) -> int:
        """Return this process's monotonic time."""
        return self.world.now_ms + self.clock_offset_ms

    @property
    def now_wall_ms(self) -> int:
        """Return this VM's wall time."""
        return WALL_BASE_MS + self.world.now_ms + self.wall_offset_ms

    def observe(self, vms: tuple[PublishedVm, ...], read_ms: int) -> None:
        """Observe the platform's list, which was read at read_ms of the world's time."""
        observed_ms = read_ms + self.clock_offset_ms
        self.decider.update_published(vms, self.now_ms, observed_ms=observed_ms)
        if self.published_observed_ms is None or observed_ms > self.published_observed_ms:
            self.published = vms
            self.published_observed_ms = observed_ms

    def receive(self, attempt: Attempt, answer: Answer) -> None:
        """Handle an attempt that a caller or a peer sent."""
        try:
            submission = self._submit(attempt)
        except OnceError as err:
            is_not_run = err.code is ErrorCode.TICKET_INVALID
            answer(_reply(attempt, Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN))
            return
        if isinstance(submission, ForwardTo):
            self._forward(attempt, submission, answer)
        elif isinstance(submission, RunHere):
            self._queue(attempt, submission.ticket_id, answer)
        else:
            answer(_immediate_reply(attempt, submission))

    def _submit(self, attempt: Attempt) -> Submission:
        """Submit an attempt to the decider."""
        digest = sha256(attempt.body).digest()
        if attempt.successor is not None or not attempt.is_key:
            ticket = self.ticket_issuer.verify(
                attempt.successor or attempt.handle, self.now_wall_ms
            )
            return self.decider.submit(ticket, digest, self.now_ms)
        return self.decider.submit_key(
            WORKSPACE,
            attempt.handle,
            digest,
            self.published,
            self.now_ms,
            now_wall_ms=self.now_wall_ms,
            first_sent_wall_ms=attempt.first_sent_wall_ms,
            first_attempt=attempt.first_attempt,
            published_observed_ms=self.published_observed_ms,
        )

    def _forward(self, attempt: Attempt, target: ForwardTo, answer: Answer) -> None:
        """Forward an attempt to its home, and return the home's reply."""
        if target.ticket is not None:
            attempt = replace(attempt, successor=target.ticket)
        answered: list[bool] = []

        def answer_once(reply: Reply) -> None:
            if not answered:
                answered.append(True)
                answer(reply)

        def reply_back(reply: Reply) -> None:
            self.world.send(
                target.home_id, self.vm_id, lambda: self.run(lambda: answer_once(reply))
            )

        def deliver() -> None:
            home = self.schedule.nodes.get(target.home_id)
            if home is not None:
                home.run(lambda: home.receive(attempt, reply_back))

        self.world.send(
            self.vm_id, target.home_id, deliver, may_duplicate=not attempt.first_attempt
        )
        self.step(FORWARD_TIMEOUT_MS, lambda: answer_once(_reply(attempt, Outcome.UNKNOWN)))

    def _queue(self, attempt: Attempt, ticket_id: str, answer: Answer) -> None:
        """Queue an accepted request for a random time, then refuse, hand over or dispatch it."""
        rng = self.world.rng
        if rng.random() < self.schedule.conditions.refused_share:
            self.step(rng.randint(*QUEUED_MS), lambda: self._refuse(attempt, ticket_id, answer))
        if rng.random() < self.schedule.conditions.refused_share:
            self.step(rng.randint(*QUEUED_MS), lambda: self._refuse(attempt, ticket_id, answer))
            return
        if rng.random() < self.schedule.conditions.handed_over_share:
            self._request_successor(attempt, ticket_id, answer)
        self.step(rng.randint(*QUEUED_MS), lambda: self._dispatch(attempt, ticket_id, answer))

    def _request_successor(self, attempt: Attempt, ticket_id: str, answer: Answer) -> None:
        """Request a ticket from another node and hand the request over to it."""
        others = [vm_id for vm_id in self.schedule.nodes if vm_id != self.vm_id]
        if not others:
            return
        peer = self.schedule.nodes[self.world.rng.choice(others)]

        def issue_ticket() -> None:
            successor = ForwardTo(
                home_id=peer.vm_id, ticket=peer.ticket_issuer.issue(peer.now_wall_ms)
            )
            self.world.send(
                peer.vm_id,
                self.vm_id,
                lambda: self.run(lambda: self._hand_over(attempt, ticket_id, successor, answer)),
            )

        self.world.send(self.vm_id, peer.vm_id, lambda: peer.run(issue_ticket))

    def _hand_over(
        self, attempt: Attempt, ticket_id: str, successor: ForwardTo, answer: Answer
    ) -> None:
        """Forward a request if the decider can still hand it over."""
        if self.decider.hand_over(ticket_id, successor, self.now_ms):
            self._forward(attempt, successor, answer)

    def _refuse(self, attempt: Attempt, ticket_id: str, answer: Answer) -> None:
        """Refuse a request if the decider can still do so."""
        if self.decider.refuse(ticket_id, self.now_ms):
            answer(_reply(attempt, Outcome.NOT_RUN))

    def _dispatch(self, attempt: Attempt, ticket_id: str, answer: Answer) -> None:
        """Record the dispatch, then send; a pause may occur in between."""
        gap_ms = self.world.delay_ms()
        if self.schedule.fault is Fault.DISPATCH_AFTER_SEND:
            self._send(attempt, ticket_id, answer)
            self.step(
                gap_ms, lambda: _discard_result(self.decider.dispatch(ticket_id, self.now_ms))
            )
            return
        if self.decider.dispatch(ticket_id, self.now_ms):
            self.step(gap_ms, lambda: self._send_checked(attempt, ticket_id, answer))
            return
        outcome = Outcome.NOT_RUN
        if not self.decider.refuse(ticket_id, self.now_ms):
            outcome = Outcome.UNKNOWN
        answer(_reply(attempt, outcome))

    def _send_checked(self, attempt: Attempt, ticket_id: str, answer: Answer) -> None:
        """Send if the request hasn't expired; otherwise the outcome stays unknown."""
        if self.decider.may_send(ticket_id, self.now_ms):
            self._send(attempt, ticket_id, answer)
            return
        self._fail(attempt, ticket_id, answer)

    def _send(self, attempt: Attempt, ticket_id: str, answer: Answer) -> None:
        """Send the request to the endpoint and wait for its answer."""
        work = Work(handle=attempt.handle, booking=attempt.booking, body=attempt.body)

        def reply_back(body: bytes, is_complete: bool) -> None:
            if is_complete:
                self.run(lambda: self._complete(attempt, ticket_id, body, answer))
            else:
                self.run(lambda: self._fail(attempt, ticket_id, answer))

        self.schedule.endpoint.send(self.vm_id, work, reply_back)
        self.step(ANSWER_TIMEOUT_MS, lambda: self._fail(attempt, ticket_id, answer))

    def _complete(self, attempt: Attempt, ticket_id: str, body: bytes, answer: Answer) -> None:
        """Store the complete answer and reply with it."""
        self.decider.complete(ticket_id, StoredAnswer(status=200, body=body), self.now_ms)
        answer(_reply(attempt, Outcome.COMPLETED, body))

    def _fail(self, attempt: Attempt, ticket_id: str, answer: Answer) -> None:
        """Record that the outcome is unknown and reply with it."""
        self.decider.fail(ticket_id, self.now_ms)
        answer(_reply(attempt, Outcome.UNKNOWN))


def _discard_result(_: bool) -> None:
    """Drop a result."""


def _reply(attempt: Attempt, outcome: Outcome | None, answer: bytes = b"") -> Reply:
    """Return the reply to an attempt."""
    return Reply(number=attempt.number, handle=attempt.handle, outcome=outcome, answer=answer)


_OUTCOMES: Mapping[type[Submission], Outcome | None] = {
    InProgress: None,
    BodyConflict: None,
    AlreadyRefused: Outcome.NOT_RUN,
}


def _immediate_reply(attempt: Attempt, submission: Submission) -> Reply:
    """Return the reply to an attempt that isn't forwarded or run."""
    if isinstance(submission, Replay):
        return _reply(attempt, Outcome.COMPLETED, submission.answer.body)
    if isinstance(submission, AnswerEvicted):
        return Reply(
            number=attempt.number,
            handle=attempt.handle,
            outcome=Outcome.COMPLETED,
            is_evicted=True,
        )
    if isinstance(submission, OutcomeUnknown):
        return Reply(
            number=attempt.number,
            handle=attempt.handle,
            outcome=Outcome.UNKNOWN,
            is_home_gone=submission.code is ErrorCode.HOME_GONE,
        )
    return _reply(attempt, _OUTCOMES[type(submission)])
