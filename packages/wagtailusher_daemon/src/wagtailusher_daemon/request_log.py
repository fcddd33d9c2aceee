"""Records of the latest requests and refusals, for the operator interface."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from wagtailusher_core import ErrorCode, Outcome
from wagtailusher_placement import CandidateScore
from wagtailusher_router import ClassifiedRequest

MAX_RECORDS = 2_000
MAX_REFUSALS = 200


@dataclass(slots=True, kw_only=True)
class AttemptRecord:
    """One attempt of a request at an endpoint, and the candidates that were compared."""

    endpoint_id: str
    started_after_ms: int
    candidates: tuple[CandidateScore, ...]
    end: str | None = None


@dataclass(slots=True, kw_only=True)
class RequestRecord:
    """One request; `first_token_ms` and `total_ms` count from its arrival at this VM."""

    trace_id: str
    arrival: ClassifiedRequest
    arrived_ms: int
    state: str = "queued"
    outcome: Outcome = Outcome.NOT_RUN
    code: ErrorCode | None = None
    first_token_ms: int | None = None
    total_ms: int | None = None
    forwarded_to: str | None = None
    events: int = 0
    attempts: list[AttemptRecord] = field(default_factory=list)

    @property
    def queued_ms(self) -> int | None:
        """Return the time before the first attempt in ms, or None without an attempt."""
        return self.attempts[0].started_after_ms if self.attempts else None

    @property
    def target_met(self) -> bool | None:
        """Return whether the class's targets were met, or None if the request did not complete."""
        if self.outcome is not Outcome.COMPLETED:
            return None
        policy = self.arrival.policy
        if not self.arrival.streams_tokens:
            return (self.total_ms or 0) <= policy.answer_target_ms
        if (self.first_token_ms or 0) > policy.first_token_target_ms:
            return False
        return self.mean_gap_ms <= policy.between_tokens_target_ms

    @property
    def mean_gap_ms(self) -> float:
        """Return the mean time in ms between a stream's events, 0 with fewer than two."""
        if self.events <= 1 or self.first_token_ms is None or self.total_ms is None:
            return 0.0
        return (self.total_ms - self.first_token_ms) / (self.events - 1)


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusalRecord:
    """One refused request, its code and outcome, and the monotonic time of the refusal."""

    record: RequestRecord
    code: ErrorCode
    outcome: Outcome
    at_ms: int


class RequestLog:
    """Holds the latest MAX_RECORDS requests and MAX_REFUSALS refusals in memory."""

    def __init__(self) -> None:
        self._records: OrderedDict[str, RequestRecord] = OrderedDict()
        self.refusals: deque[RefusalRecord] = deque(maxlen=MAX_REFUSALS)
        self.refusal_counts: Counter[tuple[ErrorCode, int]] = Counter()

    def add(self, record: RequestRecord) -> None:
        """Add a record and evict the oldest one above MAX_RECORDS."""
        self._records[record.trace_id] = record
        self._records.move_to_end(record.trace_id)
        if len(self._records) > MAX_RECORDS:
            self._records.popitem(last=False)

    def get(self, trace_id: str) -> RequestRecord | None:
        """Return the request record of a trace, or None when there is none."""
        return self._records.get(trace_id)

    def add_refusal(
        self, record: RequestRecord, code: ErrorCode, outcome: Outcome, at_ms: int
    ) -> None:
        """Add a refusal and count it by code and tier."""
        self.refusal_counts[(code, record.arrival.policy.tier)] += 1
        self.refusals.append(RefusalRecord(record=record, code=code, outcome=outcome, at_ms=at_ms))
