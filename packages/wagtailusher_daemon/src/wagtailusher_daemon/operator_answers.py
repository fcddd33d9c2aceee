"""Builds the answers of the operator interface from the daemon's state."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import FailureDomainId, Revision
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_daemon.request_log import RequestLog, RequestRecord
from wagtailusher_daemon.usage import UsageStats
from wagtailusher_membership import Member
from wagtailusher_operator.models import (
    AttemptAnswer,
    BooksAnswer,
    CandidateAnswer,
    ClassBooksAnswer,
    DrainAnswer,
    DrainEndpointAnswer,
    DrainVmAnswer,
    EndpointAnswer,
    EndpointBooksAnswer,
    EndpointsAnswer,
    FingerprintAnswer,
    MemberAnswer,
    PoolBooksAnswer,
    ProblemAnswer,
    QuarantineAnswer,
    RefusalAnswer,
    RefusalCountAnswer,
    RefusalsAnswer,
    RequestAnswer,
    SettingsAnswer,
    SettingsRefusalAnswer,
)
from wagtailusher_placement import CandidateScore, EndpointView
from wagtailusher_quarantine import QuarantineEntry
from wagtailusher_settings import Rejected, Settings


def member_answer(member: Member, revision: Revision | None, now_ms: int) -> MemberAnswer:
    """Return the answer on one member as this VM sees it."""
    return MemberAnswer(
        vm_id=member.vm_id,
        failure_domain_id=member.failure_domain_id,
        state=str(member.state),
        address=member.address,
        incarnation=member.incarnation,
        revision=None if revision is None else str(revision),
        heard_age_ms=max(0, now_ms - member.state_since_ms),
    )


def endpoints_answer(
    vm_id: str, views: Iterable[EndpointView], fleet: FleetView, stewards: dict[str, str | None]
) -> EndpointsAnswer:
    """Return the answer on the endpoints as this VM sees them."""
    return EndpointsAnswer(
        vm_id=vm_id, endpoints=[_endpoint_answer(view, fleet, stewards) for view in views]
    )


def _endpoint_answer(
    view: EndpointView, fleet: FleetView, stewards: dict[str, str | None]
) -> EndpointAnswer:
    info = fleet.endpoints.get(view.endpoint_id)
    return EndpointAnswer(
        endpoint_id=view.endpoint_id,
        failure_domain_id=view.failure_domain_id,
        state=str(view.state),
        address=info.address if info is not None else "",
        pool_ids=sorted(info.pool_ids) if info is not None else [],
        in_flight=view.in_flight,
        allowed=view.allowed,
        cold=view.cold,
        drained=view.drained,
        ejected=view.ejected,
        slowness=view.slowness,
        report_age_ms=view.report_age_ms,
        opens_in_ms=view.opens_in_ms,
        steward_id=stewards.get(view.endpoint_id),
    )


def settings_answer(
    vm_id: str,
    settings: Settings | None,
    applied_ms: int | None,
    refusal: Rejected | None,
    service_problem: str | None,
    now_ms: int,
) -> SettingsAnswer:
    """Return the answer on the current settings and the last rejected document."""
    drained = settings.fleet.drained_domains if settings is not None else frozenset()
    return SettingsAnswer(
        vm_id=vm_id,
        revision=None if settings is None else str(settings.revision),
        applied_age_ms=None if applied_ms is None else now_ms - applied_ms,
        drained_domains=sorted(drained),
        refusal=None if refusal is None else _settings_refusal(refusal, now_ms),
        service_problem=service_problem,
    )


def _settings_refusal(refusal: Rejected, now_ms: int) -> SettingsRefusalAnswer:
    return SettingsRefusalAnswer(
        code=str(refusal.code),
        problems=[
            ProblemAnswer(
                key=problem.key, reason=problem.reason, line=problem.line, column=problem.column
            )
            for problem in refusal.problems
        ],
        revision=None if refusal.revision is None else str(refusal.revision),
        age_ms=now_ms - refusal.at_ms,
        count=refusal.count,
    )


def quarantine_answer(vm_id: str, entries: Iterable[QuarantineEntry]) -> QuarantineAnswer:
    """Return the answer on the fingerprints of requests that crashed endpoints."""
    return QuarantineAnswer(
        vm_id=vm_id,
        fingerprints=[
            FingerprintAnswer(
                fingerprint=entry.fingerprint,
                quarantined=entry.quarantined,
                endpoint_ids=list(entry.endpoint_ids),
                age_ms=entry.age_ms,
            )
            for entry in entries
        ],
    )


def refusals_answer(vm_id: str, request_log: RequestLog, now_ms: int) -> RefusalsAnswer:
    """Return the answer on the latest refusals, newest first, and the counts since the start."""
    return RefusalsAnswer(
        vm_id=vm_id,
        counts=[
            RefusalCountAnswer(code=str(code), tier=tier, count=count)
            for (code, tier), count in sorted(request_log.refusal_counts.items())
        ],
        refusals=[
            RefusalAnswer(
                code=str(refusal.code),
                outcome=str(refusal.outcome),
                age_ms=now_ms - refusal.at_ms,
                workspace_id=refusal.record.arrival.policy.key.workspace_id,
                class_id=refusal.record.arrival.policy.key.class_id,
                tier=refusal.record.arrival.policy.tier,
                trace_id=refusal.record.trace_id,
            )
            for refusal in reversed(request_log.refusals)
        ],
    )


def request_answer(vm_id: str, record: RequestRecord) -> RequestAnswer:
    """Return the answer on one request: its state, result, attempts and compared candidates."""
    arrival = record.arrival
    policy = arrival.policy
    return RequestAnswer(
        vm_id=vm_id,
        trace_id=record.trace_id,
        request_id=arrival.request_id,
        workspace_id=policy.key.workspace_id,
        route_id=policy.route_id,
        class_id=policy.key.class_id,
        tier=policy.tier,
        pool_id=arrival.pool_id,
        state=record.state,
        outcome=str(record.outcome),
        code=None if record.code is None else str(record.code),
        queued_ms=record.queued_ms,
        first_token_ms=record.first_token_ms,
        total_ms=record.total_ms,
        target_met=record.target_met,
        forwarded_to=record.forwarded_to,
        attempts=[
            AttemptAnswer(
                endpoint_id=attempt.endpoint_id,
                started_after_ms=attempt.started_after_ms,
                end=attempt.end,
                candidates=[_candidate_answer(score) for score in attempt.candidates],
            )
            for attempt in record.attempts
        ],
    )


def _candidate_answer(score: CandidateScore) -> CandidateAnswer:
    return CandidateAnswer(
        endpoint_id=score.endpoint_id,
        score=score.score,
        own_tokens=score.own_tokens,
        reported_tokens=score.reported_tokens,
        prompt_tokens=score.prompt_tokens,
        cached_tokens=score.cached_tokens,
        slowness=score.slowness,
    )


def drain_answer(
    vm_id: str,
    domain_id: FailureDomainId,
    settings: Settings | None,
    views: Iterable[EndpointView],
    other_vm_ids: Iterable[str],
    last_start_age_ms: int | None,
) -> DrainAnswer:
    """Return the answer on this VM's requests in a failure domain; other VMs report their own."""
    domain_endpoints = [view for view in views if view.failure_domain_id == domain_id]
    drained = settings.fleet.drained_domains if settings is not None else frozenset()
    return DrainAnswer(
        vm_id=vm_id,
        failure_domain_id=domain_id,
        ordered=domain_id in drained,
        revision=None if settings is None else str(settings.revision),
        in_flight=sum(view.in_flight for view in domain_endpoints),
        last_start_age_ms=last_start_age_ms,
        endpoints=[
            DrainEndpointAnswer(endpoint_id=view.endpoint_id, in_flight=view.in_flight)
            for view in domain_endpoints
        ],
        vms=[DrainVmAnswer(vm_id=other_vm_id) for other_vm_id in other_vm_ids],
    )


