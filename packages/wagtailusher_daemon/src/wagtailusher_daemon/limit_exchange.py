"""Exchanges with peers which limits endpoints name in their answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
import logging
import random

from wagtailusher_core import EndpointId, VmId, callback
from wagtailusher_daemon.const import REPEATED_PEERS
from wagtailusher_daemon.finding_messages import new_report_sender
from wagtailusher_rate_limits import (
    LimitChange,
    LimitReport,
    RateLimitDecider,
    UnreadableLimitError,
    parse_limit,
)
from wagtailusher_wire import AuthenticatedMessage, LimitEntry, LimitSummary, Message

_LOGGER = logging.getLogger(__name__)

_ENTRY_RATE = 1_000
_MAX_ENTRY_RATE = 0xFFFFFFFF
"""Largest rate that the message field can hold; far above what endpoints take."""


class LimitExchange:
    """Reads the limits that answers name, and spreads them."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        live_vm_ids: Callable[[int], tuple[VmId, ...]],
        known_vm_count: Callable[[], int],
        is_fleet_settled: Callable[[int], bool],
        peer_addresses: Callable[[int], Iterable[str]],
        send: Callable[[str, Message], None],
        clock_ms: Callable[[], int],
        on_change: Callable[[LimitChange], None] = lambda change: None,
        count_event: Callable[[str], None] = lambda event: None,
        seed: int = 0,
    ) -> None:
        """Start without limits; `count_event` gets "named", "ended" or "unreadable"."""
        self._peer_addresses = peer_addresses
        self._send_reports = new_report_sender(
            send, _entry, lambda batch: LimitSummary(entries=batch)
        )
        self._clock_ms = clock_ms
        self._on_change = on_change
        self._count_event = count_event
        self._random = random.Random(seed)
        self.decider = RateLimitDecider(
            vm_id,
            live_vm_ids=live_vm_ids,
            known_vm_count=known_vm_count,
            is_fleet_settled=is_fleet_settled,
            on_change=self._handle_change,
        )

    @callback
    def read_answer(
        self,
        endpoint_id: EndpointId,
        incarnation: int,
        values: tuple[str, ...],
        *,
        answer_to: str,
        may_end: bool = True,
    ) -> None:
        """Record the limit that an answer names; the values that can't be read are ignored.

        Only an answer with `may_end` shows by naming no limit that there is none any longer.
        """
        try:
            limit_per_s = parse_limit(values)
        except UnreadableLimitError as err:
            self._log_unreadable(endpoint_id, incarnation, err)
            return
        if limit_per_s is not None or may_end:
            self.decider.record_answer(
                endpoint_id, incarnation, limit_per_s, self._clock_ms(), answer_to=answer_to
            )

    @callback
    def tick(self, now_ms: int) -> None:
        """Forget old limits, and repeat what this VM read to some peers."""
        self.decider.tick(now_ms)
        reports = self.decider.repeated_reports(now_ms)
        if reports:
            addresses = list(self._peer_addresses(now_ms))
            count = min(REPEATED_PEERS, len(addresses))
            self._send_reports(reports, self._random.sample(addresses, count))

    @callback
    def greet(self, address: str, now_ms: int) -> None:
        """Send the limits to a VM that is new to this one."""
        self._send_reports(self.decider.all_reports(now_ms), (address,))

    @callback
    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Apply a peer's reports; other messages are ignored."""
        if not isinstance(message, LimitSummary):
            return
        for entry in message.entries:
            self.decider.merge(_report(entry), authenticated.vm_id, now_ms)

    def _handle_change(self, change: LimitChange) -> None:
        """Log a change, and tell peers at once what this VM read."""
        _LOGGER.info(
            "Endpoint: %s takes %s requests a second",
            change.endpoint_id,
            "any number of" if change.limit_per_s is None else change.limit_per_s,
            extra={
                "event": "endpoint_limit",
                "endpoint": change.endpoint_id,
                "limit_per_s": change.limit_per_s,
                "share_per_s": round(change.share_per_s, 3),
                "limit_age_ms": change.age_ms,
                "told_by": change.told_by,
                "answer_to": change.answer_to,
            },
        )
        self._count_event("ended" if change.limit_per_s is None else "named")
        self._on_change(change)
        if change.told_by is None:
            asyncio.get_running_loop().call_soon(self._send_new)

    def _send_new(self) -> None:
        now_ms = self._clock_ms()
        self._send_reports(self.decider.new_reports(now_ms), self._peer_addresses(now_ms))

    def _log_unreadable(
        self, endpoint_id: EndpointId, incarnation: int, err: UnreadableLimitError
    ) -> None:
        """Log once for each incarnation that its limit can't be read."""
        if not self.decider.record_unreadable(endpoint_id, incarnation):
            return
        self._count_event("unreadable")
        _LOGGER.warning(
            "Endpoint: the limit of %s is ignored: %s",
            endpoint_id,
            err,
            extra={"event": "endpoint_limit_unreadable", "endpoint": endpoint_id},
        )


def _entry(report: LimitReport) -> LimitEntry:
    limit_per_s = report.limit_per_s
    return LimitEntry(
        endpoint_id=report.endpoint_id,
        incarnation=report.incarnation,
        has_limit=limit_per_s is not None,
        limit_per_1000_s=min(_MAX_ENTRY_RATE, round((limit_per_s or 0.0) * _ENTRY_RATE)),
        age_ms=report.age_ms,
    )


def _report(entry: LimitEntry) -> LimitReport:
    return LimitReport(
        endpoint_id=entry.endpoint_id,
        incarnation=entry.incarnation,
        limit_per_s=entry.limit_per_1000_s / _ENTRY_RATE if entry.has_limit else None,
        age_ms=entry.age_ms,
    )
