"""Starts queued requests where credits allow, and ends those that get no answer."""

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
from wagtailusher_router.attempts import NextStep, next_step
from wagtailusher_router.const import MAX_HANDOVERS_PER_TICK, MAX_HEAD_SKIPS
from wagtailusher_router.errors import UnknownRequestIdError
from wagtailusher_router.flights import Flight, Phase
from wagtailusher_router.handover import Handover
from wagtailusher_router.once_gate import OnceGate
from wagtailusher_router.requests import dispatch_of, placement_request
from wagtailusher_router.suspicion import Suspicion


class Dispatcher:
    """Holds the requests of a node and moves them between queue, endpoints and peers."""

    def __init__(
        self,
        *,
        admission: AdmissionDecider,
        placement: PlacementDecider,
        gate: OnceGate,
        suspicion: Suspicion,
        handover: Handover,
    ) -> None:
        """Start without requests."""
        self._admission = admission
        self._placement = placement
        self._gate = gate
        self._suspicion = suspicion
        self._handover = handover
        self._retries = RetryBudget()
        self.flights: dict[RequestId, Flight] = {}
        self.resumable: frozenset[str] = frozenset()

    def flight(self, request_id: RequestId) -> Flight:
        """Return a held request."""
        flight = self.flights.get(request_id)
        if flight is None:
            raise UnknownRequestIdError(f"request {request_id} is not held")
        return flight

    def queue(self, flight: Flight, now_ms: int) -> Iterator[Action]:
        """Hold a request and queue it; yield the refusals that this causes."""
        self.flights[flight.request_id] = flight
        yield from self.refuse_all(self._admission.enqueue(flight.pending, now_ms), now_ms)

    def pump_all(self, now_ms: int) -> Iterator[Action]:
        """Start what may start in every pool."""
        for pool_id in self._admission.active_pools():
            yield from self.pump(pool_id, now_ms)

    def pump(self, pool_id: PoolId, now_ms: int) -> Iterator[Action]:
        """Start requests in order of service while an endpoint takes them."""
        while True:
            placed = self._place_next(pool_id, now_ms)
            if not placed:
                return
            yield from placed

    def _place_next(self, pool_id: PoolId, now_ms: int) -> tuple[Action, ...]:
        """Start the first request that an endpoint takes; only picky ones may be skipped."""
        for skips, pending in enumerate(self._admission.startable_requests(pool_id, now_ms)):
            flight = self.flights[pending.request_id]
            fingerprint = flight.arrival.fingerprint
            if self._suspicion.must_not_start(fingerprint, now_ms):
                self._admission.withdraw(flight.request_id, now_ms)
                return self.drop(flight, ErrorCode.QUARANTINED, now_ms)
            request = placement_request(flight, self._suspicion.excluded(fingerprint, now_ms))
            choice = self._placement.choose(request, now_ms)
            if choice is not None:
                return (self._start(flight, choice, request, now_ms),)
            if not request.excluded or skips >= MAX_HEAD_SKIPS:
                return ()
        return ()

    def _start(
        self, flight: Flight, choice: Choice, request: PlacementRequest, now_ms: int
    ) -> Dispatch:
        """Take a queued request into service."""
        self._admission.start(flight.request_id, now_ms)
        self._placement.start_request(choice, request, now_ms)
        if flight.attempt == 0:
            self._retries.record_first_attempt()
        flight.attempt += 1
        flight.phase = Phase.DISPATCHED
        flight.choice = choice
        self._suspicion.started(flight)
        return dispatch_of(flight, choice, resume=False)

    def hand_over_waiting(self, now_ms: int) -> Iterator[Action]:
        """Hand over what waits at the head of a pool that this node may not use."""
        for pool_id in self._admission.active_pools():
            heads = islice(
                self._admission.startable_requests(pool_id, now_ms), MAX_HANDOVERS_PER_TICK
            )
            for pending in tuple(heads):
                flight = self.flights[pending.request_id]
                peer_id = self._handover.peer_instead_of_waiting(flight, now_ms)
                if peer_id is None:
                    break
                self._admission.withdraw(flight.request_id, now_ms)
                yield self._forward(flight, peer_id)

    def _forward(self, flight: Flight, vm_id: VmId) -> Forward:
        """Forget a request that a peer takes over."""
        del self.flights[flight.request_id]
        return Forward(request_id=flight.request_id, vm_id=vm_id, reason=ForwardReason.CREDITS)

    def retry(self, flight: Flight, end: AttemptResult, now_ms: int) -> Iterator[Action]:
        """Queue a request again for another endpoint."""
        if flight.choice is not None and end is not AttemptResult.CANCELLED:
            flight.excluded |= {flight.choice.endpoint_id}
        if flight.phase is Phase.DISPATCHED:
            flight.attempt -= end is AttemptResult.CANCELLED
        flight.choice = None
        flight.phase = Phase.QUEUED
        yield from self.refuse_all(self._admission.requeue(flight.pending, now_ms), now_ms)

    def give_up(self, flight: Flight, code: ErrorCode, now_ms: int) -> Iterator[Action]:
        """End a request that was started, without its answer."""
        self._admission.finish(flight.request_id, now_ms)
        retry_after_ms = self._suspicion.retry_after_ms(flight, now_ms)
        yield from self.drop(flight, code, now_ms, retry_after_ms)

    def refuse_all(self, refusals: Iterable[Refusal], now_ms: int) -> Iterator[Action]:
        """Turn admission's refusals into actions."""
        for refusal in refusals:
            flight = self.flights[refusal.request_id]
            peer_id = self._handover.peer_instead_of_refusal(flight, refusal.code, now_ms)
            if peer_id is not None:
                yield self._forward(flight, peer_id)
                continue
            yield from self.drop(flight, refusal.code, now_ms, refusal.retry_after_ms)

    def drop(
        self, flight: Flight, code: ErrorCode, now_ms: int, retry_after_ms: int | None = None
    ) -> tuple[Action, ...]:
        """Forget a request and return what it and those that follow it are told."""
        self.flights.pop(flight.request_id, None)
        if flight.ticket_id is not None:
            self._gate.end_without_answer(flight, code, now_ms)
        return tuple(
            Refuse(
                request_id=request_id,
                code=code,
                outcome=flight.outcome,
                retry_after_ms=retry_after_ms,
            )
            for request_id in (flight.request_id, *flight.followers)
        )

    def next_step(self, flight: Flight, choice: Choice, end: AttemptResult) -> NextStep:
        """Return the way on; sending a request again costs a part of the retry budget."""
        resumable = flight.arrival.resumable and choice.endpoint_id in self.resumable
        step = next_step(flight, end, resumable=resumable)
        is_costly = step is NextStep.RETRY_ELSEWHERE and flight.phase is Phase.SENT
        if is_costly and not self._retries.try_spend():
            return NextStep.GIVE_UP
        return step
