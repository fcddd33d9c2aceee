"""Reads what endpoints state in answers about further requests, and tells peers of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
import logging

from wagtailusher_availability import (
    AvailabilityDecider,
    Statement,
    StatementChange,
    StatementReport,
    UnreadableWaitError,
    parse_rejections,
    parse_wait_ms,
)
from wagtailusher_core import EndpointId, callback
from wagtailusher_daemon.finding_messages import new_report_sender
from wagtailusher_wire import AuthenticatedMessage, Message, StatementEntry, StatementSummary

_LOGGER = logging.getLogger(__name__)

_SPREAD = frozenset({Statement.LEAVING, Statement.BRITTLE, Statement.FULL})
"""Statements that peers are told."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerStatement:
    """What one answer states about further requests, and to which request."""

    is_leaving: bool
    waits: tuple[str, ...]
    """Unparsed seconds for which the endpoint wants no requests; empty if it names none."""
    brittle: tuple[str, ...] = ()
    """Unparsed rejections a second above which the endpoint falls over; empty if it names none."""
    is_accepted: bool
    """Whether the endpoint did not refuse the request."""
    sent_ms: int
    answer_to: str


class AvailabilityExchange:
    """Records what answers state, and spreads which endpoints leave, are brittle or full."""

    def __init__(
        self,
        *,
        peer_addresses: Callable[[int], Iterable[str]],
        send: Callable[[str, Message], None],
        clock_ms: Callable[[], int],
        on_change: Callable[[StatementChange], None] = lambda change: None,
        count_event: Callable[[str], None] = lambda event: None,
    ) -> None:
        """`count_event` gets a statement, "available" or "unreadable"."""
        self._peer_addresses = peer_addresses
        self._send_reports = new_report_sender(
            send, _entry, lambda batch: StatementSummary(entries=batch)
        )
        self._clock_ms = clock_ms
        self._on_change = on_change
        self._count_event = count_event
        self.decider = AvailabilityDecider(on_change=self._handle_change)

    @callback
    def read_answer(
        self, endpoint_id: EndpointId, incarnation: int, stated: AnswerStatement
    ) -> None:
        """Record what an answer states; times that can't be read are ignored."""
        now_ms = self._clock_ms()
        if stated.is_leaving:
            self.decider.record_leaving(
                endpoint_id, incarnation, now_ms, answer_to=stated.answer_to
            )
        wait_ms = self._parse(parse_wait_ms, endpoint_id, incarnation, stated.waits)
        if wait_ms is not None:
            self.decider.record_wait(
                endpoint_id,
                incarnation,
                wait_ms,
                sent_ms=stated.sent_ms,
                now_ms=now_ms,
                answer_to=stated.answer_to,
            )
        is_brittle = self._read_brittle(endpoint_id, incarnation, stated, now_ms)
        if wait_ms is None and stated.is_accepted:
            self.decider.record_accepted(
                endpoint_id,
                incarnation,
                sent_ms=stated.sent_ms,
                is_leaving=stated.is_leaving,
                is_brittle=is_brittle,
            )

    def _read_brittle(
        self, endpoint_id: EndpointId, incarnation: int, stated: AnswerStatement, now_ms: int
    ) -> bool:
        """Record whether an answer states that its endpoint is brittle, and return it."""
        if self._parse(parse_rejections, endpoint_id, incarnation, stated.brittle) is None:
            return False
        is_full = not stated.is_accepted and not stated.waits
        self.decider.record_brittle(endpoint_id, incarnation, now_ms, is_full=is_full)
        return True

    @callback
    def greet(self, address: str, now_ms: int) -> None:
        """Tell a VM that is new to this one which endpoints leave."""
        self._send_reports(self.decider.all_reports(now_ms), (address,))

    @callback
    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Apply a peer's reports; other messages, and unknown statements, are ignored."""
        if not isinstance(message, StatementSummary):
            return
        for entry in message.entries:
            if entry.statement in _SPREAD:
                self.decider.merge(_report(entry), authenticated.vm_id, now_ms)

    def _parse(
        self,
        parse: Callable[[Sequence[str]], int | None],
        endpoint_id: EndpointId,
        incarnation: int,
        values: tuple[str, ...],
    ) -> int | None:
        """Return the number that a field names; log the first one that can't be read."""
        try:
            return parse(values)
        except UnreadableWaitError as err:
            if self.decider.record_unreadable(endpoint_id, incarnation):
                self._count_event("unreadable")
                _LOGGER.warning(
                    "Endpoint: a number that %s states is ignored: %s",
                    endpoint_id,
                    err,
                    extra={"event": "endpoint_wait_unreadable", "endpoint": endpoint_id},
                )
            return None

    def _handle_change(self, change: StatementChange) -> None:
        """Log a change, and tell peers at once if an answer stated that an endpoint leaves."""
        state = "available" if change.statement is None else str(change.statement)
        _LOGGER.info(
            "Endpoint: %s is %s",
            change.endpoint_id,
            state,
            extra={
                "event": f"endpoint_{state}",
                "endpoint": change.endpoint_id,
                "wait_ms": change.wait_ms,
                "statement_age_ms": change.age_ms,
                "told_by": change.told_by,
                "answer_to": change.answer_to,
            },
        )
        self._count_event(state)
        self._on_change(change)
        if change.told_by is not None:
            return
        if change.statement is Statement.LEAVING:
            asyncio.get_running_loop().call_soon(self._send_new)
        elif change.statement in _SPREAD:
            asyncio.get_running_loop().call_soon(self._send_change, change)

    def _send_change(self, change: StatementChange) -> None:
        """Tell all peers what an answer has just stated."""
        assert change.statement is not None
        report = StatementReport(
            endpoint_id=change.endpoint_id,
            incarnation=change.incarnation,
            statement=change.statement,
            age_ms=0,
        )
        self._send_reports((report,), self._peer_addresses(self._clock_ms()))

    def _send_new(self) -> None:
        now_ms = self._clock_ms()
        self._send_reports(self.decider.new_reports(now_ms), self._peer_addresses(now_ms))


def _entry(report: StatementReport) -> StatementEntry:
    return StatementEntry(
        endpoint_id=report.endpoint_id,
        incarnation=report.incarnation,
        statement=str(report.statement),
        age_ms=report.age_ms,
    )


def _report(entry: StatementEntry) -> StatementReport:
    return StatementReport(
        endpoint_id=entry.endpoint_id,
        incarnation=entry.incarnation,
        statement=Statement(entry.statement),
        age_ms=entry.age_ms,
    )
