"""Checks the promises to callers and endpoints against what both saw."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from http import HTTPStatus

from tests.soak.const import (
    COLD_OVERAGE,
    COLD_PER_S,
    COLD_SLACK,
    CONFIG_APPLY_MS,
    CONTACT_MS,
    DRAIN_MS,
    MS_PER_S,
    RECOVERY_MS,
    SERVED_SHARE,
    STREAM_EVENTS,
)
from tests.soak.observations import MEMBERS, Answered, Kind, Observations, Run

NOT_RUN = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
"""Statuses that promise that the request has not run and never will."""

DENIED = frozenset({HTTPStatus.UNAUTHORIZED, HTTPStatus.FORBIDDEN, HTTPStatus.NOT_FOUND})

PROBE_BODY = b"version "
"""What an answer to a probe begins with; its version follows."""

STREAMS = frozenset({Kind.REVIEW, Kind.CHAT})
MAY_REPEAT = frozenset({Kind.LOOK, Kind.REVIEW, Kind.PROBE})

Check = Callable[[Observations], Iterator[str]]


def expected_body(attempt_id: str, kind: Kind) -> bytes:
    """Return the whole answer of a sound endpoint."""
    if kind not in STREAMS:
        return f"done {attempt_id}".encode()
    return b"".join(event(attempt_id, number) for number in range(1, STREAM_EVENTS + 1))


def event(attempt_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


def check_once(seen: Observations) -> Iterator[str]:
    """What may run at most once runs at most once."""
    ran = Counter(run.attempt_id for run in seen.runs)
    for attempt_id, count in ran.items():
        sent = seen.sent.get(attempt_id)
        if sent is not None and sent.kind not in MAY_REPEAT and count > 1:
            yield f"{sent.kind} {attempt_id} ran {count} times"


def check_refusals(seen: Observations) -> Iterator[str]:
    """A refusal that promises that the request has not run is true, also afterwards."""
    ran = {run.attempt_id for run in seen.runs}
    for answer in seen.answered:
        sent = seen.sent[answer.attempt_id]
        if sent.kind not in MAY_REPEAT and answer.status in NOT_RUN and answer.attempt_id in ran:
            yield f"{sent.kind} {answer.attempt_id} ran and was answered {answer.status}"


def check_bodies(seen: Observations) -> Iterator[str]:
    """A success that looks whole is the endpoint's whole answer to this very request."""
    for answer in seen.answered:
        kind = seen.sent[answer.attempt_id].kind
        if answer.status != HTTPStatus.OK or kind is Kind.PROBE:
            continue
        expected = expected_body(answer.attempt_id, kind)
        if answer.is_whole and answer.body != expected:
            yield f"{answer.attempt_id} got {answer.body[:80]!r}, not {expected[:80]!r}"
        if not answer.is_whole and not expected.startswith(answer.body):
            yield f"{answer.attempt_id} got other bytes before its answer broke off"


def check_asked(seen: Observations) -> Iterator[str]:
    """Endpoints run only what callers sent, unchanged, for the workspace that holds the key."""
    for run in seen.runs:
        sent = seen.sent.get(run.attempt_id)
        if sent is None:
            yield f"{run.endpoint_id} ran {run.attempt_id}, which nobody sent"
        elif sent.path != run.path:
            yield f"{run.attempt_id} was sent to {sent.path} and ran as {run.path}"
        elif run.workspace != sent.workspace:
            yield f"{run.attempt_id} of {sent.workspace} ran for {run.workspace!r}"


def check_keys(seen: Observations) -> Iterator[str]:
    """A key that was taken away lets nobody in after its time, and one in force always does."""
    for answer in seen.answered:
        sent = seen.sent[answer.attempt_id]
        if answer.status in DENIED and sent.workspace == MEMBERS:
            yield f"{answer.attempt_id} was denied with {answer.status}"
    for start_ms, end_ms, workspace in _spans(seen, "revoke", "restore"):
        for run in seen.runs:
            sent_run = seen.sent.get(run.attempt_id)
            if sent_run is None or sent_run.workspace != workspace:
                continue
            is_late = start_ms + CONFIG_APPLY_MS < sent_run.at_ms and run.at_ms < end_ms
            if is_late and _came_by_calm_vm(seen, run):
                yield f"{run.attempt_id} ran with a key that was taken away"


