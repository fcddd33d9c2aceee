"""The composed decider: admission, placement, at-most-once and quarantine for one entry VM."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from wagtailusher_admission import AdmissionDecider, PendingRequest
from wagtailusher_core import (
    ClassKey,
    EndpointId,
    ErrorCode,
    FailureDomainId,
    PublishedVm,
    RequestId,
    VmId,
)
from wagtailusher_once import (
    ForwardTo,
    OnceDecider,
    QuarantineDecider,
    QuarantineEntry,
    QuarantineSummary,
    StoredAnswer,
)
from wagtailusher_placement import (
    AttemptResult,
    EndpointInfo,
    EndpointView,
    LeaseGrant,
    LeaseRecall,
    LeaseRequest,
    LoadReport,
    PlacementDecider,
    StewardDecider,
)
from wagtailusher_router.actions import (
    Action,
    Cancel,
    Forward,
    ForwardReason,
    HandoverCandidate,
    ReplayAnswer,
    SendLeaseGrant,
)
from wagtailusher_router.attempts import NextStep
from wagtailusher_router.classified_request import ClassifiedRequest
from wagtailusher_router.const import DEFAULT_RETRY_AFTER_MS
from wagtailusher_router.dispatcher import Dispatcher
from wagtailusher_router.errors import UnknownRequestIdError
from wagtailusher_router.flights import Flight, Phase
from wagtailusher_router.handover import Handover
from wagtailusher_router.leasing import LeaseExchange
from wagtailusher_router.load_summary import PoolLoad, summarize_load
from wagtailusher_router.once_gate import OnceGate
from wagtailusher_router.requests import dispatch_of, pending_request
from wagtailusher_router.suspicion import Suspicion
from wagtailusher_router.visibility import visible_endpoints

QuotaShare = Callable[[ClassKey, int, int], int]
"""Returns this node's part of a fleet-wide quota of a class, given the present time."""


def whole_quota(key: ClassKey, quota: int, now_ms: int) -> int:
    """Return the whole quota, for a node that stands alone."""
    return quota


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterComponents:
    """The deciders that a router is composed of."""

    vm_id: VmId
    admission: AdmissionDecider
    placement: PlacementDecider
    steward: StewardDecider
    once: OnceDecider
    quarantine: QuarantineDecider
    quota_share: QuotaShare = whole_quota
    failure_domain_id: FailureDomainId = FailureDomainId("")


