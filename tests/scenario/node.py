"""An entry VM of a scenario: the real deciders, moved by virtual sockets."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import sha256
from typing import TYPE_CHECKING

from tests.scenario.calls import Attempt, Reply
from tests.scenario.clockwork import Process
from tests.scenario.exchanges import Answer, Exchange, fingerprint_of, policy_of
from tests.scenario.node_endpoints import NodeEndpoints
from tests.scenario.node_peers import NodePeers
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
from wagtailusher_once import (
    ForwardTo,
    OnceError,
    OnceLimits,
    QuarantineDecider,
    TicketInvalidError,
    TicketIssuer,
)
from wagtailusher_placement import PlacementDecider, StewardDecider
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
SILENCE_CHECK_MS = 500
FORWARD_TIMEOUT_MS = 30_000
DRAIN_CHECK_MS = 100
SHUTDOWN_GRACE_MS = 30_000
KEY_LIMITS = OnceLimits(max_list_lag_ms=1_000, max_list_age_ms=1_500, max_clock_skew_ms=200)


class EntryNode(Process):
    """One process of an entry VM."""

    def __init__(self, fleet: Fleet, vm: PublishedVm, incarnation: Incarnation) -> None:
        """Start with fresh deciders and the lists of the moment."""
        super().__init__(fleet.clock)
        self.fleet = fleet
        self.vm_id = vm.vm_id
        self.exchanges: dict[RequestId, Exchange] = {}
        self._requests = 0
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
        """Return the time as deciders take it."""
        return self.clock.now_ms

    def _make_router(self, vm: PublishedVm, incarnation: Incarnation) -> RouterDecider:
        """Compose the router's decider."""
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
        """Start what repeats, at another phase in each process."""
        phase_ms = self.fleet.rng.random() * TICK_MS
        self.call_every(TICK_MS, self._tick, first_ms=phase_ms)
        self.call_every(SILENCE_CHECK_MS, self._endpoints.check_silence, first_ms=phase_ms)

    def _tick(self) -> None:
        """Let time pass, and find peers for what only this node may run and can't."""
        self.apply(self.router.tick(self.now_ms))
        for stranded in self.router.find_handover_candidates(self.now_ms):
            self._ask_for_ticket(stranded)

    # Requests.

    def mint_ticket(self) -> str:
        """Return a ticket for a caller."""
        return self.ticket_issuer.issue(WALL_BASE_MS + self.now_ms)

    def _ask_for_ticket(self, stranded: HandoverCandidate) -> None:
        """Ask a peer for a ticket, to hand the right to run over to it."""

        def take(ticket: str) -> None:
            successor = ForwardTo(home_id=stranded.peer_id, ticket=ticket)
            self.apply(self.router.hand_over(stranded.request_id, successor, self.now_ms))

        def issue_ticket(peer: EntryNode) -> None:
            ticket = peer.mint_ticket()
            self.fleet.send_message(peer.vm_id, self.vm_id, lambda _: take(ticket), stream=True)

        self.fleet.send_message(self.vm_id, stranded.peer_id, issue_ticket, stream=True)

    def receive(
        self,
        attempt: Attempt,
        answer: Answer,
        forwarded_from: VmId | None = None,
        hops: int = 0,
    ) -> None:
        """Take an attempt from a caller or a peer."""
        if not self.peers.is_ready:
            is_new = attempt.ticket is None and attempt.key is None
            outcome = Outcome.NOT_RUN if is_new else Outcome.UNKNOWN
            answer(Reply(attempt=attempt, outcome=outcome, code=ErrorCode.NOT_READY))
            return
        self._requests += 1
        request_id = RequestId(f"{attempt.attempt_id}@{self.vm_id}/{self._requests}")
        exchange = Exchange(attempt, answer, hops=hops)
        try:
            arrival = self._arrival_of(request_id, exchange, forwarded_from)
        except OnceError as err:
            outcome = Outcome.UNKNOWN
            if isinstance(err, TicketInvalidError):
                outcome = Outcome.NOT_RUN
            answer(Reply(attempt=attempt, outcome=outcome, code=err.code))
            return
        self.exchanges[request_id] = exchange
        self.apply(self.router.submit(arrival, self.now_ms))

    def _arrival_of(
        self, request_id: RequestId, exchange: Exchange, forwarded_from: VmId | None
    ) -> ClassifiedRequest:
        """Return an attempt as the router sees it, its ticket checked."""
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
        """Carry the decider's actions out."""
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
        """Answer a request, once."""
        exchange = self.exchanges.pop(request_id, None)
        if exchange is None:
            return
        exchange.answer(
            Reply(
                attempt=exchange.attempt,
                outcome=outcome,
                code=code,
                answer=body,
                retry_after_ms=retry_after_ms,
            )
        )

    def _forward(self, action: Forward) -> None:
        """Hand a request to a peer and its reply back."""
        exchange = self.exchanges[action.request_id]
        attempt = exchange.attempt
        if action.ticket is not None:
            attempt = attempt.under(action.ticket)

        def pass_back(reply: Reply) -> None:
            self.run(lambda: self.reply(action.request_id, reply.outcome, reply.code, reply.answer))

        self.fleet.deliver(
            self.vm_id,
            action.vm_id,
            attempt,
            pass_back,
            forwarded_from=self.vm_id,
            hops=exchange.hops + 1,
        )
        self.call_later(
            FORWARD_TIMEOUT_MS,
            lambda: self.reply(action.request_id, Outcome.UNKNOWN, ErrorCode.PEER_UNAVAILABLE),
        )

    # The process's life.

    def handle_caller_disconnect(self, attempt: Attempt) -> None:
        """Note that nobody waits for an attempt any more."""
        for request_id, exchange in list(self.exchanges.items()):
            if exchange.attempt is not attempt:
                continue
            held = self.router.in_flight_count
            self.apply(self.router.handle_caller_disconnect(request_id, self.now_ms))
            if self.router.in_flight_count < held:
                self.exchanges.pop(request_id, None)

    def die(self) -> None:
        """Break all connections off."""
        self.alive = False
        exchanges, self.exchanges = self.exchanges, {}
        for exchange in exchanges.values():
            exchange.answer(
                Reply(attempt=exchange.attempt, outcome=Outcome.UNKNOWN, code=ErrorCode.CALLER_LEFT)
            )

    def stop(self) -> None:
        """Take no new requests and end once the others are answered."""
        self.router.start_draining()
        self.fleet.publish_state(self.vm_id, PublishedState.LEAVING)
        end_ms = self.clock.time_ms + SHUTDOWN_GRACE_MS

        def check() -> None:
            if not self.exchanges or self.clock.time_ms >= end_ms:
                self.die()
                return
            self.call_later(DRAIN_CHECK_MS, check)

        self.call_later(DRAIN_CHECK_MS, check)
