"""Bounded records of the requests that this incarnation accepted, refused or ran."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
import heapq

from wagtailusher_core import ErrorCode
from wagtailusher_once.answers import (
    AlreadyRefused,
    AnswerEvicted,
    ForwardTo,
    InProgress,
    OutcomeUnknown,
    Replay,
    StoredAnswer,
)


class RunState(StrEnum):
    """How far a request has come."""

    ACCEPTED = "accepted"
    HANDED_OVER = "handed_over"
    DISPATCHED = "dispatched"
    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"


@dataclass(slots=True)
class Floor:
    """The latest stamp up to which requests without a record are never run.

    Records may be dropped only after the floor was raised to their stamp, so a clock that is
    set back can't make a forgotten request run again.
    """

    stamp_wall_ms: int | None = None

    def covers(self, stamp_wall_ms: int) -> bool:
        """Return whether requests of this stamp may have been forgotten."""
        return self.stamp_wall_ms is not None and stamp_wall_ms <= self.stamp_wall_ms

    def raise_to(self, stamp_wall_ms: int) -> None:
        """Cover a stamp and all before it."""
        if not self.covers(stamp_wall_ms):
            self.stamp_wall_ms = stamp_wall_ms


@dataclass(slots=True, kw_only=True)
class RunRecord:
    """One request's record; without its answer it is the tombstone."""

    ticket_id: str
    body_digest: bytes
    run_until_ms: int
    keep_until_ms: int
    floor: Floor
    stamp_wall_ms: int
    state: RunState = RunState.ACCEPTED
    answer: StoredAnswer | None = None
    refusal_code: ErrorCode = ErrorCode.INTERNAL
    successor: ForwardTo | None = None

    def describe(
        self,
    ) -> ForwardTo | Replay | AnswerEvicted | InProgress | OutcomeUnknown | AlreadyRefused:
        """Return what a repeat of the request is told."""
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
    """Chooses which records keep their answers, within a bound in bytes."""

    def __init__(self, *, max_answer_bytes: int, max_total_bytes: int) -> None:
        """Keep the newest answers up to a total; longer single answers are never kept."""
        self._max_answer_bytes = max_answer_bytes
        self._max_total_bytes = max_total_bytes
        self._total_bytes = 0
        self._records: OrderedDict[str, RunRecord] = OrderedDict()

    @property
    def total_bytes(self) -> int:
        """Return the size of all kept answers."""
        return self._total_bytes

    def keep(self, record: RunRecord, answer: StoredAnswer) -> None:
        """Attach an answer to its record and drop the oldest ones beyond the bound."""
        if answer.size_bytes > min(self._max_answer_bytes, self._max_total_bytes):
            return
        record.answer = answer
        self._records[record.ticket_id] = record
        self._total_bytes += answer.size_bytes
        while self._total_bytes > self._max_total_bytes:
            self.drop(next(iter(self._records)))

    def drop(self, ticket_id: str) -> None:
        """Detach the answer of a record; the record itself stays."""
        record = self._records.pop(ticket_id, None)
        if record is None or record.answer is None:
            return
        self._total_bytes -= record.answer.size_bytes
        record.answer = None


class RecordStore:
    """Records by ticket, dropped in the order in which they may be."""

    def __init__(self, *, max_records: int) -> None:
        """Hold at most the given number of records."""
        self._max_records = max_records
        self._records: dict[str, RunRecord] = {}
        self._expiries: list[tuple[int, str]] = []

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
        """Hold a new record."""
        self._records[record.ticket_id] = record
        heapq.heappush(self._expiries, (record.keep_until_ms, record.ticket_id))

    def pop_expired(self, now_ms: int) -> RunRecord | None:
        """Drop and return one record whose time is over, or return None."""
        if not self._expiries or self._expiries[0][0] > now_ms:
            return None
        _, ticket_id = heapq.heappop(self._expiries)
        return self._records.pop(ticket_id)
