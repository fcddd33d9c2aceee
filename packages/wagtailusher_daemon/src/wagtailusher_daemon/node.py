"""Passes events to the router decider, and its actions to request tasks, peers and engines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from wagtailusher_core import EndpointId, RequestId, callback
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.load_reports import LoadReportCache
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
MessageQueue = asyncio.Queue[RequestMessage]


class RouterNode:
    """Owns the router decider and one message queue for each request's task."""

    def __init__(
        self,
        decider: RouterDecider,
        *,
        send_peer: Callable[[PeerAction], None],
        cancel: Callable[[Cancel], None],
        load_reports: LoadReportCache,
    ) -> None:
        """Wrap a decider; `send_peer` and `cancel` execute its actions that concern no task."""
        self._load_reports = load_reports
        self.decider = decider
        self._send_peer = send_peer
        self._cancel = cancel
        self._message_queues: dict[RequestId, MessageQueue] = {}

    @property
    def held_count(self) -> int:
        """Return the number of requests whose tasks are running."""
        return len(self._message_queues)

    @callback
    def submit(self, arrival: ClassifiedRequest) -> MessageQueue:
        """Submit a request and return the queue of its messages."""
        message_queue: MessageQueue = asyncio.Queue()
        self._message_queues[arrival.request_id] = message_queue
        self.apply(self.decider.submit(arrival, monotonic_ms()))
        return message_queue

    @callback
    def remove(self, request_id: RequestId) -> None:
        """Remove a request's message queue when its task is done."""
        self._message_queues.pop(request_id, None)

    @callback
    def may_send(self, request_id: RequestId) -> bool:
        """Return whether a request may still be sent; called right before its first byte."""
        return self.decider.may_send(request_id, monotonic_ms())

    @callback
    def record_first_token(self, request_id: RequestId) -> None:
        """Record the first token of an answer."""
        self.decider.record_first_token(request_id, monotonic_ms())

    @callback
    def record_heard(self, request_id: RequestId) -> None:
        """Record that bytes of an answer arrived."""
        self.decider.record_heard(request_id, monotonic_ms())

    @callback
    def record_progress(self, request_id: RequestId, events: int) -> None:
        """Record a number of relayed events."""
        self.decider.record_progress(request_id, events, monotonic_ms())

    @callback
    def handle_completion(self, request_id: RequestId, answer: StoredAnswer | None = None) -> None:
        """Handle a complete answer, which is stored when given."""
        self.apply(self.decider.handle_completion(request_id, answer, monotonic_ms()))

    @callback
    def handle_attempt_failure(self, request_id: RequestId, result: AttemptResult) -> None:
        """Handle a failed attempt; the next step arrives in the message queue."""
        self.apply(self.decider.handle_attempt_failure(request_id, result, monotonic_ms()))

    @callback
    def handle_caller_disconnect(self, request_id: RequestId) -> None:
        """Handle the caller's disconnect."""
        self.apply(self.decider.handle_caller_disconnect(request_id, monotonic_ms()))

    @callback
    def observe_reports(self, reports: Iterable[LoadReport]) -> None:
        """Store load reports and pass them to the decider."""
        for report in reports:
            self._load_reports.record(report, monotonic_ms())
            self.apply(self.decider.observe_report(report, monotonic_ms()))

    @callback
    def observe_refused_connection(self, endpoint_id: EndpointId) -> None:
        """Process an endpoint's refusal of a connection."""
        self.apply(self.decider.observe_refused_connection(endpoint_id, monotonic_ms()))

    @callback
    def observe_unreachable(self, endpoint_id: EndpointId) -> None:
        """Process an endpoint that did not accept a request's connection."""
        self.decider.observe_unreachable(endpoint_id, monotonic_ms())

    @callback
    def begin_doubt(self, endpoint_id: EndpointId) -> bool:
        """Send nothing to an endpoint that may have restarted; return whether to poll it."""
        return self.decider.begin_doubt(endpoint_id, monotonic_ms())

    @callback
    def end_doubt(self, endpoint_id: EndpointId) -> None:
        """Continue sending to an endpoint as far as its state allows."""
        self.apply(self.decider.end_doubt(endpoint_id, monotonic_ms()))

    @callback
    def handle_lease_request(self, request: LeaseRequest) -> None:
        """Process another VM's lease request."""
        self.apply(self.decider.handle_lease_request(request, monotonic_ms()))

    @callback
    def handle_lease_grant(self, grant: LeaseGrant) -> None:
        """Process a steward's grant."""
        self.apply(self.decider.handle_lease_grant(grant, monotonic_ms()))

    @callback
    def handle_lease_recall(self, recall: LeaseRecall) -> None:
        """Process a steward's recall."""
        self.decider.handle_lease_recall(recall, monotonic_ms())

    @callback
    def tick(self) -> None:
        """Run the decider's periodic work and deliver handover candidates to their tasks."""
        now_ms = monotonic_ms()
        self.apply(self.decider.tick(now_ms))
        for candidate in self.decider.find_handover_candidates(now_ms):
            self._deliver(candidate)

    @callback
    def hand_over(self, request_id: RequestId, successor: ForwardTo) -> None:
        """Hand over the right to run a request to a peer."""
        self.apply(self.decider.hand_over(request_id, successor, monotonic_ms()))

    @callback
    def apply(self, actions: Iterable[Action]) -> None:
        """Execute the decider's actions."""
        for action in actions:
            if isinstance(action, PeerAction):
                self._send_peer(action)
            elif isinstance(action, Cancel):
                self._cancel(action)
            else:
                self._deliver(action)

    @callback
    def _deliver(self, message: RequestMessage) -> None:
        """Put a message into a request's queue; without a queue, cancel a dispatch."""
        message_queue = self._message_queues.get(message.request_id)
        if message_queue is not None:
            message_queue.put_nowait(message)
        elif isinstance(message, Dispatch):
            self.handle_attempt_failure(message.request_id, AttemptResult.CANCELLED)
