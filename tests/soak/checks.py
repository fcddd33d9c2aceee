"""Checks the guarantees to callers and endpoints against what both observed."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from http import HTTPStatus
from itertools import chain, repeat

from tests.soak.const import (
    COLD_OVERAGE,
    COLD_PER_S,
    COLD_SLACK,
    CONFIG_APPLY_MS,
    DRAIN_MS,
    FAULT_FREE_MS,
    MS_PER_S,
    RECOVERY_MS,
    SERVED_SHARE,
    SOFTWARE_VERSIONS,
    STREAM_EVENTS,
)
from tests.soak.observations import MEMBERS, CallerAnswer, Execution, Kind, Observations
from tests.soak.stream_checks import check_lost, check_software_versions, event_versions

NOT_RUN = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that guarantee that the request was not executed and never will be."""

DENIED = frozenset({HTTPStatus.UNAUTHORIZED, HTTPStatus.FORBIDDEN, HTTPStatus.NOT_FOUND})

PROBE_BODY = b"version "
"""Prefix of the answer to a probe, followed by the configuration version."""

STREAMS = frozenset({Kind.REVIEW, Kind.CHAT})
REPEATABLE = frozenset({Kind.LOOK, Kind.REVIEW, Kind.PROBE})

Check = Callable[[Observations], Iterator[str]]


def expected_body(
    attempt_id: str, kind: Kind, after: int = 0, versions: Sequence[str] = ()
) -> bytes:
    """Return the complete answer of a fault-free endpoint.

    A stream begins after event `after`; `versions` wrote its first events.
    """
    if kind not in STREAMS:
        return f"done {attempt_id}".encode()
    numbers = range(after + 1, STREAM_EVENTS + 1)
    writers = chain(versions, repeat(SOFTWARE_VERSIONS[0]))
    return b"".join(map(stream_event, repeat(attempt_id), numbers, writers))


def stream_event(attempt_id: str, number: int, software_version: str) -> bytes:
    """Return one server-sent event of a stream, with the software version that writes it."""
    return f"id: {number}\ndata: {attempt_id} {number} {software_version}\n\n".encode()


def check_once(observations: Observations) -> Iterator[str]:
    """Yield the requests that are not repeatable but were executed more than once."""
    executed = Counter(execution.attempt_id for execution in observations.executions)
    for attempt_id, count in executed.items():
        sent = observations.sent.get(attempt_id)
        if sent is not None and sent.kind not in REPEATABLE and count > 1:
            yield f"{sent.kind} {attempt_id} was executed {count} times"


def check_refusals(observations: Observations) -> Iterator[str]:
    """Yield the executed requests whose answer guarantees that they are never executed."""
    executed = {execution.attempt_id for execution in observations.executions}
    for answer in observations.answered:
        sent = observations.sent[answer.attempt_id]
        if (
            sent.kind not in REPEATABLE
            and answer.status in NOT_RUN
            and answer.attempt_id in executed
        ):
            yield f"{sent.kind} {answer.attempt_id} was executed but answered {answer.status}"


def check_bodies(observations: Observations) -> Iterator[str]:
    """Yield successful answers that are not the endpoint's answer to the same request.

    Any version may write any event here; `check_software_versions` compares the versions.
    """
    for answer in observations.answered:
        sent = observations.sent[answer.attempt_id]
        kind = sent.kind
        if answer.status != HTTPStatus.OK or kind is Kind.PROBE:
            continue
        versions = event_versions(answer.body)
        expected = expected_body(answer.attempt_id, kind, sent.resumes_after, versions)
        if answer.is_complete and answer.body != expected:
            yield f"{answer.attempt_id} received {answer.body[:80]!r}, not {expected[:80]!r}"
        if not answer.is_complete and not expected.startswith(answer.body):
            yield f"{answer.attempt_id} received wrong bytes before its answer was cut off"


def check_quarantine(observations: Observations) -> Iterator[str]:
    """Yield requests that were refused as crashing endpoints; none does, whatever they fail at."""
    for answer in observations.answered:
        if answer.status != HTTPStatus.OK and b'"quarantined"' in answer.body:
            yield f"{answer.attempt_id} was refused as a request that crashes endpoints"


def check_executions(observations: Observations) -> Iterator[str]:
    """Yield executions that differ from the caller's request or its key's workspace."""
    for execution in observations.executions:
        sent = observations.sent.get(execution.attempt_id)
        if sent is None:
            yield f"{execution.endpoint_id} executed {execution.attempt_id}, which no caller sent"
        elif sent.path != execution.path:
            yield f"{execution.attempt_id} was sent to {sent.path} and executed as {execution.path}"
        elif execution.workspace != sent.workspace:
            yield f"{execution.attempt_id} of {sent.workspace} executed for {execution.workspace!r}"


def check_keys(observations: Observations) -> Iterator[str]:
    """Yield requests executed after their key was revoked, and denials of a valid key."""
    for answer in observations.answered:
        sent = observations.sent[answer.attempt_id]
        if answer.status in DENIED and sent.workspace == MEMBERS:
            yield f"{answer.attempt_id} was denied with {answer.status}"
    for start_ms, end_ms, workspace in _periods(observations, "revoke", "restore"):
        for execution in observations.executions:
            sent_request = observations.sent.get(execution.attempt_id)
            if sent_request is None or sent_request.workspace != workspace:
                continue
            is_late = start_ms + CONFIG_APPLY_MS < sent_request.at_ms and execution.at_ms < end_ms
            if is_late and _was_routed_without_fault(observations, execution):
                yield f"{execution.attempt_id} was executed with a revoked key"