def check_drained(seen: Observations) -> Iterator[str]:
    """A draining endpoint gets nothing from calm VMs after its time."""
    for change in seen.changes:
        if change.what != "drain":
            continue
        for run in seen.runs:
            late = run.endpoint_id == change.subject and run.at_ms > change.at_ms + DRAIN_MS
            if late and _came_by_calm_vm(seen, run):
                yield f"{run.attempt_id} reached {run.endpoint_id}, which drains"


def check_cold(seen: Observations) -> Iterator[str]:
    """A cold endpoint gets no more in any second than its limit, from all VMs together."""
    limit = COLD_PER_S * COLD_OVERAGE + COLD_SLACK
    runs = defaultdict(list)
    for run in seen.runs:
        runs[run.endpoint_id].append(run.at_ms)
    for start_ms, end_ms, endpoint_id in _spans(seen, "cold", "warm"):
        times = sorted(at_ms for at_ms in runs[endpoint_id] if start_ms <= at_ms < end_ms)
        for at_ms in times:
            count = sum(1 for other in times if at_ms <= other < at_ms + MS_PER_S)
            if count > limit:
                yield f"{endpoint_id} was cold and got {count} requests in a second"
                break


def check_versions(seen: Observations) -> Iterator[str]:
    """A configuration is in force in time on calm VMs, and never goes back on one VM."""
    changes = [change for change in seen.changes if change.what == "version"]
    for answer in seen.answered:
        sent = seen.sent[answer.attempt_id]
        version = _version_of(answer)
        if version is None:
            continue
        due = [
            int(change.subject) for change in changes if change.at_ms + CONFIG_APPLY_MS < sent.at_ms
        ]
        calm = seen.is_calm((sent.entry,), sent.at_ms, CONTACT_MS)
        if calm and version < max(due, default=0):
            yield f"{sent.entry} used version {version} for {answer.attempt_id}, due {max(due)}"
    yield from _check_no_return(seen)


def _check_no_return(seen: Observations) -> Iterator[str]:
    """Requests that one VM took one after the other never see an older version."""
    newest: dict[tuple[str, int], tuple[int, int]] = {}
    for answer in sorted(seen.answered, key=lambda item: item.at_ms):
        sent = seen.sent[answer.attempt_id]
        version = _version_of(answer)
        if version is None:
            continue
        process = (sent.entry, sent.incarnation)
        known, known_ms = newest.get(process, (0, 0))
        if version < known and sent.at_ms > known_ms:
            yield f"{sent.entry} went back from version {known} to {version}"
        if version > known:
            newest[process] = (version, answer.at_ms)


def check_recovery(seen: Observations) -> Iterator[str]:
    """Some seconds after the last fault requests are served, by processes that still run."""
    late = {
        attempt_id
        for attempt_id, sent in seen.sent.items()
        if sent.at_ms > seen.calm_from_ms + RECOVERY_MS
    }
    served = sum(
        1
        for answer in seen.answered
        if answer.attempt_id in late and answer.status == HTTPStatus.OK and answer.is_whole
    )
    if served < SERVED_SHARE * len(late):
        yield f"{served} of {len(late)} requests were served after the faults"
    for name in seen.ended_alone:
        yield f"{name} ended by itself"


def _version_of(answer: Answered) -> int | None:
    """Return the version by which a probe was routed."""
    if answer.status == HTTPStatus.OK and answer.is_whole and answer.body.startswith(PROBE_BODY):
        return int(answer.body.removeprefix(PROBE_BODY))
    return None


def _came_by_calm_vm(seen: Observations, run: Run) -> bool:
    """Tell whether the VM that took a request, and its link to the endpoint, had no fault."""
    sent = seen.sent.get(run.attempt_id)
    if sent is None:
        return False
    return seen.is_calm((sent.entry, run.endpoint_id), run.at_ms, CONTACT_MS)


def _spans(seen: Observations, first: str, last: str) -> Iterator[tuple[int, int, str]]:
    """Yield from when to when each subject was between two kinds of change."""
    began: dict[str, int] = {}
    for change in sorted(seen.changes, key=lambda item: item.at_ms):
        if change.what == first:
            began[change.subject] = change.at_ms
        elif change.what == last and change.subject in began:
            yield began.pop(change.subject), change.at_ms, change.subject


CHECKS: tuple[Check, ...] = (
    check_once,
    check_refusals,
    check_bodies,
    check_asked,
    check_keys,
    check_drained,
    check_cold,
    check_versions,
    check_recovery,
)


def violations(seen: Observations) -> list[str]:
    """Return every broken promise."""
    return [f"{check.__name__}: {text}" for check in CHECKS for text in check(seen)]
