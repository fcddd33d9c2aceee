"""An entry VM of a scenario: the real deciders with simulated networking."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import sha256
from typing import TYPE_CHECKING

from tests.scenario.calls import Attempt, Reply
from tests.scenario.exchanges import Exchange, ReplyCallback, fingerprint_of, policy_of
from tests.scenario.node_endpoints import NodeEndpoints
from tests.scenario.node_peers import NodePeers
from tests.scenario.simulation import Process
from tests.wagtailusher_once.schedules.faults import make_decider
from wagtailusher_admission import AdmissionDecider
from wagtailusher_core import (
    ErrorCode,
    Incarnation,
    Outcome,
    PoolId,
    PublishedState,
    PublishedVm,
    RequestId,
    VmId,
)
from wagtailusher_once import ForwardTo, OnceError, OnceLimits, TicketInvalidError, TicketIssuer
from wagtailusher_placement import PlacementDecider, StewardDecider
from wagtailusher_quarantine import QuarantineDecider
from wagtailusher_router import (
    Action,
    Cancel,
    ClassifiedRequest,
    Dispatch,
    Forward,
    HandoverCandidate,
    Refuse,
    ReplayAnswer,
    RouterComponents,
    RouterDecider,
)

if TYPE_CHECKING:
    from tests.scenario.fleet import Fleet

SECRET = b"scenario"
WALL_BASE_MS = 1_700_000_000_000
TICK_MS = 50
IDLE_CHECK_INTERVAL_MS = 500
FORWARD_TIMEOUT_MS = 30_000
DRAIN_CHECK_MS = 100
SHUTDOWN_GRACE_MS = 30_000
KEY_LIMITS = OnceLimits(max_list_lag_ms=1_000, max_list_age_ms=1_500, max_clock_skew_ms=200)


class EntryNode(Process):
    """One process of an entry VM."""

    def __init__(self, fleet: Fleet, vm: PublishedVm, incarnation: Incarnation) -> None:
        """Start with new deciders and the currently published lists."""
        super().__init__(fleet.clock)
        self.fleet = fleet
        self.vm_id = vm.vm_id
        self.exchanges: dict[RequestId, Exchange] = {}
        self._request_count = 0
        self.quarantine = QuarantineDecider()
        self.router = self._make_router(vm, incarnation)
        self.ticket_issuer = TicketIssuer(
            vm_id=vm.vm_id,
            incarnation=incarnation,
            secret=SECRET,
            draw_nonce=lambda: f"{fleet.rng.getrandbits(64):x}",
        )
        self._endpoints = NodeEndpoints(self)
        self.peers = NodePeers(self, vm)
        self._start_loops()

    @property
    def now_ms(self) -> int:
        """Return the virtual time in whole milliseconds, as the deciders expect it."""
        return self.clock.now_ms

    def _make_router(self, vm: PublishedVm, incarnation: Incarnation) -> RouterDecider:
        """Create the router's decider with its components."""
        return RouterDecider(
            RouterComponents(
                vm_id=vm.vm_id,
                admission=AdmissionDecider(),
                placement=PlacementDecider(
                    vm_id=vm.vm_id,
                    failure_domain_id=vm.failure_domain_id,
                    seed=self.fleet.rng.getrandbits(32),
                ),
                steward=StewardDecider(vm_id=vm.vm_id),
                once=make_decider(
                    self.fleet.fault, vm_id=vm.vm_id, incarnation=incarnation, limits=KEY_LIMITS
                ),
                quarantine=self.quarantine,
            )
        )

    def _start_loops(self) -> None:
        """Start the periodic tasks, at a random phase for each process."""
        phase_ms = self.fleet.rng.random() * TICK_MS
        self.call_every(TICK_MS, self._tick, first_ms=phase_ms)
        self.call_every(
            IDLE_CHECK_INTERVAL_MS, self._endpoints.check_idle_timeouts, first_ms=phase_ms
        )

    def _tick(self) -> None:
        """Run the router's tick, and hand requests over that only this node may run but can't."""
        self.apply(self.router.tick(self.now_ms))
        for candidate in self.router.find_handover_candidates(self.now_ms):
            self._request_handover_ticket(candidate)

    # Requests.

    def issue_ticket(self) -> str:
        """Issue a ticket."""
        return self.ticket_issuer.issue(WALL_BASE_MS + self.now_ms)

    def _request_handover_ticket(self, candidate: HandoverCandidate) -> None:
        """Request a ticket from a peer and hand the request over to it."""

        def handle_ticket(ticket: str) -> None:
            successor = ForwardTo(home_id=candidate.peer_id, ticket=ticket)
            self.apply(self.router.hand_over(candidate.request_id, successor, self.now_ms))

        def send_ticket(peer: EntryNode) -> None:
            ticket = peer.issue_ticket()
            self.fleet.send_message(
                peer.vm_id, self.vm_id, lambda _: handle_ticket(ticket), stream=True
            )

        self.fleet.send_message(self.vm_id, candidate.peer_id, send_ticket, stream=True)

    def receive(
        self,
        attempt: Attempt,
        on_reply: ReplyCallback,
        forwarded_from: VmId | None = None,
        hops: int = 0,
    ) -> None:
        """Accept an attempt from a caller or a peer."""
        if not self.peers.is_ready:
            is_new = attempt.ticket is None and attempt.key is None
            outcome = Outcome.NOT_RUN if is_new else Outcome.UNKNOWN
            on_reply(Reply(attempt=attempt, outcome=outcome, code=ErrorCode.NOT_READY))
            return
        self._request_count += 1
        request_id = RequestId(f"{attempt.attempt_id}@{self.vm_id}/{self._request_count}")
        exchange = Exchange(attempt, on_reply, hops=hops)
        try:
            classified_request = self._classify(request_id, exchange, forwarded_from)
        except OnceError as err:
            outcome = Outcome.UNKNOWN
            if isinstance(err, TicketInvalidError):
                outcome = Outcome.NOT_RUN
            on_reply(Reply(attempt=attempt, outcome=outcome, code=err.code))
            return
        self.exchanges[request_id] = exchange
        self.apply(self.router.submit(classified_request, self.now_ms))

    def _classify(
        self, request_id: RequestId, exchange: Exchange, forwarded_from: VmId | None
    ) -> ClassifiedRequest:
        """Verify an attempt's ticket and return the classified request."""
        attempt = exchange.attempt
        now_wall_ms = WALL_BASE_MS + self.now_ms
        ticket = (
            None
            if attempt.ticket is None
            else self.ticket_issuer.verify(attempt.ticket, now_wall_ms)
        )
        return ClassifiedRequest(
            request_id=request_id,
            policy=policy_of(attempt.call.spec),
            pool_id=PoolId(attempt.call.spec.pool),
            fingerprint=fingerprint_of(attempt),
            body_digest=sha256(attempt.body).digest(),
            streams_tokens=attempt.call.spec.output_tokens > 0,
            expected_output_tokens=attempt.call.spec.output_tokens,
            ticket=ticket,
            idempotency_key=attempt.key,
            now_wall_ms=now_wall_ms,
            forwarded_from=forwarded_from,
            hops=exchange.hops,
            age_ms=round(self.clock.time_ms - attempt.sent_ms),
        )

    def apply(self, actions: Iterable[Action]) -> None:
        """Execute the decider's actions."""
        for action in actions:
            if isinstance(action, Dispatch):
                self._endpoints.dispatch(action)
            elif isinstance(action, Refuse):
                self.reply(
                    action.request_id,
                    action.outcome,
                    action.code,
                    retry_after_ms=action.retry_after_ms or 0,
                )
            elif isinstance(action, ReplayAnswer):
                self.reply(action.request_id, Outcome.COMPLETED, None, action.answer.body)
            elif isinstance(action, Forward):
                self._forward(action)
            elif isinstance(action, Cancel):
                self._endpoints.cancel(action)
            else:
                self.peers.send_lease(action)

    def reply(
        self,
        request_id: RequestId,
        outcome: Outcome,
        code: ErrorCode | None,
        body: bytes = b"",
        retry_after_ms: int = 0,
    ) -> None:
        """Answer a request; later replies to it are ignored."""
        exchange = self.exchanges.pop(request_id, None)
        if exchange is None:
            return
        exchange.on_reply(
            Reply(
                attempt=exchange.attempt,
                outcome=outcome,
                code=code,
                answer=body,
                retry_after_ms=retry_after_ms,
            )
        )

    def _forward(self, action: Forward) -> None:
        """Forward a request to a peer and relay its reply."""
        exchange = self.exchanges[action.request_id]
        attempt = exchange.attempt
        if action.ticket is not None:
            attempt = attempt.with_ticket(action.ticket)

        def relay_reply(reply: Reply) -> None:
            self.run(lambda: self.reply(action.request_id, reply.outcome, reply.code, reply.answer))

        self.fleet.forward(
            self.vm_id,
            action.vm_id,
            attempt,
            relay_reply,
            forwarded_from=self.vm_id,
            hops=exchange.hops + 1,
        )
        self.call_later(
            FORWARD_TIMEOUT_MS,
            lambda: self.reply(action.request_id, Outcome.UNKNOWN, ErrorCode.PEER_UNAVAILABLE),
        )

    # Disconnects and shutdown.

    def handle_caller_disconnect(self, attempt: Attempt) -> None:
        """Report to the router that an attempt's caller has disconnected."""
        for request_id, exchange in list(self.exchanges.items()):
            if exchange.attempt is not attempt:
                continue
            in_flight_before = self.router.in_flight_count
            self.apply(self.router.handle_caller_disconnect(request_id, self.now_ms))
            if self.router.in_flight_count < in_flight_before:
                self.exchanges.pop(request_id, None)

    def terminate(self) -> None:
        """End the process; its open requests fail as if their connections were closed."""
        self.alive = False
        exchanges, self.exchanges = self.exchanges, {}
        for exchange in exchanges.values():
            exchange.on_reply(
                Reply(attempt=exchange.attempt, outcome=Outcome.UNKNOWN, code=ErrorCode.CALLER_LEFT)
            )

    def stop(self) -> None:
        """Start draining, and end once the open requests are answered or the grace time is over."""
        self.router.start_draining()
        self.fleet.publish_state(self.vm_id, PublishedState.LEAVING)
        end_ms = self.clock.time_ms + SHUTDOWN_GRACE_MS

        def check() -> None:
            if not self.exchanges or self.clock.time_ms >= end_ms:
                self.terminate()
                return
            self.call_later(DRAIN_CHECK_MS, check)

        self.call_later(DRAIN_CHECK_MS, check)
