"""Checks that streams go on at the software version that began them, and that enough go on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
import re

from tests.soak.const import (
    LOST_SHARE,
    MIN_LOST_ENDPOINTS,
    MIN_LOST_STREAMS,
    SOFTWARE_VERSIONS,
)
from tests.soak.observations import MEMBERS, CallerAnswer, Kind, Observations, SentRequest

_VERSION = re.compile(rb" (%s)\b" % "|".join(SOFTWARE_VERSIONS).encode())


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamCounts:
    """What became of the resumable streams that members sent to VMs without a fault."""

    new: int
    begun: int
    """New streams of which the first event arrived."""
    taken_up: int
    """Streams taken up while enough endpoints of their version serve."""
    gone_on: int
    """Streams taken up of which a later try brought an event."""
    refused: int
    """Streams taken up whose tries were all refused with 503."""

    def __str__(self) -> str:
        """Return the counts in words."""
        return (
            f"{self.begun} of {self.new} new streams began, {self.taken_up} were taken up, "
            f"{self.gone_on} went on, {self.refused} were refused"
        )


def event_versions(body: bytes) -> list[str]:
    """Return the software versions that wrote the events of a body, in order."""
    return [version.decode() for version in _VERSION.findall(body)]


def check_software_versions(observations: Observations) -> Iterator[str]:
    """Yield streams with events of two versions, in one answer or over their tries."""
    for stream_id, answers in _answers_by_stream(observations).items():
        if len({version for answer in answers for version in event_versions(answer.body)}) > 1:
            tries = "; ".join(
                f"{observations.sent[answer.attempt_id].entry} at {answer.at_ms} ms: "
                f"{event_versions(answer.body)}"
                for answer in answers
            )
            yield f"{stream_id} holds events of two versions: {tries}"


def check_lost(observations: Observations) -> Iterator[str]:
    """Yield if too few of the streams that were taken up went on."""
    counts = count_streams(observations)
    if counts.taken_up < MIN_LOST_STREAMS or not counts.new:
        return
    if counts.gone_on / counts.taken_up < LOST_SHARE * counts.begun / counts.new:
        yield f"too few streams went on: {counts}"


def count_streams(observations: Observations) -> StreamCounts:
    """Count the streams that began, were taken up, went on and were refused."""
    new = begun = taken_up = gone_on = refused = 0
    for answers in _answers_by_stream(observations).values():
        first, *later = answers
        sent = observations.sent[first.attempt_id]
        if sent.kind is not Kind.REVIEW or sent.workspace != MEMBERS:
            continue
        versions = event_versions(first.body)
        if _is_in_touch(observations, sent):
            new += 1
            begun += bool(versions)
        tries = [answer for answer in later if _is_counted(observations, answer, versions[0])]
        taken_up += bool(tries)
        gone_on += any(event_versions(answer.body) for answer in tries)
        refused += bool(tries) and all(
            answer.status == HTTPStatus.SERVICE_UNAVAILABLE for answer in tries
        )
    return StreamCounts(new=new, begun=begun, taken_up=taken_up, gone_on=gone_on, refused=refused)


def _answers_by_stream(observations: Observations) -> dict[str, list[CallerAnswer]]:
    """Return the answers to all tries of each stream, by the attempt that began it."""
    answers: defaultdict[str, list[CallerAnswer]] = defaultdict(list)
    for answer in observations.answered:
        answers[observations.sent[answer.attempt_id].stream_id].append(answer)
    return answers


def _is_counted(observations: Observations, answer: CallerAnswer, software_version: str) -> bool:
    """Return whether a try must go on: at a VM in touch, while enough endpoints serve."""
    sent = observations.sent[answer.attempt_id]
    return _is_in_touch(observations, sent) and all(
        _count_serving(observations, software_version, at_ms) >= MIN_LOST_ENDPOINTS
        for at_ms in (sent.at_ms, answer.at_ms)
    )


def _is_in_touch(observations: Observations, sent: SentRequest) -> bool:
    """Return whether neither the VM nor the store had a fault when a request was sent."""
    return observations.is_fault_free((sent.entry,), sent.at_ms, 0)


def _count_serving(observations: Observations, software_version: str, at_ms: int) -> int:
    """Return how many endpoints of a version served at a time."""
    steps = {"serve": 1, "leave": -1}
    return sum(
        steps.get(change.change_kind, 0)
        for change in observations.changes
        if change.subject == software_version and change.at_ms <= at_ms
    )
