"""Whether a failure domain can be switched off."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from wagtailusher_cli.client import Reply
from wagtailusher_cli.const import SETTLING_TIME_MS
from wagtailusher_operator.models import DrainAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainProgress:
    """How far a drain is; it is safe when nothing holds it up."""

    failure_domain_id: str
    in_flight: int
    queued: int
    held_up_by: tuple[str, ...]

    @property
    def safe(self) -> bool:
        """Return whether the failure domain can be switched off."""
        return not self.held_up_by


def judge_drain(failure_domain_id: str, replies: Sequence[Reply[DrainAnswer]]) -> DrainProgress:
    """Return a drain's progress; what is not known holds it up."""
    answers = [reply.answer for reply in replies if reply.answer is not None]
    reasons = [
        f"{reply.address}: {reply.problem or 'the failure domain is not known there'}"
        for reply in replies
        if reply.answer is None
    ]
    for answer in answers:
        reasons.extend(_judge_vm(answer))
    reasons.extend(_judge_others(answers))
    reasons.extend(_judge_endpoints(answers))
    return DrainProgress(
        failure_domain_id=failure_domain_id,
        in_flight=sum(answer.in_flight for answer in answers),
        queued=sum(answer.queued for answer in answers),
        held_up_by=tuple(dict.fromkeys(reasons)),
    )


def _judge_vm(answer: DrainAnswer) -> Iterator[str]:
    """Yield what an entry VM's own work holds up."""
    name = answer.vm_id
    if not answer.ordered:
        yield f"{name}: revision {answer.revision} doesn't take the failure domain out"
    if answer.in_flight:
        yield f"{name}: {answer.in_flight} in flight"
    if answer.queued:
        yield f"{name}: {answer.queued} queued"
    started_ms = answer.last_start_age_ms
    if started_ms is not None and started_ms < SETTLING_TIME_MS:
        yield f"{name}: started work {started_ms} ms ago"


def _judge_others(answers: Iterable[DrainAnswer]) -> Iterator[str]:
    """Yield what entry VMs hold up that didn't answer themselves."""
    known = list(answers)
    answered = {answer.vm_id for answer in known}
    for answer in known:
        for vm in answer.vms:
            if vm.vm_id in answered:
                continue
            if vm.in_flight is None:
                yield f"{vm.vm_id}: its work is not known"
            elif vm.in_flight:
                yield f"{vm.vm_id}: {vm.in_flight} in flight"


def _judge_endpoints(answers: Iterable[DrainAnswer]) -> Iterator[str]:
    """Yield what endpoints hold up by their own reports; a mistyped name has none."""
    known = list(answers)
    if not any(answer.endpoints for answer in known):
        yield "no endpoint is listed in this failure domain; check its name"
    for answer in known:
        for endpoint in answer.endpoints:
            if endpoint.reported_running:
                yield f"{endpoint.endpoint_id}: reports {endpoint.reported_running} running"
