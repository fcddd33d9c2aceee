"""Checks endpoints that may have gone silent, and exchanges the findings with peers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
import logging
import random

from wagtailusher_core import EndpointId, callback
from wagtailusher_daemon.const import (
    FIRST_PEERS,
    LIVENESS_CHECK_TIMEOUT_MS,
    REPEATED_PEERS,
)
from wagtailusher_daemon.convert import convert
from wagtailusher_daemon.finding_messages import new_report_sender
from wagtailusher_liveness import Liveness, LivenessChange, LivenessDecider, LivenessReport
from wagtailusher_wire import AuthenticatedMessage, LivenessEntry, LivenessSummary, Message

_LOGGER = logging.getLogger(__name__)


class LivenessExchange:
    """Connects to suspected endpoints and tells peers which do not answer."""

    def __init__(
        self,
        *,
        is_answered: Callable[[str, int], Awaitable[bool]],
        drop_idle: Callable[[str], None],
        address_of: Callable[[EndpointId], str | None],
        peer_addresses: Callable[[int], Iterable[str]],
        send: Callable[[str, Message], None],
        checker_address: Callable[[EndpointId, int], str | None],
        clock_ms: Callable[[], int],
        on_change: Callable[[LivenessChange], None] = lambda change: None,
        seed: int = 0,
    ) -> None:
        """Start without endpoints.

        `is_answered` connects to an address within a time in ms, `drop_idle` closes its idle
        connections, and `peer_addresses` returns where live peers receive datagrams.
        `checker_address` returns that of the VM that checks an endpoint for all, None for this one.
        """
        self._is_answered = is_answered
        self._drop_idle = drop_idle
        self._address_of = address_of
        self._checker_address = checker_address
        self._peer_addresses = peer_addresses
        self._report = new_report_sender(
            send,
            lambda report: convert(report, LivenessEntry),
            lambda batch: LivenessSummary(entries=batch),
        )
        self._clock_ms = clock_ms
        self._on_change = on_change
        self._tasks: set[asyncio.Task[None]] = set()
        self._random = random.Random(seed)
        self.decider = LivenessDecider(
            is_checker=lambda endpoint_id, now_ms: checker_address(endpoint_id, now_ms) is None,
            on_change=self._handle_change,
        )

    @callback
    def tick(self, now_ms: int) -> None:
        """Suspect silent endpoints, start the checks that are due and repeat reports."""
        self.decider.tick(now_ms)
        self._start_checks(now_ms)
        reports = self.decider.repeated_reports(now_ms)
        if reports:
            addresses = list(self._peer_addresses(now_ms))
            count = min(REPEATED_PEERS, len(addresses))
            self._report(reports, self._random.sample(addresses, count))

    @callback
    def receive(
        self, message: Message, authenticated: AuthenticatedMessage, address: str, now_ms: int
    ) -> None:
        """Apply a peer's reports; other messages are ignored."""
        if not isinstance(message, LivenessSummary):
            return
        for entry in message.entries:
            self.decider.merge(convert(entry, LivenessReport), authenticated.vm_id, now_ms)
        self._start_checks(now_ms)

    @callback
    def close(self) -> None:
        """Cancel the checks."""
        for task in self._tasks:
            task.cancel()

    def _start_checks(self, now_ms: int) -> None:
        for endpoint_id, incarnation in self.decider.begin_checks(now_ms):
            check = self._async_check(endpoint_id, incarnation)
            task = asyncio.get_running_loop().create_task(check)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_check(self, endpoint_id: EndpointId, incarnation: int) -> None:
        """Connect to an endpoint; a time-out counts only if this process was not paused."""
        address = self._address_of(endpoint_id)
        if address is None:
            return
        is_answered = False
        for _ in range(2):
            started_ms = self._clock_ms()
            is_answered = await self._is_answered(address, LIVENESS_CHECK_TIMEOUT_MS)
            if is_answered or self._clock_ms() - started_ms < 2 * LIVENESS_CHECK_TIMEOUT_MS:
                break
        if not is_answered:
            self._drop_idle(address)
        self.decider.record_check(
            endpoint_id, incarnation, self._clock_ms(), is_answered=is_answered
        )

    def _handle_change(self, change: LivenessChange) -> None:
        """Log a change, and tell peers at once what this VM found."""
        _LOGGER.log(
            logging.INFO if change.state is Liveness.SUSPECTED else logging.WARNING,
            "Endpoint: %s is %s",
            change.endpoint_id,
            change.state,
            extra={
                "event": f"endpoint_{change.state}",
                "endpoint": change.endpoint_id,
                "silent_ms": change.silent_ms,
                "in_flight": change.in_flight,
                "told_by": change.told_by,
            },
        )
        self._on_change(change)
        if change.state is not Liveness.SUSPECTED:
            asyncio.get_running_loop().call_soon(self._report_new)

    def _report_new(self) -> None:
        """Tell all peers what this VM checks for them; other findings go to checker and some."""
        now_ms = self._clock_ms()
        addresses = list(self._peer_addresses(now_ms))
        for report in self.decider.new_reports():
            checker_address = self._checker_address(report.endpoint_id, now_ms)
            if checker_address is None or len(addresses) <= FIRST_PEERS:
                self._report((report,), addresses)
                continue
            chosen = self._random.sample(addresses, FIRST_PEERS)
            self._report((report,), {checker_address, *chosen})
