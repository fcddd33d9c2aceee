"""A standalone router decider, and a driver that records the end of each request."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from wagtailusher_admission import AdmissionDecider, AdmissionLimits
from wagtailusher_core import (
    ClassId,
    ClassKey,
    EndpointId,
    FailureDomainId,
    Incarnation,
    Outcome,
    PoolId,
    RequestId,
    VmId,
    WorkspaceId,
)
from wagtailusher_once import OnceDecider, StoredAnswer, TicketIssuer
from wagtailusher_placement import (
    AttemptResult,
    EndpointInfo,
    PlacementDecider,
    StewardDecider,
)
from wagtailusher_quarantine import QuarantineDecider
from wagtailusher_router import (
    Action,
    ClassifiedRequest,
    Dispatch,
    Refuse,
    ReplayAnswer,
    RouterComponents,
    RouterDecider,
)
from wagtailusher_settings import ClassPolicy, DeadlineBehaviour

VM = VmId("entry-0")
DOMAIN = FailureDomainId("a")
POOL = PoolId("advisor")
INCARNATION = Incarnation(1)
ANSWER = StoredAnswer(status=200, body=b"booked")


def new_router(queue_limit: int = 100) -> RouterDecider:
    """Return a decider that needs no leases."""
    return RouterDecider(
        RouterComponents(
            vm_id=VM,
            admission=AdmissionDecider(AdmissionLimits(pool_queue_limit=queue_limit)),
            placement=PlacementDecider(vm_id=VM, failure_domain_id=DOMAIN, seed=1),
            steward=StewardDecider(vm_id=VM),
            once=OnceDecider(vm_id=VM, incarnation=INCARNATION),
            quarantine=QuarantineDecider(),
        )
    )


def endpoint(name: str, limit: int = 2) -> EndpointInfo:
    """Return an endpoint without a cold start."""
    return EndpointInfo(
        endpoint_id=EndpointId(name),
        pool_ids=frozenset({POOL}),
        failure_domain_id=DOMAIN,
        address=f"127.0.0.1:{8000 + sum(name.encode())}",
        concurrency_limit=limit,
        cold_limit=limit,
        resumes_streams=True,
    )


def policy(tier: int = 2, *, repeatable: bool = True, target_ms: int = 1_000) -> ClassPolicy:
    """Return a class of one workspace."""
    return ClassPolicy(
        key=ClassKey(WorkspaceId("members"), ClassId(f"class-{tier}-{repeatable}")),
        route_id="chat",
        tier=tier,
        pool_ids=(POOL,),
        first_token_target_ms=target_ms,
        between_tokens_target_ms=49,
        answer_target_ms=10 * target_ms,
        deadline_behaviour=DeadlineBehaviour.FAIL_FAST,
        repeatable=repeatable,
        queue_limit=100,
        in_flight_quota=None,
        share=0.0,
        weight=1.0,
        max_attempts=3,
    )


class RouterDriver:
    """Drives a decider and records the sends, results and outcomes of its requests."""

    def __init__(self, router: RouterDecider) -> None:
        """Drive `router`; issued tickets are valid for a minute."""
        self.router = router
        self.ticket_issuer = TicketIssuer(
            vm_id=VM, incarnation=INCARNATION, secret=b"s" * 16, lifetime_ms=60_000
        )
        self.running: dict[RequestId, Dispatch] = {}
        self.sent: defaultdict[RequestId, int] = defaultdict(int)
        self.results: defaultdict[RequestId, list[str]] = defaultdict(list)
        self.outcomes: dict[RequestId, Outcome] = {}
        self.held: set[RequestId] = set()

    def submit_request(
        self,
        name: str,
        class_policy: ClassPolicy,
        now_ms: int,
        *,
        ticket: str | None = None,
        fingerprint: str | None = None,
    ) -> RequestId:
        """Submit a request."""
        request_id = RequestId(name)
        self.held.add(request_id)
        classified = ClassifiedRequest(
            request_id=request_id,
            policy=class_policy,
            pool_id=POOL,
            fingerprint=fingerprint or name,
            body_digest=b"body",
            resumable=class_policy.repeatable,
            ticket=None if ticket is None else self.ticket_issuer.verify(ticket, now_ms),
        )
        self.apply(self.router.submit(classified, now_ms))
        return request_id

    def apply(self, actions: Iterable[Action]) -> None:
        """Record the effects of actions."""
        for action in actions:
            if isinstance(action, Dispatch):
                self.running[action.request_id] = action
            elif isinstance(action, Refuse):
                self._record_end(action.request_id, str(action.code))
                self.outcomes[action.request_id] = action.outcome
            elif isinstance(action, ReplayAnswer):
                self._record_end(action.request_id, "replayed")
                self.outcomes[action.request_id] = Outcome.COMPLETED

    def send(self, request_id: RequestId, now_ms: int) -> bool:
        """Send a dispatched request, or cancel its attempt when it may no longer be sent."""
        allowed = self.router.may_send(request_id, now_ms)
        if allowed:
            self.sent[request_id] += 1
        else:
            self.fail(request_id, AttemptResult.CANCELLED, now_ms)
        return allowed

    def complete(self, request_id: RequestId, now_ms: int) -> None:
        """Deliver a complete answer."""
        del self.running[request_id]
        self._record_end(request_id, "completed")
        self.outcomes[request_id] = Outcome.COMPLETED
        self.apply(self.router.handle_completion(request_id, ANSWER, now_ms))

    def fail(self, request_id: RequestId, result: AttemptResult, now_ms: int) -> None:
        """End an attempt without an answer."""
        del self.running[request_id]
        self.apply(self.router.handle_attempt_failure(request_id, result, now_ms))

    def disconnect(self, request_id: RequestId, now_ms: int) -> None:
        """Close the caller's connection."""
        actions = self.router.handle_caller_disconnect(request_id, now_ms)
        if request_id not in self.held:
            return
        self.running.pop(request_id, None)
        self.apply(actions)
        if not self.results[request_id]:
            self._record_end(request_id, "left")

    def _record_end(self, request_id: RequestId, result_name: str) -> None:
        """Record the end of a request."""
        self.held.discard(request_id)
        self.results[request_id].append(result_name)
