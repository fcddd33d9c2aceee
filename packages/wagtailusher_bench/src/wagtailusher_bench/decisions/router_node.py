"""An entry VM of the simulated fleet that runs the router's decider."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_admission import AdmissionDecider, AdmissionLimits
from wagtailusher_bench.decisions.calls import Call, Ending
from wagtailusher_bench.decisions.const import (
    NODE_TO_ENDPOINT_MS,
    NODE_TO_NODE_MS,
    WALL_OFFSET_MS,
)
from wagtailusher_bench.decisions.network import Network
from wagtailusher_bench.fakes import JobEnd
from wagtailusher_core import FailureDomainId, Incarnation, PublishedVm, RequestId, VmId
from wagtailusher_once import OnceDecider, StoredAnswer, Ticket
from wagtailusher_placement import (
    AttemptResult,
    CacheEvent,
    Chooser,
    EndpointInfo,
    LoadReport,
    PlacementDecider,
    StewardDecider,
    choose_by_score,
)
from wagtailusher_quarantine import QuarantineDecider
from wagtailusher_router import (
    Action,
    Cancel,
    ClassifiedRequest,
    Dispatch,
    Forward,
    Refuse,
    ReplayAnswer,
    RouterComponents,
    RouterDecider,
    SendLeaseGrant,
    SendLeaseRecall,
    SendLeaseRequest,
)

PeerMessage = SendLeaseRequest | SendLeaseGrant | SendLeaseRecall

_STORED_ANSWER = StoredAnswer(status=200)
_INCARNATION = Incarnation(1)
_TICKET_LIFETIME_MS = 600_000
_ATTEMPT_RESULTS = {
    JobEnd.REFUSED: AttemptResult.REFUSED,
    JobEnd.CRASHED: AttemptResult.CRASHED,
}


class RouterNode:
    """Passes events of the simulated fleet to a RouterDecider and executes its actions."""

    def __init__(
        self,
        vm: PublishedVm,
        network: Network,
        *,
        seed: int,
        choose: Chooser = choose_by_score,
        limits: AdmissionLimits | None = None,
    ) -> None:
        self.vm_id = vm.vm_id
        self._network = network
        self._clock = network.clock
        self._calls: dict[RequestId, Call] = {}
        self._attempts: dict[RequestId, int] = {}
        self.quarantine = QuarantineDecider()
        self.admission = AdmissionDecider(limits)
        self._placement = PlacementDecider(
            vm_id=vm.vm_id, failure_domain_id=vm.failure_domain_id, seed=seed, choose=choose
        )
        self._decider = RouterDecider(
            RouterComponents(
                vm_id=vm.vm_id,
                admission=self.admission,
                placement=self._placement,
                steward=StewardDecider(vm_id=vm.vm_id),
                once=OnceDecider(vm_id=vm.vm_id, incarnation=_INCARNATION),
                quarantine=self.quarantine,
            )
        )

    def submit(self, call: Call, forwarded_from: VmId | None = None) -> None:
        """Submit a call to the decider; a non-repeatable one gets a ticket of this node."""
        request_id = RequestId(call.call_id)
        self._calls[request_id] = call
        traffic = call.traffic
        classified = ClassifiedRequest(
            request_id=request_id,
            policy=traffic.policy(call.workspace_id),
            pool_id=traffic.pool_id,
            fingerprint=call.fingerprint,
            streams_tokens=traffic.is_stream,
            prompt_tokens=call.prompt_tokens,
            prefix_hashes=call.prefix_hashes,
            ticket=None if traffic.is_repeatable else self._issue_ticket(call),
            forwarded_from=forwarded_from,
        )
        self._apply(self._decider.submit(classified, self._clock.now_ms))

    def handle_caller_disconnect(self, call: Call) -> None:
        """Report a caller's disconnect to the decider."""
        request_id = RequestId(call.call_id)
        if request_id not in self._calls:
            return
        self._apply(self._decider.handle_caller_disconnect(request_id, self._clock.now_ms))
        if call.traffic.is_repeatable or call.started_ms is None:
            self._calls.pop(request_id, None)

    def observe_report(self, report: LoadReport) -> None:
        """Pass a load report to the decider."""
        self._apply(self._decider.observe_report(report, self._clock.now_ms))

    def observe_cache_event(self, event: CacheEvent) -> None:
        """Pass a cache event to the endpoint choice."""
        self._placement.observe_cache_event(event, self._clock.now_ms)

    def update_endpoints(self, endpoints: tuple[EndpointInfo, ...]) -> None:
        """Apply the published list of endpoints."""
        self._apply(self._decider.update_endpoints(endpoints, self._clock.now_ms))

    def update_published(self, vms: tuple[PublishedVm, ...]) -> None:
        """Apply the published list of VMs."""
        self._decider.update_published(vms, self._clock.now_ms)

    def update_drained_domains(self, domains: frozenset[FailureDomainId]) -> None:
        """Apply the set of drained failure domains."""
        self._apply(self._decider.update_drained_domains(domains, self._clock.now_ms))

    def tick(self) -> None:
        """Run the decider's periodic work."""
        self._apply(self._decider.tick(self._clock.now_ms))

    def broadcast_quarantine(self) -> None:
        """Send new quarantine evidence to all other nodes."""
        if not self.quarantine.has_unsent_evidence(self._clock.now_ms):
            return
        summary = self.quarantine.summary(self._clock.now_ms)
        peers = [node for node in self._network.nodes.values() if isinstance(node, RouterNode)]

        def merge() -> None:
            for peer in peers:
                if peer is not self:
                    peer.quarantine.merge(summary, self._clock.now_ms)

        self._clock.call_later(NODE_TO_NODE_MS, merge)

    def _issue_ticket(self, call: Call) -> Ticket:
        return Ticket(
            home_id=self.vm_id,
            incarnation=_INCARNATION,
            nonce=call.call_id,
            expires_wall_ms=self._clock.now_ms + WALL_OFFSET_MS + _TICKET_LIFETIME_MS,
            remaining_ms=_TICKET_LIFETIME_MS,
        )

    def _apply(self, actions: Iterable[Action]) -> None:
        """Execute the decider's actions."""
        for action in actions:
            if isinstance(action, Dispatch):
                self._dispatch(action)
            elif isinstance(action, Refuse):
                self._finish_call(action.request_id, Ending.REFUSED, str(action.code))
            elif isinstance(action, ReplayAnswer):
                self._finish_call(action.request_id, Ending.COMPLETED)
            elif isinstance(action, Cancel):
                self._network.cancel(action.endpoint_id, self._job_id(action.request_id))
            elif isinstance(action, Forward):
                self._forward(action)
            else:
                self._send_to_peer(action)

    def _send_to_peer(self, message: PeerMessage) -> None:
        """Send a lease message to its destination node."""
        peer = self._network.nodes[_destination(message)]
        assert isinstance(peer, RouterNode)
        self._clock.call_later(NODE_TO_NODE_MS, lambda: peer.receive(message))

    def receive(self, message: PeerMessage) -> None:
        """Handle a lease message from another node."""
        now_ms = self._clock.now_ms
        if isinstance(message, SendLeaseRequest):
            self._apply(self._decider.handle_lease_request(message.request, now_ms))
        elif isinstance(message, SendLeaseGrant):
            self._apply(self._decider.handle_lease_grant(message.grant, now_ms))
        else:
            self._decider.handle_lease_recall(message.recall, now_ms)

    def _forward(self, action: Forward) -> None:
        call = self._calls.pop(action.request_id)
        peer = self._network.nodes[action.vm_id]
        self._clock.call_later(NODE_TO_NODE_MS, lambda: peer.submit(call, self.vm_id))

    def _dispatch(self, action: Dispatch) -> None:
        """Send after the time of a TCP handshake if a new connection is needed."""
        attempt = self._attempts.get(action.request_id, 0) + 1
        self._attempts[action.request_id] = attempt
        delay_ms = 2 * NODE_TO_ENDPOINT_MS if action.new_connection else 0.0
        self._clock.call_later(delay_ms, lambda: self._send(action, attempt))

    def _send(self, action: Dispatch, attempt: int) -> None:
        """Send a request if the attempt is still current and the decider still permits it."""
        request_id = action.request_id
        if not self._is_current(request_id, attempt):
            return
        now_ms = self._clock.now_ms
        call = self._calls[request_id]
        if not self._network.engines[action.endpoint_id].is_up:
            self._handle_failure(request_id, AttemptResult.REFUSED)
            return
        if not self._decider.may_send(request_id, now_ms):
            self._handle_failure(request_id, AttemptResult.CANCELLED)
            return
        self._network.record_start(call)
        self._network.submit(
            call,
            action.endpoint_id,
            self._job_id(request_id),
            priority=action.tier,
            on_progress=lambda tokens: self._handle_progress(request_id, attempt, tokens),
            on_end=lambda end: self._handle_job_end(request_id, attempt, end),
        )

    def _handle_progress(self, request_id: RequestId, attempt: int, tokens: int) -> None:
        if not self._is_current(request_id, attempt):
            return
        call = self._calls[request_id]
        if call.first_ms is None:
            self._decider.record_first_token(request_id, self._clock.now_ms)
            self._network.record_caller_first_token(call)
        if call.traffic.is_stream:
            self._decider.record_progress(request_id, tokens, self._clock.now_ms)

    def _handle_job_end(self, request_id: RequestId, attempt: int, end: JobEnd) -> None:
        if end is JobEnd.CANCELLED or not self._is_current(request_id, attempt):
            return
        if end is not JobEnd.COMPLETED:
            self._handle_failure(request_id, _ATTEMPT_RESULTS[end])
            return
        call = self._calls[request_id]
        answer = None if call.traffic.is_repeatable else _STORED_ANSWER
        actions = self._decider.handle_completion(request_id, answer, self._clock.now_ms)
        self._finish_call(request_id, Ending.COMPLETED)
        self._apply(actions)

    def _handle_failure(self, request_id: RequestId, end: AttemptResult) -> None:
        self._apply(self._decider.handle_attempt_failure(request_id, end, self._clock.now_ms))

    def _finish_call(self, request_id: RequestId, ending: Ending, code: str = "") -> None:
        call = self._calls.pop(request_id, None)
        self._attempts.pop(request_id, None)
        if call is not None:
            self._network.record_end(call, ending, code)

    def _is_current(self, request_id: RequestId, attempt: int) -> bool:
        return request_id in self._calls and self._attempts.get(request_id) == attempt

    def _job_id(self, request_id: RequestId) -> str:
        return f"{request_id}/{self._attempts.get(request_id, 0)}"


def _destination(message: PeerMessage) -> VmId:
    """Return the node that a lease message is addressed to."""
    if isinstance(message, SendLeaseRequest):
        return message.steward_id
    if isinstance(message, SendLeaseGrant):
        return message.node_id
    return message.recall.node_id
