"""The owner of the router's decider: hands events in and messages out to their tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from wagtailusher_core import RequestId, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.load_watch import LoadWatch
from wagtailusher_once import ForwardTo, StoredAnswer
from wagtailusher_placement import AttemptResult, LeaseGrant, LeaseRecall, LeaseRequest, LoadReport
from wagtailusher_router import (
    Action,
    Cancel,
    ClassifiedRequest,
    Dispatch,
    HandoverCandidate,
    PeerAction,
    RequestAction,
    RouterDecider,
)

RequestMessage = RequestAction | HandoverCandidate
Mailbox = asyncio.Queue[RequestMessage]


class RouterNode:
    """Owns the decider; each request's task has a mailbox here."""

    def __init__(
        self,
        decider: RouterDecider,
        *,
        send_peer: Callable[[PeerAction], None],
        cancel: Callable[[Cancel], None],
        loads: LoadWatch,
    ) -> None:
        """Own a decider; peer messages and cancellations go to the given functions."""
        self._loads = loads
        self.decider = decider
        self._send_peer = send_peer
        self._cancel = cancel
        self._mailboxes: dict[RequestId, Mailbox] = {}

    @property
    def held_count(self) -> int:
        """Return the number of requests whose tasks are at work."""
        return len(self._mailboxes)

    @callback
    def submit(self, arrival: ClassifiedRequest) -> Mailbox:
        """Hand a request in and return the mailbox in which its messages arrive."""
        mailbox: Mailbox = asyncio.Queue()
        self._mailboxes[arrival.request_id] = mailbox
        self.apply(self.decider.submit(arrival, monotonic_ms()))
        return mailbox

    @callback
    def close(self, request_id: RequestId) -> None:
        """Forget a request's mailbox; its task is done."""
        self._mailboxes.pop(request_id, None)

    @callback
    def may_send(self, request_id: RequestId) -> bool:
        """Tell whether a request may go out, right before its first byte."""
        return self.decider.may_send(request_id, monotonic_ms())

    @callback
    def record_first_token(self, request_id: RequestId) -> None:
        """Note the beginning of an answer."""
        self.decider.record_first_token(request_id, monotonic_ms())

    @callback
    def record_progress(self, request_id: RequestId, events: int) -> None:
        """Note events that were relayed."""
        self.decider.record_progress(request_id, events, monotonic_ms())

    @callback
    def handle_completion(self, request_id: RequestId, answer: StoredAnswer | None = None) -> None:
        """Note a whole answer."""
        self.apply(self.decider.handle_completion(request_id, answer, monotonic_ms()))

    @callback
    def handle_attempt_failure(self, request_id: RequestId, end: AttemptResult) -> None:
        """Note that an attempt failed; what follows arrives in the mailbox."""
        self.apply(self.decider.handle_attempt_failure(request_id, end, monotonic_ms()))

    @callback
    def handle_caller_disconnect(self, request_id: RequestId) -> None:
        """Note that the caller left."""
        self.apply(self.decider.handle_caller_disconnect(request_id, monotonic_ms()))

    @callback
    def observe_reports(self, reports: Iterable[LoadReport]) -> None:
        """Hand load reports in."""
        for report in reports:
            self._loads.observe(report, monotonic_ms())
            self.apply(self.decider.observe_report(report, monotonic_ms()))

    @callback
    def handle_lease_request(self, request: LeaseRequest) -> None:
        """Hand another node's lease request in."""
        self.apply(self.decider.handle_lease_request(request, monotonic_ms()))

    @callback
    def handle_lease_grant(self, grant: LeaseGrant) -> None:
        """Hand a steward's grant in."""
        self.apply(self.decider.handle_lease_grant(grant, monotonic_ms()))

    @callback
    def handle_lease_recall(self, recall: LeaseRecall) -> None:
        """Hand a steward's recall in."""
        self.decider.handle_lease_recall(recall, monotonic_ms())

    @callback
    def tick(self) -> None:
        """Let the decider see the time."""
        now_ms = monotonic_ms()
        self.apply(self.decider.tick(now_ms))
        for stranded in self.decider.find_handover_candidates(now_ms):
            self._deliver(stranded)

    @callback
    def hand_over(self, request_id: RequestId, successor: ForwardTo) -> None:
        """Give the right to run a request to a peer."""
        self.apply(self.decider.hand_over(request_id, successor, monotonic_ms()))

    @callback
    def apply(self, actions: Iterable[Action]) -> None:
        """Pass the decider's actions on."""
        for action in actions:
            if isinstance(action, PeerAction):
                self._send_peer(action)
            elif isinstance(action, Cancel):
                self._cancel(action)
            else:
                self._deliver(action)

    @callback
    def _deliver(self, message: RequestMessage) -> None:
        """Put a message into a request's mailbox."""
        mailbox = self._mailboxes.get(message.request_id)
        if mailbox is not None:
            mailbox.put_nowait(message)
        elif isinstance(message, Dispatch):
            self.handle_attempt_failure(message.request_id, AttemptResult.CANCELLED)
