"""Bounded records of the requests that this incarnation accepted, refused or ran."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
import heapq

from wagtailusher_core import ErrorCode
from wagtailusher_once.submission_results import (
    AlreadyRefused,
    AnswerEvicted,
    ForwardTo,
    InProgress,
    OutcomeUnknown,
    Replay,
    StoredAnswer,
)


class RunState(StrEnum):
    """The progress of a request."""

    ACCEPTED = "accepted"
    HANDED_OVER = "handed_over"
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"


@dataclass(slots=True)
class LowWaterMark:
    """The latest timestamp up to which requests without a record are never run.

    A record may be removed only after the mark was raised to its timestamp, so a clock that is
    set back can't make a request run again.
    """

    timestamp_wall_ms: int | None = None

    def covers(self, timestamp_wall_ms: int) -> bool:
        """Return whether records of requests with this timestamp may have been removed."""
        return self.timestamp_wall_ms is not None and timestamp_wall_ms <= self.timestamp_wall_ms

    def raise_to(self, timestamp_wall_ms: int) -> None:
        """Cover a timestamp and all earlier ones."""
        if not self.covers(timestamp_wall_ms):
            self.timestamp_wall_ms = timestamp_wall_ms


@dataclass(slots=True, kw_only=True)
class RunRecord:
    """One request's record; it serves as a tombstone once its answer is evicted."""

    ticket_id: str
    body_digest: bytes
    run_until_ms: int
    retain_until_ms: int
    low_water_mark: LowWaterMark
    timestamp_wall_ms: int
    state: RunState = RunState.ACCEPTED
    answer: StoredAnswer | None = None
    refusal_code: ErrorCode = ErrorCode.INTERNAL
    successor: ForwardTo | None = None

    def retry_result(
        self,
    ) -> ForwardTo | Replay | AnswerEvicted | InProgress | OutcomeUnknown | AlreadyRefused:
        """Return the result for a retry of the request."""
        if self.successor is not None:
            return self.successor
        if self.state is RunState.COMPLETED:
            if self.answer is None:
                return AnswerEvicted(ticket_id=self.ticket_id)
            return Replay(ticket_id=self.ticket_id, answer=self.answer)
        if self.state is RunState.FAILED:
            return OutcomeUnknown(code=ErrorCode.ENDPOINT_FAILED)
        if self.state is RunState.REFUSED:
            return AlreadyRefused(ticket_id=self.ticket_id, code=self.refusal_code)
        return InProgress(ticket_id=self.ticket_id, dispatched=self.state is RunState.DISPATCHED)


class AnswerStore:
    """Retains the answers of the newest completed requests, up to a total size."""

    def __init__(self, *, max_answer_bytes: int, max_total_bytes: int) -> None:
        """Set the limits; answers above max_answer_bytes are never retained."""
        self._max_answer_bytes = max_answer_bytes
        self._max_total_bytes = max_total_bytes
        self._total_bytes = 0
        self._records: OrderedDict[str, RunRecord] = OrderedDict()

    @property
    def total_bytes(self) -> int:
        """Return the size in bytes of all retained answers."""
        return self._total_bytes

    def store(self, record: RunRecord, answer: StoredAnswer) -> None:
        """Attach an answer to its record, and evict the oldest answers above the limit."""
        if answer.size_bytes > min(self._max_answer_bytes, self._max_total_bytes):
            return
        record.answer = answer
        self._records[record.ticket_id] = record
        self._total_bytes += answer.size_bytes
        while self._total_bytes > self._max_total_bytes:
            self.evict(next(iter(self._records)))

    def evict(self, ticket_id: str) -> None:
        """Remove the answer of a record; the record itself stays."""
        record = self._records.pop(ticket_id, None)
        if record is None or record.answer is None:
            return
        self._total_bytes -= record.answer.size_bytes
        record.answer = None


class RecordStore:
    """Records by ticket, removed in the order of their expiry."""

    def __init__(self, *, max_records: int) -> None:
        self._max_records = max_records
        self._records: dict[str, RunRecord] = {}
        self._expiry_heap: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Return whether no further request can be recorded."""
        return len(self._records) >= self._max_records

    def get(self, ticket_id: str) -> RunRecord | None:
        """Return a request's record, if there is one."""
        return self._records.get(ticket_id)

    def add(self, record: RunRecord) -> None:
        """Store a new record."""
        self._records[record.ticket_id] = record
        heapq.heappush(self._expiry_heap, (record.retain_until_ms, record.ticket_id))

    def pop_expired(self, now_ms: int) -> RunRecord | None:
        """Remove and return one expired record, None when there is none."""
        if not self._expiry_heap or self._expiry_heap[0][0] > now_ms:
            return None
        _, ticket_id = heapq.heappop(self._expiry_heap)
        return self._records.pop(ticket_id)