def books_answer(vm_id: str, usage: UsageStats, fleet: FleetView, now_ms: int) -> BooksAnswer:
    """Return the answer on usage since the daemon started."""
    return BooksAnswer(
        vm_id=vm_id,
        span_ms=now_ms - usage.since_ms,
        endpoints=_endpoint_books(usage, fleet, now_ms),
        classes=[
            ClassBooksAnswer(
                workspace_id=key.workspace_id,
                class_id=key.class_id,
                tier=class_usage.tier,
                pool_ids=sorted(class_usage.pool_ids),
                finished=class_usage.finished,
                met=class_usage.met,
            )
            for key, class_usage in usage.classes.items()
        ],
        pools=[
            PoolBooksAnswer(
                pool_id=pool_id,
                mean_in_flight=load.mean_in_flight(usage.since_ms, now_ms),
                peak_in_flight=load.peak_in_flight,
            )
            for pool_id, load in usage.pools.items()
        ],
    )


def _endpoint_books(usage: UsageStats, fleet: FleetView, now_ms: int) -> list[EndpointBooksAnswer]:
    """Return the usage of every published endpoint, including idle ones."""
    answers = []
    for info in fleet.endpoints.values():
        endpoint_usage = usage.endpoints.get(info.endpoint_id)
        mean = (
            endpoint_usage.load.mean_in_flight(usage.since_ms, now_ms)
            if endpoint_usage is not None
            else 0.0
        )
        answers.append(
            EndpointBooksAnswer(
                endpoint_id=info.endpoint_id,
                failure_domain_id=info.failure_domain_id,
                pool_ids=sorted(info.pool_ids),
                concurrency_limit=info.concurrency_limit,
                mean_in_flight=mean,
                peak_in_flight=(
                    endpoint_usage.load.peak_in_flight if endpoint_usage is not None else 0
                ),
                completed=endpoint_usage.completed if endpoint_usage is not None else 0,
                good_tokens=endpoint_usage.good_tokens if endpoint_usage is not None else 0,
                wasted_tokens=endpoint_usage.wasted_tokens if endpoint_usage is not None else 0,
            )
        )
    return answers
