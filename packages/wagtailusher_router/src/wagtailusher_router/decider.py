"""The composed decider of one entry VM: admission, placement, at-most-once and quarantine."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_admission import PendingRequest
from wagtailusher_core import (
    EndpointId,
    ErrorCode,
    FailureDomainId,
    PublishedVm,
    RequestId,
    VmId,
)
from wagtailusher_liveness import LivenessChange
from wagtailusher_once import ForwardTo, StoredAnswer
from wagtailusher_placement import (
    AttemptResult,
    EndpointInfo,
    EndpointView,
    LeaseGrant,
    LeaseRecall,
    LeaseRequest,
    LoadReport,
)
from wagtailusher_quarantine import QuarantineEntry, QuarantineSummary
from wagtailusher_router.actions import (
    Action,
    Cancel,
    Forward,
    ForwardReason,
    HandoverCandidate,
    ReplayAnswer,
    SendLeaseGrant,
)
from wagtailusher_router.at_most_once_gate import AtMostOnceGate
from wagtailusher_router.classified_request import ClassifiedRequest
from wagtailusher_router.components import RouterComponents
from wagtailusher_router.const import DEFAULT_RETRY_AFTER_MS
from wagtailusher_router.crash_isolation import CrashIsolation
from wagtailusher_router.dispatcher import Dispatcher
from wagtailusher_router.endpoint_subset import select_endpoint_subset
from wagtailusher_router.errors import UnknownRequestIdError
from wagtailusher_router.handover import Handover
from wagtailusher_router.leasing import LeaseExchange
from wagtailusher_router.load_summary import PoolLoad, summarize_load
from wagtailusher_router.next_step import NextStep
from wagtailusher_router.request_conversion import build_dispatch, pending_request
from wagtailusher_router.tracked_requests import Phase, TrackedRequest


class RouterDecider:
    """Handles events at a given time and returns the resulting actions."""

    def __init__(self, components: RouterComponents) -> None:
        self._admission = components.admission
        self._placement = components.placement
        self._quarantine = components.quarantine
        self._crash_isolation = CrashIsolation(components.quarantine)
        self._quota_share = components.quota_share
        self._handover = Handover(components.placement)
        self._leases = LeaseExchange(components.vm_id, components.placement, components.steward)
        self._gate = AtMostOnceGate(components.once)
        self._dispatcher = Dispatcher(
            admission=components.admission,
            placement=components.placement,
            gate=self._gate,
            crash_isolation=self._crash_isolation,
            handover=self._handover,
        )
        self._vm_id = components.vm_id
        self._failure_domain_id = components.failure_domain_id
        self._published: tuple[PublishedVm, ...] = ()
        self._published_endpoints: tuple[EndpointInfo, ...] = ()
        self.tracked_endpoints: tuple[EndpointInfo, ...] = ()
        self._draining = False
        self._isolated = False

    @property
    def in_flight_count(self) -> int:
        """Return the number of tracked requests, queued or in flight."""
        return len(self._dispatcher.tracked_requests)

    # Published state and load reports.

    def update_endpoints(
        self, endpoints: Iterable[EndpointInfo], now_ms: int
    ) -> tuple[Action, ...]:
        """Apply the published endpoints; in a large fleet, a node tracks a subset of them."""
        self._published_endpoints = tuple(endpoints)
        self._leases.update_endpoints(self._published_endpoints, now_ms)
        self._select_endpoints(now_ms)
        return tuple(self._dispatcher.dispatch_all_pools(now_ms))

    def update_published(
        self,
        vms: Iterable[PublishedVm],
        now_ms: int,
        version: int = 0,
        read_started_ms: int | None = None,
    ) -> None:
        """Apply a list of entry VMs; its read began at `read_started_ms`, by default `now_ms`."""
        published = tuple(vms)
        self._leases.update_published(published, version, now_ms, read_started_ms)
        self._gate.update_published(published, now_ms)
        if published != self._published:
            self._published = published
            self._select_endpoints(now_ms)

    def _select_endpoints(self, now_ms: int) -> None:
        """Select the endpoints that this node tracks."""
        self.tracked_endpoints = select_endpoint_subset(
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
        """Replace the set of failure domains that operators drained."""
        drained = frozenset(domains)
        self._placement.update_drained_domains(drained, now_ms)
        self._leases.update_drained_domains(drained, now_ms)
        return tuple(self._dispatcher.dispatch_all_pools(now_ms))

    def observe_report(self, report: LoadReport, now_ms: int) -> tuple[Action, ...]:
        """Apply an endpoint's load report."""
        self._placement.observe_report(report, now_ms)
        self._leases.observe_report(report, now_ms)
        return tuple(self._dispatcher.dispatch_all_pools(now_ms))

    def observe_refused_connection(
        self, endpoint_id: EndpointId, now_ms: int
    ) -> tuple[Action, ...]:
        """Treat an endpoint that refused a connection as cold; return the recalls of its leases."""
        self._leases.observe_refused_connection(endpoint_id, now_ms)
        return tuple(self._leases.due_recalls(now_ms))

    def observe_unreachable(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Record that an endpoint did not accept a connection for a request."""
        self._placement.observe_unreachable(endpoint_id, now_ms)

    def apply_liveness(self, change: LivenessChange) -> None:
        """Send nothing to an endpoint that went silent, until it answers."""
        self._placement.apply_liveness(change)

    def apply_statements(self, endpoint_id: EndpointId, now_ms: int) -> None:
        """Send to an endpoint only as fast, and from when on, it stated that it takes requests."""
        self._placement.apply_statements(endpoint_id, now_ms)

    def begin_doubt(self, endpoint_id: EndpointId, now_ms: int) -> bool:
        """Send nothing to an endpoint that may have restarted; return whether to poll it."""
        return self._placement.begin_doubt(endpoint_id, now_ms)

    def end_doubt(self, endpoint_id: EndpointId, now_ms: int) -> tuple[Action, ...]:
        """Continue after the poll; return the recalls of leases and the requests to send."""
        self._placement.end_doubt(endpoint_id)
        recalls = tuple(self._leases.due_recalls(now_ms))
        return (*recalls, *self._dispatcher.dispatch_all_pools(now_ms))

    def start_draining(self) -> None:
        """Refuse new requests from now on; requests already tracked continue."""
        self._draining = True

    def set_isolated(self, isolated: bool) -> None:
        """Refuse new requests while this node may be missing drain orders."""
        self._isolated = isolated

    # Requests.

    def submit(self, classified: ClassifiedRequest, now_ms: int) -> tuple[Action, ...]:
        """Accept, answer or refuse a classified request.

        A request that may not be repeated is looked up first, because an earlier attempt of it may
        have run and a refusal would then report a false outcome.
        """
        tracked = TrackedRequest(classified=classified, pending=self._pending(classified, now_ms))
        if not classified.policy.repeatable:
            answer_actions = self._gate.submit(tracked, now_ms)
            if answer_actions is not None:
                return answer_actions
        code = self._refusal_code(classified, now_ms)
        if code is not None:
            return self._dispatcher.refuse(tracked, code, now_ms, DEFAULT_RETRY_AFTER_MS)
        actions = list(self._dispatcher.add_request(tracked, now_ms))
        actions.extend(self._dispatcher.dispatch_pool(classified.pool_id, now_ms))
        return tuple(actions)

    def _pending(self, classified: ClassifiedRequest, now_ms: int) -> PendingRequest:
        """Return the request for admission, with this node's part of the quota."""
        policy = classified.policy
        quota = policy.in_flight_quota
        if quota is not None:
            quota = self._quota_share(policy.key, quota, now_ms)
        return pending_request(classified, quota, now_ms)

    def _refusal_code(self, classified: ClassifiedRequest, now_ms: int) -> ErrorCode | None:
        """Return the code to refuse a new request with, or None to accept it."""
        if self._draining:
            return ErrorCode.DRAINING
        if self._isolated:
            return ErrorCode.NOT_READY
        if self._crash_isolation.is_rejected(classified.fingerprint, now_ms):
            return ErrorCode.QUARANTINED
        return None

    def may_send(self, request_id: RequestId, now_ms: int) -> bool:
        """Return whether a dispatched request may be sent; call right before its first byte.

        When it returns True, the request counts as sent.
        """
        tracked = self._dispatcher.tracked_requests.get(request_id)
        if tracked is None or tracked.phase is not Phase.DISPATCHED:
            return False
        if not self._placement.may_send(request_id, now_ms):
            return False
        if tracked.ticket_id is not None and not self._gate.dispatch(tracked.ticket_id, now_ms):
            tracked.send_rejected = True
            return False
        tracked.phase = Phase.SENT
        tracked.was_sent = True
        return True

    def record_first_token(self, request_id: RequestId, now_ms: int) -> None:
        """Record the first token of an answer."""
        self._placement.record_first_token(request_id, now_ms)
        self._admission.record_first_answer(request_id, now_ms)

    def record_heard(self, request_id: RequestId, now_ms: int) -> None:
        """Record that bytes of an answer arrived."""
        self._placement.record_heard(request_id, now_ms)

    def record_progress(self, request_id: RequestId, events: int, now_ms: int) -> None:
        """Record that further events of an answer were relayed to the caller."""
        tracked = self._dispatcher.tracked_requests.get(request_id)
        if tracked is not None:
            tracked.relayed_events += events
        self._placement.record_progress(request_id, events, now_ms)

    def handle_completion(
        self, request_id: RequestId, answer: StoredAnswer | None, now_ms: int
    ) -> tuple[Action, ...]:
        """Handle a complete answer; `answer` is required if the request may not be repeated."""
        tracked = self._dispatcher.get_request(request_id)
        self._placement.finish_request(request_id, AttemptResult.COMPLETED, now_ms)
        self._admission.finish(request_id, now_ms)
        self._crash_isolation.record_end(tracked)
        self._crash_isolation.record_success(tracked, now_ms)
        del self._dispatcher.tracked_requests[request_id]
        actions: list[Action] = []
        if tracked.ticket_id is not None and answer is not None:
            self._gate.complete(tracked.ticket_id, answer, now_ms)
            actions.extend(
                ReplayAnswer(request_id=follower, answer=answer) for follower in tracked.followers
            )
        actions.extend(self._dispatcher.dispatch_pool(tracked.pending.pool_id, now_ms))
        return tuple(actions)

    def handle_attempt_failure(
        self, request_id: RequestId, result: AttemptResult, now_ms: int
    ) -> tuple[Action, ...]:
        """Handle an attempt that ended without a complete answer."""
        tracked = self._dispatcher.get_request(request_id)
        choice = tracked.choice
        if choice is None or tracked.phase is Phase.QUEUED:
            raise UnknownRequestIdError(f"request {request_id} has no attempt in progress")
        has_crashed = result is AttemptResult.CRASHED and tracked.phase is Phase.SENT
        if has_crashed and not self._placement.availability.may_leave(choice.endpoint_id):
            self._crash_isolation.record_crash(tracked, now_ms)
        step = self._dispatcher.next_step(tracked, choice, result)
        if step is NextStep.RESUME:
            tracked.resume_count += 1
            return (build_dispatch(tracked, choice, resume=True),)
        self._placement.finish_request(request_id, result, now_ms)
        self._crash_isolation.record_end(tracked)
        actions: list[Action] = []
        if step is NextStep.RETRY_ELSEWHERE:
            actions.extend(self._dispatcher.retry(tracked, result, now_ms))
        else:
            code = ErrorCode.TICKET_EXPIRED if tracked.send_rejected else ErrorCode.ENDPOINT_FAILED
            actions.extend(self._dispatcher.give_up(tracked, code, now_ms))
        actions.extend(self._dispatcher.dispatch_pool(tracked.pending.pool_id, now_ms))
        return tuple(actions)

    def handle_caller_disconnect(self, request_id: RequestId, now_ms: int) -> tuple[Action, ...]:
        """Handle a caller that left; a request continues if unrepeatable and sent, or followed."""
        tracked = self._dispatcher.tracked_requests.get(request_id)
        if tracked is None:
            self._gate.remove_follower(request_id)
            return ()
        tracked.caller_left = True
        if tracked.followers or (tracked.phase is Phase.SENT and not tracked.may_repeat):
            return ()
        choice = tracked.choice
        sent = tracked.phase is Phase.SENT
        if tracked.phase is not Phase.QUEUED:
            self._placement.finish_request(request_id, AttemptResult.CANCELLED, now_ms)
            self._crash_isolation.record_end(tracked)
        self._admission.withdraw(request_id, now_ms)
        self._dispatcher.refuse(tracked, ErrorCode.CALLER_LEFT, now_ms)
        cancels: list[Action] = []
        if sent and choice is not None:
            cancels.append(Cancel(request_id=request_id, endpoint_id=choice.endpoint_id))
        return (*cancels, *self._dispatcher.dispatch_pool(tracked.pending.pool_id, now_ms))

    def find_handover_candidates(self, now_ms: int) -> tuple[HandoverCandidate, ...]:
        """Return the waiting requests to hand over, each again only after the retry interval."""
        return tuple(self._handover.due_candidates(self._gate.leaders(), now_ms))

    def hand_over(
        self, request_id: RequestId, successor: ForwardTo, now_ms: int
    ) -> tuple[Action, ...]:
        """Transfer the right to run a queued request to a peer that issued a ticket for it."""
        tracked = self._dispatcher.tracked_requests.get(request_id)
        if tracked is None or tracked.phase is not Phase.QUEUED:
            return ()
        if not self._gate.hand_over(tracked, successor, now_ms):
            return ()
        self._admission.withdraw(request_id, now_ms)
        del self._dispatcher.tracked_requests[request_id]
        return tuple(
            Forward(
                request_id=name,
                vm_id=successor.home_id,
                reason=ForwardReason.HOME,
                ticket=successor.ticket,
            )
            for name in (request_id, *tracked.followers)
        )

    # Time and peers.

    def tick(self, now_ms: int) -> tuple[Action, ...]:
        """Advance time: refuse expired requests, renew leases, start and hand over requests."""
        actions = list(self._dispatcher.refuse_all(self._admission.expire(now_ms), now_ms))
        self._gate.expire(now_ms)
        demand = {
            pool_id: self._admission.demand(pool_id) for pool_id in self._admission.active_pools()
        }
        actions.extend(self._leases.due_recalls(now_ms))
        actions.extend(self._leases.due_requests(demand, now_ms))
        actions.extend(self._dispatcher.dispatch_all_pools(now_ms))
        actions.extend(self._dispatcher.hand_over_waiting(now_ms))
        return tuple(actions)

    def handle_lease_request(self, request: LeaseRequest, now_ms: int) -> tuple[Action, ...]:
        """Return the grant for another node's request for credits, if any."""
        grant = self._leases.grant_credits(request, now_ms)
        if grant is None:
            return ()
        return (SendLeaseGrant(node_id=request.node_id, grant=grant),)

    def handle_lease_grant(self, grant: LeaseGrant, now_ms: int) -> tuple[Action, ...]:
        """Apply a steward's grant and start the requests that it allows."""
        self._placement.apply_grant(grant, now_ms)
        return tuple(self._dispatcher.dispatch_all_pools(now_ms))

    def handle_lease_recall(self, recall: LeaseRecall, now_ms: int) -> None:
        """Release a lease on an endpoint that its steward marked cold."""
        self._placement.apply_recall(recall, now_ms)

    def quarantine_summary(self, now_ms: int) -> QuarantineSummary:
        """Return the summary for peers of the requests that crash endpoints."""
        return self._quarantine.summary(now_ms)

    def merge_quarantine(self, summary: QuarantineSummary, now_ms: int) -> None:
        """Merge a peer's summary of the requests that crash endpoints."""
        self._quarantine.merge(summary, now_ms)

    # Summaries for peers and operators.

    def load_by_pool(self) -> tuple[PoolLoad, ...]:
        """Return the tracked requests by pool, as counts of queued and in flight."""
        return summarize_load(self._dispatcher.tracked_requests.values())

    def spare_credits(self, now_ms: int) -> int:
        """Return the number of further requests that this node's credits allow."""
        return sum(
            max(0, view.allowed - view.in_flight) for view in self._placement.endpoint_views(now_ms)
        )

    def endpoint_views(self, now_ms: int) -> tuple[EndpointView, ...]:
        """Return this node's view of every tracked endpoint."""
        return self._placement.endpoint_views(now_ms)

    def steward_id(self, endpoint_id: EndpointId) -> VmId | None:
        """Return the steward of a tracked endpoint, or None."""
        return self._placement.steward_id(endpoint_id)

    def quarantine_evidence(self, now_ms: int) -> tuple[QuarantineEntry, ...]:
        """Return the evidence against requests that crash endpoints."""
        return self._quarantine.list_entries(now_ms)
