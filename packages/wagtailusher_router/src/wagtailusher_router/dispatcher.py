"""Starts queued requests within the credits, and ends those that get no answer."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import islice

from wagtailusher_admission import AdmissionDecider, Refusal
from wagtailusher_core import ErrorCode, PoolId, RequestId, VmId
from wagtailusher_placement import (
    AttemptResult,
    Choice,
    PlacementDecider,
    PlacementRequest,
    RetryBudget,
)
from wagtailusher_router.actions import Action, Dispatch, Forward, ForwardReason, Refuse
from wagtailusher_router.at_most_once_gate import AtMostOnceGate
from wagtailusher_router.const import (
    DEFAULT_RETRY_AFTER_MS,
    MAX_HANDOVERS_PER_TICK,
    MAX_QUEUE_HEAD_SKIPS,
)
from wagtailusher_router.crash_isolation import CrashIsolation
from wagtailusher_router.errors import UnknownRequestIdError
from wagtailusher_router.handover import Handover
from wagtailusher_router.next_step import NextStep, next_step
from wagtailusher_router.request_conversion import build_dispatch, placement_request
from wagtailusher_router.tracked_requests import Phase, TrackedRequest

_USABLE_AGAIN = frozenset({AttemptResult.CANCELLED, AttemptResult.CLOSED})
"""Results after which the same endpoint may get the request again."""


class Dispatcher:
    """Tracks a node's requests and moves them between the queue, endpoints and peers."""

    def __init__(
        self,
        *,
        admission: AdmissionDecider,
        placement: PlacementDecider,
        gate: AtMostOnceGate,
        crash_isolation: CrashIsolation,
        handover: Handover,
    ) -> None:
        self._admission = admission
        self._placement = placement
        self._gate = gate
        self._crash_isolation = crash_isolation
        self._handover = handover
        self._retries = RetryBudget()
        self.tracked_requests: dict[RequestId, TrackedRequest] = {}
        self.resumable: frozenset[str] = frozenset()

    def get_request(self, request_id: RequestId) -> TrackedRequest:
        """Return a held request; raise UnknownRequestIdError for an unknown id."""
        tracked = self.tracked_requests.get(request_id)
        if tracked is None:
            raise UnknownRequestIdError(f"request {request_id} is not held")
        return tracked

    def add_request(self, tracked: TrackedRequest, now_ms: int) -> Iterator[Action]:
        """Track a request and enqueue it; yield the actions for refusals that this causes."""
        self.tracked_requests[tracked.request_id] = tracked
        yield from self.refuse_all(self._admission.enqueue(tracked.pending, now_ms), now_ms)

    def dispatch_all_pools(self, now_ms: int) -> Iterator[Action]:
        """Start the requests that may start, in every pool."""
        for pool_id in self._admission.active_pools():
            yield from self.dispatch_pool(pool_id, now_ms)

    def dispatch_pool(self, pool_id: PoolId, now_ms: int) -> Iterator[Action]:
        """Start requests in order of service while an endpoint can accept them."""
        while True:
            placed = self._place_next(pool_id, now_ms)
            if not placed:
                return
            yield from placed

    def _place_next(self, pool_id: PoolId, now_ms: int) -> tuple[Action, ...]:
        """Start the first request that an endpoint can accept.

        A request that can't start is skipped only if it excludes endpoints.
        """
        for skips, pending in enumerate(self._admission.startable_requests(pool_id, now_ms)):
            tracked = self.tracked_requests[pending.request_id]
            fingerprint = tracked.classified.fingerprint
            if self._crash_isolation.is_rejected(fingerprint, now_ms):
                self._admission.withdraw(tracked.request_id, now_ms)
                return self.refuse(tracked, ErrorCode.QUARANTINED, now_ms)
            self._allow_crashed(tracked)
            request = placement_request(
                tracked, self._crash_isolation.excluded_endpoints(fingerprint, now_ms)
            )
            choice = self._placement.choose(request, now_ms)
            if choice is not None:
                return (self._start(tracked, choice, request, now_ms),)
            refusal = self._refuse_unwanted(tracked, now_ms)
            if refusal or not request.excluded or skips >= MAX_QUEUE_HEAD_SKIPS:
                return refusal
        return ()

    def _allow_crashed(self, tracked: TrackedRequest) -> None:
        """Allow the endpoints that crashed under a request again once there are no others.

        They get it when they are back, as a crash voids their leases.
        """
        if not tracked.crashed:
            return
        if tracked.excluded.issuperset(self._placement.in_service_ids(tracked.pending.pool_id)):
            tracked.excluded -= tracked.crashed
            tracked.crashed = frozenset()

    def _refuse_unwanted(self, tracked: TrackedRequest, now_ms: int) -> tuple[Action, ...]:
        """Refuse a request that no endpoint wants in the time for which it may wait."""
        availability = self._placement.availability
        endpoint_ids = self._placement.in_service_ids(tracked.pending.pool_id)
        if availability.is_empty or not endpoint_ids:
            return ()
        wait_ms = availability.shortest_wait_ms(endpoint_ids, now_ms)
        if wait_ms is not None and now_ms + wait_ms <= tracked.pending.deadline_ms:
            return ()
        self._admission.withdraw(tracked.request_id, now_ms)
        if wait_ms is None:
            return self.refuse(tracked, ErrorCode.NO_ENDPOINT, now_ms, DEFAULT_RETRY_AFTER_MS)
        return self.refuse(tracked, ErrorCode.QUEUE_FULL, now_ms, wait_ms)

    def _start(
        self, tracked: TrackedRequest, choice: Choice, request: PlacementRequest, now_ms: int
    ) -> Dispatch:
        """Start a queued request at its chosen endpoint."""
        self._admission.start(tracked.request_id, now_ms)
        self._placement.start_request(choice, request, now_ms)
        if tracked.attempt == 0:
            self._retries.record_first_attempt()
        tracked.attempt += 1
        tracked.phase = Phase.DISPATCHED
        tracked.choice = choice
        self._crash_isolation.record_start(tracked)
        return build_dispatch(tracked, choice, resume=False)

    def hand_over_waiting(self, now_ms: int) -> Iterator[Action]:
        """Hand over the first requests of pools for which this node has no credits."""
        for pool_id in self._admission.active_pools():
            next_pending = islice(
                self._admission.startable_requests(pool_id, now_ms), MAX_HANDOVERS_PER_TICK
            )
            for pending in tuple(next_pending):
                tracked = self.tracked_requests[pending.request_id]
                peer_id = self._handover.peer_for_waiting(tracked, now_ms)
                if peer_id is None:
                    break
                self._admission.withdraw(tracked.request_id, now_ms)
                yield self._forward(tracked, peer_id)

    def _forward(self, tracked: TrackedRequest, vm_id: VmId) -> Forward:
        """Stop tracking a request and return the action that forwards it to a peer."""
        del self.tracked_requests[tracked.request_id]
        return Forward(request_id=tracked.request_id, vm_id=vm_id, reason=ForwardReason.CREDITS)

    def retry(
        self, tracked: TrackedRequest, result: AttemptResult, now_ms: int
    ) -> Iterator[Action]:
        """Requeue a request for another endpoint."""
        if tracked.choice is not None and result not in _USABLE_AGAIN:
            tracked.excluded |= {tracked.choice.endpoint_id}
            if result is AttemptResult.CRASHED:
                tracked.crashed |= {tracked.choice.endpoint_id}
        tracked.needs_new_connection = result is AttemptResult.CLOSED
        if tracked.phase is Phase.DISPATCHED:
            tracked.attempt -= result is AttemptResult.CANCELLED
        tracked.choice = None
        tracked.phase = Phase.QUEUED
        yield from self.refuse_all(self._admission.requeue(tracked.pending, now_ms), now_ms)

    def give_up(self, tracked: TrackedRequest, code: ErrorCode, now_ms: int) -> Iterator[Action]:
        """End a started request without an answer."""
        self._admission.finish(tracked.request_id, now_ms)
        retry_after_ms = self._crash_isolation.retry_after_ms(tracked, now_ms)
        yield from self.refuse(tracked, code, now_ms, retry_after_ms)

    def refuse_all(self, refusals: Iterable[Refusal], now_ms: int) -> Iterator[Action]:
        """Convert admission's refusals into actions: a forward to a peer or a refusal."""
        for refusal in refusals:
            tracked = self.tracked_requests[refusal.request_id]
            peer_id = self._handover.peer_for_refused(tracked, refusal.code, now_ms)
            if peer_id is not None:
                yield self._forward(tracked, peer_id)
                continue
            yield from self.refuse(tracked, refusal.code, now_ms, refusal.retry_after_ms)

    def refuse(
        self,
        tracked: TrackedRequest,
        code: ErrorCode,
        now_ms: int,
        retry_after_ms: int | None = None,
    ) -> tuple[Action, ...]:
        """Stop tracking a request; return the refusals for it and its followers."""
        self.tracked_requests.pop(tracked.request_id, None)
        if tracked.ticket_id is not None:
            self._gate.end_without_answer(tracked, code, now_ms)
        return tuple(
            Refuse(
                request_id=request_id,
                code=code,
                outcome=tracked.outcome,
                retry_after_ms=retry_after_ms,
            )
            for request_id in (tracked.request_id, *tracked.followers)
        )

    def next_step(self, tracked: TrackedRequest, choice: Choice, result: AttemptResult) -> NextStep:
        """Return the next step; sending a request again spends from the retry budget."""
        resumable = tracked.classified.resumable and choice.endpoint_id in self.resumable
        step = next_step(tracked, result, resumable=resumable)
        is_costly = step is NextStep.RETRY_ELSEWHERE and tracked.phase is Phase.SENT
        if is_costly and not self._retries.try_spend():
            return NextStep.GIVE_UP
        return step
