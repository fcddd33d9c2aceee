"""Assessment of whether a failure domain can be switched off."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from wagtailusher_cli.client import Reply
from wagtailusher_cli.const import SETTLING_TIME_MS
from wagtailusher_operator.models import DrainAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainProgress:
    """The progress of a drain, and the reasons against switching the failure domain off."""

    failure_domain_id: str
    in_flight: int
    queued: int
    held_up_by: tuple[str, ...]

    @property
    def safe(self) -> bool:
        """Return whether the failure domain can be switched off."""
        return not self.held_up_by


def assess_drain(failure_domain_id: str, replies: Sequence[Reply[DrainAnswer]]) -> DrainProgress:
    """Return a drain's progress; a VM whose state is unknown keeps it from being safe."""
    answers = [reply.answer for reply in replies if reply.answer is not None]
    reasons = [
        f"{reply.address}: {reply.problem or 'the failure domain is not known there'}"
        for reply in replies
        if reply.answer is None
    ]
    for answer in answers:
        reasons.extend(_find_vm_blockers(answer))
    reasons.extend(_find_unanswering_vm_blockers(answers))
    reasons.extend(_find_endpoint_blockers(answers))
    return DrainProgress(
        failure_domain_id=failure_domain_id,
        in_flight=sum(answer.in_flight for answer in answers),
        queued=sum(answer.queued for answer in answers),
        held_up_by=tuple(dict.fromkeys(reasons)),
    )


def _find_vm_blockers(answer: DrainAnswer) -> Iterator[str]:
    """Yield the reasons against switching off that one entry VM reports of itself."""
    reporter_id = answer.vm_id
    if not answer.ordered:
        yield f"{reporter_id}: revision {answer.revision} doesn't take the failure domain out"
    if answer.in_flight:
        yield f"{reporter_id}: {answer.in_flight} in flight"
    if answer.queued:
        yield f"{reporter_id}: {answer.queued} queued"
    started_ms = answer.last_start_age_ms
    if started_ms is not None and started_ms < SETTLING_TIME_MS:
        yield f"{reporter_id}: started work {started_ms} ms ago"


def _find_unanswering_vm_blockers(answers: Iterable[DrainAnswer]) -> Iterator[str]:
    """Yield the reasons of entry VMs that did not answer, as reported by others."""
    received = list(answers)
    answered = {answer.vm_id for answer in received}
    for answer in received:
        for vm in answer.vms:
            if vm.vm_id in answered:
                continue
            if vm.in_flight is None:
                yield f"{vm.vm_id}: its work is not known"
            elif vm.in_flight:
                yield f"{vm.vm_id}: {vm.in_flight} in flight"


def _find_endpoint_blockers(answers: Iterable[DrainAnswer]) -> Iterator[str]:
    """Yield the endpoints that report running work.

    A failure domain without endpoints is a reason too, since its name may be mistyped.
    """
    received = list(answers)
    if not any(answer.endpoints for answer in received):
        yield "no endpoint is listed in this failure domain; check its name"
    for answer in received:
        for endpoint in answer.endpoints:
            if endpoint.reported_running:
                yield f"{endpoint.endpoint_id}: reports {endpoint.reported_running} running"
