"""Decides whether a request that must run at most once runs, and at which node."""

from __future__ import annotations

from collections.abc import Iterable

from wagtailusher_core import ErrorCode, Incarnation, PublishedVm, VmId, WorkspaceId
from wagtailusher_once.key_admission import KeyAdmission, KeyAttempt
from wagtailusher_once.key_homes import first_sent_in_uuid, placement_key_of
from wagtailusher_once.limits import OnceLimits
from wagtailusher_once.run_records import (
    AnswerStore,
    LowWaterMark,
    RecordStore,
    RunRecord,
    RunState,
)
from wagtailusher_once.submission_results import (
    AlreadyRefused,
    BodyConflict,
    ForwardTo,
    OutcomeUnknown,
    RunHere,
    StoredAnswer,
    Submission,
)
from wagtailusher_once.ticket import Ticket


class OnceDecider:
    """Records what this incarnation ran, and allows each request to start once."""

    def __init__(
        self, *, vm_id: VmId, incarnation: Incarnation, limits: OnceLimits | None = None
    ) -> None:
        """Start without records: those of an earlier incarnation of the VM are lost."""
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._limits = limits or OnceLimits()
        self._records = RecordStore(max_records=self._limits.max_records)
        self._answers = AnswerStore(
            max_answer_bytes=self._limits.max_answer_bytes,
            max_total_bytes=self._limits.max_answers_bytes,
        )
        self._ticket_low_water_mark = LowWaterMark()
        self._keys = KeyAdmission(vm_id=vm_id, limits=self._limits)

    @property
    def record_count(self) -> int:
        """Return the number of recorded requests."""
        return len(self._records)

    @property
    def answer_bytes(self) -> int:
        """Return the size in bytes of all retained answers."""
        return self._answers.total_bytes

    def submit(self, ticket: Ticket, body_digest: bytes, now_ms: int) -> Submission:
        """Return the result for an attempt that carries a ticket."""
        if ticket.home_id != self._vm_id:
            return ForwardTo(home_id=ticket.home_id, incarnation=ticket.incarnation)
        if ticket.incarnation != self._incarnation:
            return OutcomeUnknown(code=ErrorCode.HOME_GONE)
        self.expire(now_ms)
        known = self._records.get(ticket.ticket_id)
        if known is not None:
            return _retry_result(known, body_digest)
        if self._ticket_low_water_mark.covers(ticket.expires_wall_ms):
            return OutcomeUnknown(code=ErrorCode.TICKET_EXPIRED)
        run_until_ms = now_ms + ticket.remaining_ms
        return self._accept(
            RunRecord(
                ticket_id=ticket.ticket_id,
                body_digest=body_digest,
                run_until_ms=run_until_ms,
                retain_until_ms=max(now_ms, run_until_ms) + 2 * self._limits.max_clock_skew_ms,
                low_water_mark=self._ticket_low_water_mark,
                timestamp_wall_ms=ticket.expires_wall_ms,
            ),
            now_ms,
        )

    def update_published(
        self, vms: Iterable[PublishedVm], now_ms: int, *, observed_ms: int
    ) -> None:
        """Observe the platform's list, read at observed_ms; must be called for each read."""
        self._keys.observe(vms, now_ms, observed_ms=observed_ms)

    def submit_key(
        self,
        workspace_id: WorkspaceId,
        key: str,
        body_digest: bytes,
        published_vms: Iterable[PublishedVm],
        now_ms: int,
        *,
        now_wall_ms: int | None = None,
        first_sent_wall_ms: int | None = None,
        first_attempt: bool = False,
        published_observed_ms: int | None = None,
    ) -> Submission:
        """Return the result for an attempt that carries only an idempotency key.

        The time of the first attempt is specified by the caller or part of a UUID of version 7.
        Without it, without the wall time or without the time of the list's read no key runs.
        """
        self._keys.observe(published_vms, now_ms, observed_ms=published_observed_ms)
        if first_sent_wall_ms is None:
            first_sent_wall_ms = first_sent_in_uuid(key)
        if now_wall_ms is None or first_sent_wall_ms is None:
            return AlreadyRefused(code=ErrorCode.TICKET_REQUIRED)
        self.expire(now_ms)
        placement_key = placement_key_of(workspace_id, key)
        known = self._records.get(placement_key)
        if known is not None:
            return _retry_result(known, body_digest)
        admission = self._keys.admit(
            KeyAttempt(
                placement_key=placement_key,
                body_digest=body_digest,
                first_sent_wall_ms=first_sent_wall_ms,
                first_sent_ms=now_ms - (now_wall_ms - first_sent_wall_ms),
            ),
            now_ms,
        )
        if admission is None:
            return self._refuse_key(first_attempt)
        return admission if isinstance(admission, ForwardTo) else self._accept(admission, now_ms)

    def dispatch(self, ticket_id: str, now_ms: int) -> bool:
        """Return True once, when the request may be sent to one endpoint."""
        record = self._records.get(ticket_id)
        if record is None or record.state is not RunState.ACCEPTED:
            return False
        if now_ms >= record.run_until_ms:
            _mark_refused(record, ErrorCode.TICKET_EXPIRED)
            return False
        record.state = RunState.DISPATCHED
        return True

    def may_send(self, ticket_id: str, now_ms: int) -> bool:
        """Return whether a dispatched request is still in its lifetime; changes nothing."""
        record = self._records.get(ticket_id)
        if record is None or record.state is not RunState.DISPATCHED:
            return False
        return now_ms < record.run_until_ms

    def complete(self, ticket_id: str, answer: StoredAnswer, now_ms: int) -> None:
        """Store the complete response of a dispatched request, also when it follows `fail`."""
        self.expire(now_ms)
        record = self._records.get(ticket_id)
        if record is None or record.state not in (RunState.DISPATCHED, RunState.FAILED):
            return
        record.state = RunState.COMPLETED
        self._answers.store(record, answer)

    def fail(self, ticket_id: str, now_ms: int) -> None:
        """Record that a dispatched request's outcome stays unknown."""
        self.expire(now_ms)
        record = self._records.get(ticket_id)
        if record is not None and record.state is RunState.DISPATCHED:
            record.state = RunState.FAILED

    def refuse(self, ticket_id: str, now_ms: int, code: ErrorCode = ErrorCode.SHED) -> bool:
        """Reject the request permanently; return whether `not_run` may be reported."""
        self.expire(now_ms)
        record = self._records.get(ticket_id)
        if record is None:
            return False
        if record.state is RunState.ACCEPTED:
            _mark_refused(record, code)
        return record.state is RunState.REFUSED

    def hand_over(self, ticket_id: str, successor: ForwardTo, now_ms: int) -> bool:
        """Transfer the right to run to another VM, which must have issued the successor's ticket.

        Return False when the request was already dispatched, ended or handed over.
        """
        self.expire(now_ms)
        record = self._records.get(ticket_id)
        if record is None or record.state is not RunState.ACCEPTED or successor.ticket is None:
            return False
        record.state = RunState.HANDED_OVER
        record.successor = successor
        return True

    def expire(self, now_ms: int) -> None:
        """Remove the records whose requests no node can run again."""
        while (record := self._records.pop_expired(now_ms)) is not None:
            record.low_water_mark.raise_to(record.timestamp_wall_ms)
            self._answers.evict(record.ticket_id)

    def _accept(self, record: RunRecord, now_ms: int) -> Submission:
        """Record a new request, or reject it permanently."""
        if self._records.is_full:
            record.low_water_mark.raise_to(record.timestamp_wall_ms)
            return AlreadyRefused(ticket_id=record.ticket_id, code=ErrorCode.QUEUE_FULL)
        self._records.add(record)
        if now_ms < record.run_until_ms:
            return RunHere(ticket_id=record.ticket_id)
        _mark_refused(record, ErrorCode.TICKET_EXPIRED)
        return AlreadyRefused(ticket_id=record.ticket_id, code=ErrorCode.TICKET_EXPIRED)

    def _refuse_key(self, first_attempt: bool) -> Submission:
        """Return the refusal of a key that this node must not run.

        Only the first attempt is known not to have run elsewhere.
        """
        if first_attempt:
            return AlreadyRefused(
                code=ErrorCode.KEY_NOT_SETTLED, retry_after_ms=self._limits.settling_ms
            )
        return OutcomeUnknown(code=ErrorCode.KEY_NOT_SETTLED)


def _retry_result(record: RunRecord, body_digest: bytes) -> Submission:
    """Return the result for a retry of a recorded request."""
    if record.body_digest != body_digest:
        return BodyConflict(ticket_id=record.ticket_id)
    return record.retry_result()


def _mark_refused(record: RunRecord, code: ErrorCode) -> None:
    """Mark a request that was not dispatched as refused."""
    record.state = RunState.REFUSED
    record.refusal_code = code