def check_drained(observations: Observations) -> Iterator[str]:
    """Yield executions at a draining endpoint after `DRAIN_MS`, routed without a fault."""
    for change in observations.changes:
        if change.change_kind != "drain":
            continue
        for execution in observations.executions:
            late = (
                execution.endpoint_id == change.subject
                and execution.at_ms > change.at_ms + DRAIN_MS
            )
            if late and _was_routed_without_fault(observations, execution):
                yield f"{execution.attempt_id} reached {execution.endpoint_id}, which is draining"


def check_cold(observations: Observations) -> Iterator[str]:
    """Yield the cold endpoints that received more than the fleet-wide limit in any second."""
    limit = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    executions = defaultdict(list)
    for execution in observations.executions:
        executions[execution.endpoint_id].append(execution.at_ms)
    for start_ms, end_ms, endpoint_id in _periods(observations, "cold", "warm"):
        times = sorted(at_ms for at_ms in executions[endpoint_id] if start_ms <= at_ms < end_ms)
        for at_ms in times:
            count = sum(1 for other in times if at_ms <= other < at_ms + MS_PER_S)
            if count > limit:
                yield f"{endpoint_id} was cold and received {count} requests in a second"
                break


def check_versions(observations: Observations) -> Iterator[str]:
    """Yield VMs that apply a configuration too late without a fault, or revert to an older one."""
    changes = [change for change in observations.changes if change.change_kind == "version"]
    for answer in observations.answered:
        sent = observations.sent[answer.attempt_id]
        version = _version_of(answer)
        if version is None:
            continue
        due_versions = [
            int(change.subject) for change in changes if change.at_ms + CONFIG_APPLY_MS < sent.at_ms
        ]
        is_unaffected = observations.is_fault_free((sent.entry,), sent.at_ms, FAULT_FREE_MS)
        if is_unaffected and version < max(due_versions, default=0):
            yield (
                f"{sent.entry} used version {version} for {answer.attempt_id}, "
                f"due {max(due_versions)}"
            )
    yield from _check_never_reverts(observations)


def _check_never_reverts(observations: Observations) -> Iterator[str]:
    """Yield the VMs that used an older version for a request sent after a newer one was used."""
    newest: dict[tuple[str, int], tuple[int, int]] = {}
    for answer in sorted(observations.answered, key=lambda item: item.at_ms):
        sent = observations.sent[answer.attempt_id]
        version = _version_of(answer)
        if version is None:
            continue
        process = (sent.entry, sent.incarnation)
        newest_version, newest_ms = newest.get(process, (0, 0))
        if version < newest_version and sent.at_ms > newest_ms:
            yield f"{sent.entry} reverted from version {newest_version} to {version}"
        if version > newest_version:
            newest[process] = (version, answer.at_ms)


def check_recovery(observations: Observations) -> Iterator[str]:
    """Yield if too few requests are served after `RECOVERY_MS`, or a process exited early."""
    late = {
        attempt_id
        for attempt_id, sent in observations.sent.items()
        if sent.at_ms > observations.faults_ended_ms + RECOVERY_MS
    }
    served = sum(
        1
        for answer in observations.answered
        if answer.attempt_id in late and answer.status == HTTPStatus.OK and answer.is_complete
    )
    if served < SERVED_SHARE * len(late):
        yield f"{served} of {len(late)} requests were served after the faults"
    for name in observations.unexpected_exits:
        yield f"{name} exited unexpectedly"


def _version_of(answer: CallerAnswer) -> int | None:
    """Return the configuration version that routed a probe, or None for other answers."""
    if answer.status == HTTPStatus.OK and answer.is_complete and answer.body.startswith(PROBE_BODY):
        return int(answer.body.removeprefix(PROBE_BODY))
    return None


def _was_routed_without_fault(observations: Observations, execution: Execution) -> bool:
    """Return whether the request's entry VM and its link to the endpoint were fault-free."""
    sent = observations.sent.get(execution.attempt_id)
    if sent is None:
        return False
    return observations.is_fault_free(
        (sent.entry, execution.endpoint_id), execution.at_ms, FAULT_FREE_MS
    )


def _periods(observations: Observations, first: str, last: str) -> Iterator[tuple[int, int, str]]:
    """Yield start, end and subject of each period between two kinds of change."""
    started_ms_by_subject: dict[str, int] = {}
    for change in sorted(observations.changes, key=lambda item: item.at_ms):
        if change.change_kind == first:
            started_ms_by_subject[change.subject] = change.at_ms
        elif change.change_kind == last and change.subject in started_ms_by_subject:
            yield started_ms_by_subject.pop(change.subject), change.at_ms, change.subject


CHECKS: tuple[Check, ...] = (
    check_once,
    check_refusals,
    check_bodies,
    check_quarantine,
    check_executions,
    check_keys,
    check_drained,
    check_cold,
    check_versions,
    check_software_versions,
    check_lost,
    check_recovery,
)


def find_violations(observations: Observations) -> list[str]:
    """Return all violations, each prefixed with the name of its check."""
    return [f"{check.__name__}: {text}" for check in CHECKS for text in check(observations)]