class RouterDecider:
    """Takes events with the present time and returns the actions that follow."""

    def __init__(self, parts: RouterComponents) -> None:
        """Start without requests."""
        self._admission = parts.admission
        self._placement = parts.placement
        self._quarantine = parts.quarantine
        self._suspicion = Suspicion(parts.quarantine)
        self._quota_share = parts.quota_share
        self._handover = Handover(parts.placement)
        self._leases = LeaseExchange(parts.vm_id, parts.placement, parts.steward)
        self._gate = OnceGate(parts.once)
        self._dispatcher = Dispatcher(
            admission=parts.admission,
            placement=parts.placement,
            gate=self._gate,
            suspicion=self._suspicion,
            handover=self._handover,
        )
        self._vm_id = parts.vm_id
        self._failure_domain_id = parts.failure_domain_id
        self._published: tuple[PublishedVm, ...] = ()
        self._published_endpoints: tuple[EndpointInfo, ...] = ()
        self.tracked_endpoints: tuple[EndpointInfo, ...] = ()
        self._draining = False
        self._isolated = False

    @property
    def in_flight_count(self) -> int:
        """Return the number of requests that are held."""
        return len(self._dispatcher.flights)

    # Views of the outside.

    def update_endpoints(
        self, endpoints: Iterable[EndpointInfo], now_ms: int
    ) -> tuple[Action, ...]:
        """Take over the published endpoints, of which a large fleet's node tracks a part."""
        self._published_endpoints = tuple(endpoints)
        self._leases.update_endpoints(self._published_endpoints, now_ms)
        self._choose_visible(now_ms)
        return tuple(self._dispatcher.pump_all(now_ms))

    def update_published(
        self,
        vms: Iterable[PublishedVm],
        now_ms: int,
        version: int = 0,
        read_started_ms: int | None = None,
    ) -> None:
        """Apply each list of entry VMs that is read, from `read_started_ms` on, by default now."""
        published = tuple(vms)
        self._leases.update_published(published, version, now_ms, read_started_ms)
        self._gate.update_published(published, now_ms)
        if published != self._published:
            self._published = published
            self._choose_visible(now_ms)

    def _choose_visible(self, now_ms: int) -> None:
        """Choose the endpoints that this node tracks."""
        self.tracked_endpoints = visible_endpoints(
            self._vm_id, self._failure_domain_id, self._published_endpoints, self._published
        )
        self._placement.update_endpoints(self.tracked_endpoints, now_ms)
        self._handover.update_endpoints(self.tracked_endpoints)
        self._dispatcher.resumable = frozenset(
            info.endpoint_id for info in self.tracked_endpoints if info.resumes_streams
        )

    def update_drained_domains(
        self, domains: Iterable[FailureDomainId], now_ms: int
    ) -> tuple[Action, ...]:
        """Take over the failure domains that operators took out."""
        drained = frozenset(domains)
        self._placement.update_drained_domains(drained, now_ms)
        self._leases.update_drained_domains(drained, now_ms)
        return tuple(self._dispatcher.pump_all(now_ms))

    def observe_report(self, report: LoadReport, now_ms: int) -> tuple[Action, ...]:
        """Take over an endpoint's load report."""
        self._placement.observe_report(report, now_ms)
        self._leases.observe_report(report, now_ms)
        return tuple(self._dispatcher.pump_all(now_ms))

    def start_draining(self) -> None:
        """Refuse new requests from now on; those that are held go on."""
        self._draining = True

    def set_isolated(self, isolated: bool) -> None:
        """Refuse new requests while this node hears of no drain that may have been ordered."""
        self._isolated = isolated

    # Requests.

    def submit(self, arrival: ClassifiedRequest, now_ms: int) -> tuple[Action, ...]:
        """Take a classified request.

        A request that may not be repeated is first looked up, since an earlier attempt of it may
        have run: only then is a refusal true.
        """
        flight = Flight(arrival=arrival, pending=self._pending_of(arrival, now_ms))
        if not arrival.policy.repeatable:
            answered = self._gate.submit(flight, now_ms)
            if answered is not None:
                return answered
        code = self._reason_to_refuse(arrival, now_ms)
        if code is not None:
            return self._dispatcher.drop(flight, code, now_ms, DEFAULT_RETRY_AFTER_MS)
        actions = list(self._dispatcher.queue(flight, now_ms))
        actions.extend(self._dispatcher.pump(arrival.pool_id, now_ms))
        return tuple(actions)

    def _pending_of(self, arrival: ClassifiedRequest, now_ms: int) -> PendingRequest:
        """Return a request as admission sees it, with this node's part of the quota."""
        policy = arrival.policy
        quota = policy.in_flight_quota
        if quota is not None:
            quota = self._quota_share(policy.key, quota, now_ms)
        return pending_request(arrival, quota, now_ms)

    def _reason_to_refuse(self, arrival: ClassifiedRequest, now_ms: int) -> ErrorCode | None:
        """Return why this node takes a new request in no case."""
        if self._draining:
            return ErrorCode.DRAINING
        if self._isolated:
            return ErrorCode.NOT_READY
        if self._suspicion.must_not_start(arrival.fingerprint, now_ms):
            return ErrorCode.QUARANTINED
        return None

    def may_send(self, request_id: RequestId, now_ms: int) -> bool:
        """Tell whether a dispatched request may go out; ask right before its first byte.

        After True, the request counts as sent.
        """
        flight = self._dispatcher.flights.get(request_id)
        if flight is None or flight.phase is not Phase.DISPATCHED:
            return False
        if not self._placement.may_send(request_id, now_ms):
            return False
        if flight.ticket_id is not None and not self._gate.dispatch(flight.ticket_id, now_ms):
            flight.is_barred = True
            return False
        flight.phase = Phase.SENT
        flight.ever_sent = True
        return True

    def record_first_token(self, request_id: RequestId, now_ms: int) -> None:
        """Note that an answer began."""
        self._placement.record_first_token(request_id, now_ms)
        self._admission.record_first_answer(request_id, now_ms)

    def record_progress(self, request_id: RequestId, events: int, now_ms: int) -> None:
        """Note that further events of an answer were relayed to the caller."""
        flight = self._dispatcher.flights.get(request_id)
        if flight is not None:
            flight.relayed_events += events
        self._placement.record_progress(request_id, events, now_ms)

    def handle_completion(
        self, request_id: RequestId, answer: StoredAnswer | None, now_ms: int
    ) -> tuple[Action, ...]:
        """Note that the whole answer arrived; `answer` is needed when it may not be repeated."""
        flight = self._dispatcher.flight(request_id)
        self._placement.finish_request(request_id, AttemptResult.COMPLETED, now_ms)
        self._admission.finish(request_id, now_ms)
        self._suspicion.ended(flight)
        self._suspicion.record_success(flight, now_ms)
        del self._dispatcher.flights[request_id]
        actions: list[Action] = []
        if flight.ticket_id is not None and answer is not None:
            self._gate.complete(flight.ticket_id, answer, now_ms)
            actions.extend(
                ReplayAnswer(request_id=follower, answer=answer) for follower in flight.followers
            )
        actions.extend(self._dispatcher.pump(flight.pending.pool_id, now_ms))
        return tuple(actions)

    def handle_attempt_failure(
        self, request_id: RequestId, end: AttemptResult, now_ms: int
    ) -> tuple[Action, ...]:
        """Note that an attempt ended without a whole answer."""
        flight = self._dispatcher.flight(request_id)
        choice = flight.choice
        if choice is None or flight.phase is Phase.QUEUED:
            raise UnknownRequestIdError(f"request {request_id} has no attempt in progress")
        if end is AttemptResult.CRASHED and flight.phase is Phase.SENT:
            self._suspicion.record_crash(flight, now_ms)
        step = self._dispatcher.next_step(flight, choice, end)
        if step is NextStep.RESUME:
            flight.resumes += 1
            return (dispatch_of(flight, choice, resume=True),)
        self._placement.finish_request(request_id, end, now_ms)
        self._suspicion.ended(flight)
        actions: list[Action] = []
        if step is NextStep.RETRY_ELSEWHERE:
            actions.extend(self._dispatcher.retry(flight, end, now_ms))
        else:
            code = ErrorCode.TICKET_EXPIRED if flight.is_barred else ErrorCode.ENDPOINT_FAILED
            actions.extend(self._dispatcher.give_up(flight, code, now_ms))
        actions.extend(self._dispatcher.pump(flight.pending.pool_id, now_ms))
        return tuple(actions)

    def handle_caller_disconnect(self, request_id: RequestId, now_ms: int) -> tuple[Action, ...]:
        """Note that nobody waits any more; what may not be repeated goes on once it was sent."""
        flight = self._dispatcher.flights.get(request_id)
        if flight is None:
            self._gate.unfollow(request_id)
            return ()
        flight.caller_left = True
        if flight.followers or (flight.phase is Phase.SENT and not flight.may_repeat):
            return ()
        choice = flight.choice
        sent = flight.phase is Phase.SENT
        if flight.phase is not Phase.QUEUED:
            self._placement.finish_request(request_id, AttemptResult.CANCELLED, now_ms)
            self._suspicion.ended(flight)
        self._admission.withdraw(request_id, now_ms)
        self._dispatcher.drop(flight, ErrorCode.CALLER_LEFT, now_ms)
        cancels: list[Action] = []
        if sent and choice is not None:
            cancels.append(Cancel(request_id=request_id, endpoint_id=choice.endpoint_id))
        return (*cancels, *self._dispatcher.pump(flight.pending.pool_id, now_ms))

    def find_handover_candidates(self, now_ms: int) -> tuple[HandoverCandidate, ...]:
        """Return the requests whose right to run had better be handed over to a peer."""
        found = []
        for flight in self._gate.leaders():
            peer_id = self._handover.peer_for_stranded(flight, now_ms)
            if peer_id is not None:
                flight.stranded_at_ms = now_ms
                found.append(HandoverCandidate(request_id=flight.request_id, peer_id=peer_id))
        return tuple(found)

    def hand_over(
        self, request_id: RequestId, successor: ForwardTo, now_ms: int
    ) -> tuple[Action, ...]:
        """Give the right to run a queued request to a peer that minted a ticket for it."""
        flight = self._dispatcher.flights.get(request_id)
        if flight is None or flight.phase is not Phase.QUEUED:
            return ()
        if not self._gate.hand_over(flight, successor, now_ms):
            return ()
        self._admission.withdraw(request_id, now_ms)
        del self._dispatcher.flights[request_id]
        return tuple(
            Forward(
                request_id=name,
                vm_id=successor.home_id,
                reason=ForwardReason.HOME,
                ticket=successor.ticket,
            )
            for name in (request_id, *flight.followers)
        )

    # Time and peers.

    def tick(self, now_ms: int) -> tuple[Action, ...]:
        """Let time pass: refuse what came too late, renew leases, start what may start."""
        actions = list(self._dispatcher.refuse_all(self._admission.expire(now_ms), now_ms))
        self._gate.expire(now_ms)
        demand = {
            pool_id: self._admission.demand(pool_id) for pool_id in self._admission.active_pools()
        }
        actions.extend(self._leases.recalls(now_ms))
        actions.extend(self._leases.renew(demand, now_ms))
        actions.extend(self._dispatcher.pump_all(now_ms))
        actions.extend(self._dispatcher.hand_over_waiting(now_ms))
        return tuple(actions)

    def handle_lease_request(self, request: LeaseRequest, now_ms: int) -> tuple[Action, ...]:
        """Answer another node's request for credits."""
        grant = self._leases.grant(request, now_ms)
        if grant is None:
            return ()
        return (SendLeaseGrant(node_id=request.node_id, grant=grant),)

    def handle_lease_grant(self, grant: LeaseGrant, now_ms: int) -> tuple[Action, ...]:
        """Take over a steward's credits."""
        self._placement.apply_grant(grant, now_ms)
        return tuple(self._dispatcher.pump_all(now_ms))

    def handle_lease_recall(self, recall: LeaseRecall, now_ms: int) -> None:
        """Give up a lease on an endpoint that its steward found cold."""
        self._placement.apply_recall(recall, now_ms)

    def quarantine_summary(self, now_ms: int) -> QuarantineSummary:
        """Return what the other VMs are to be told about requests that crash endpoints."""
        return self._quarantine.summary(now_ms)

    def merge_quarantine(self, summary: QuarantineSummary, now_ms: int) -> None:
        """Take over what another VM knows about requests that crash endpoints."""
        self._quarantine.merge(summary, now_ms)

    # For peers' summaries and for operators.

    def load_by_pool(self) -> tuple[PoolLoad, ...]:
        """Return the requests that are held, by pool."""
        return summarize_load(self._dispatcher.flights.values())

    def spare_credits(self, now_ms: int) -> int:
        """Return how many more requests this node's credits allow."""
        return sum(
            max(0, view.allowed - view.in_flight) for view in self._placement.endpoint_views(now_ms)
        )

    def endpoint_views(self, now_ms: int) -> tuple[EndpointView, ...]:
        """Return what this node believes about every endpoint."""
        return self._placement.endpoint_views(now_ms)

    def steward_id(self, endpoint_id: EndpointId) -> VmId | None:
        """Return the steward of an endpoint."""
        return self._placement.steward_id(endpoint_id)

    def quarantine_evidence(self, now_ms: int) -> tuple[QuarantineEntry, ...]:
        """Return the evidence against requests that crash endpoints."""
        return self._quarantine.list_entries(now_ms)
