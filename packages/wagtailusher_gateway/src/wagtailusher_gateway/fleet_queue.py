"""One sight of the queues of all VMs: what waits, how long, and how fast requests start.

Answers load above capacity at many VMs of which each sees few requests. Such a VM can't tell a rate
from its own two requests a second: its expected waits and retry delays are noise, and it starts a
less urgent request while more urgent ones wait at others. Each VM tells, while requests wait, what
waits in each of its queues by rank and what started lately; from the sums every VM decides alike:

- the expected wait behind what waits in the fleet,
- whether more urgent requests wait elsewhere for the same endpoints. This is believed only for the
  time in which the fleet starts as many as were told: after it old news holds no one back, so that
  nothing idles and nothing swings (a threshold by priority that is carried on messages which flow
  anyway: DAGOR; Zhou et al., Overload Control for Scaling WeChat Microservices, SoCC 2018),
- when refused callers return: at the rate at which the fleet starts requests, each VM's callers one
  after the other, so that not all come at one moment.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
import copy
from dataclasses import dataclass, field
from typing import NamedTuple

from wagtailusher_core import VmId
from wagtailusher_gateway.const import RETRY_AFTER_MAX_MS
from wagtailusher_gateway.recent_sum import WINDOW_MS, RecentSum
from wagtailusher_wire import BeatQueue

REPORT_LIFETIME_MS = 4_000
"""Age from which a peer's report is left out; three reports of a large fleet, of which one or two
may be lost."""

SIGHT_MS = 2_000
"""Time for which requests must have competed until the fleet's rate is used; before it the window
holds starts of the calm, which are fewer than the endpoints could take."""

MIN_STARTS = 8.0
"""Recent starts of the fleet from which its rate is used; a rate of fewer is noise."""

MAX_HOLD_MS = 300
"""Longest time for which a report of more urgent requests holds others back; a heartbeat interval
and a half of a small fleet."""

REFRESH_MS = 50
"""How long the sum of the fleet's starts is used; queues are checked as often."""

MIN_HELD_WAIT_MS = 50
"""Wait from which more urgent requests hold others back; queues are checked as often."""

MAX_TOLD_QUEUES = 4
"""Most queues and ranks that a heartbeat tells; usual names take a tenth of a datagram."""


class QueueRank(NamedTuple):
    """The requests of one rank in the queues of one name."""

    queue: str
    rank: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """What waits at this VM in one queue at one rank."""

    count: int
    oldest_ms: int


@dataclass(slots=True)
class _Flow:
    """Recent requests of one queue and rank at this VM."""

    asked: RecentSum = field(default_factory=RecentSum)
    started: RecentSum = field(default_factory=RecentSum)


class FleetQueues:
    """What this VM and its peers tell of their queues."""

    def __init__(self) -> None:
        self._flows: defaultdict[QueueRank, _Flow] = defaultdict(_Flow)
        self._peers: dict[VmId, tuple[int, tuple[BeatQueue, ...]]] = {}
        self._waited_ms: dict[str, tuple[int, int]] = {}
        """When requests of a queue began to compete, and when they last did."""
        self._returns_ms: dict[QueueRank, float] = {}
        """When the last refused caller was told to return."""
        self._starts_seen: dict[str, tuple[int, float]] = {}
        """The fleet's recent starts of a queue, and when they were added up."""
        self._reports_seen: dict[str, tuple[int, tuple[tuple[int, BeatQueue], ...]]] = {}
        """What peers told of a queue and when, as used at one time; empty after a new report."""

    def trial(self) -> FleetQueues:
        """Return a copy; what peers told is shared, as it is only replaced."""
        found = copy.copy(self)
        found._flows = copy.deepcopy(self._flows)
        found._peers = self._peers.copy()
        found._waited_ms, found._returns_ms = self._waited_ms.copy(), self._returns_ms.copy()
        found._starts_seen = self._starts_seen.copy()
        found._reports_seen = self._reports_seen.copy()
        return found

    def record_asked(self, key: QueueRank, now_ms: int) -> None:
        """Count a request that arrived."""
        self._flows[key].asked.add(1.0, now_ms)

    def record_started(self, key: QueueRank, now_ms: int) -> None:
        """Count a request that started."""
        self._flows[key].started.add(1.0, now_ms)

    def record_waiting(self, queue: str, now_ms: int) -> None:
        """Note that a queue had no room for a request."""
        began_ms, last_ms = self._waited_ms.get(queue, (now_ms, now_ms))
        if now_ms - last_ms > SIGHT_MS:
            began_ms = now_ms
        self._waited_ms[queue] = (began_ms, now_ms)

    def set_peer(self, vm_id: VmId, reports: tuple[BeatQueue, ...], told_ms: int) -> None:
        """Replace what a peer told; `told_ms` is when it arrived."""
        self._reports_seen.clear()
        if reports:
            self._peers[vm_id] = (told_ms, reports)
        else:
            self._peers.pop(vm_id, None)
        for report in reports:
            if report.waiting:
                self.record_waiting(report.queue, told_ms)

    def tick(self, now_ms: int) -> None:
        """Drop what peers told long ago, and flows without requests."""
        self._peers = {
            vm_id: (told_ms, reports)
            for vm_id, (told_ms, reports) in self._peers.items()
            if now_ms - told_ms <= REPORT_LIFETIME_MS
        }
        idle = [key for key, flow in self._flows.items() if flow.asked.at(now_ms) < 0.01]
        for key in idle:
            del self._flows[key]
        self._returns_ms = {key: at for key, at in self._returns_ms.items() if at > now_ms}

    def own_reports(self, waiting: dict[QueueRank, Waiting], now_ms: int) -> tuple[BeatQueue, ...]:
        """Return what to tell peers: the queues in which requests wait or did lately."""
        reports = (
            self._report(key, waiting.get(key), now_ms)
            for key in waiting.keys() | self._flows.keys()
            if key in waiting or self._is_contended(key.queue, now_ms)
        )
        ordered = sorted(
            reports,
            key=lambda item: (not item.waiting, item.rank, -item.waiting, -item.started),
        )
        return tuple(ordered[:MAX_TOLD_QUEUES])

    def rate_per_ms(self, queue: str, now_ms: int) -> float:
        """Return how many requests the fleet starts in a ms while they compete; 0 if unknown."""
        began_ms, _ = self._waited_ms.get(queue, (now_ms, now_ms))
        if not self._is_contended(queue, now_ms) or now_ms - began_ms < SIGHT_MS:
            return 0.0
        starts = self._starts(queue, now_ms)
        return starts / WINDOW_MS if starts >= MIN_STARTS else 0.0

    def expected_wait_ms(self, key: QueueRank, own_ahead: int, now_ms: int) -> float | None:
        """Return the wait behind what waits in the fleet, None if its rate is unknown.

        What peers told is taken as partly started since.
        """
        rate = self.rate_per_ms(key.queue, now_ms)
        if not rate:
            return None
        ahead = own_ahead + sum(
            max(0.0, report.waiting - self._started_since(report, now_ms - told_ms))
            for told_ms, report in self._reports(key.queue, now_ms)
            if report.rank <= key.rank
        )
        return (ahead + 1) / rate if ahead else 0.0

    def is_outranked(self, key: QueueRank, now_ms: int) -> bool:
        """Return whether more urgent requests wait at peers, unless they have started by now."""
        if not self._peers:
            return False
        urgent = [
            (told_ms, report.waiting)
            for told_ms, report in self._reports(key.queue, now_ms)
            if report.rank < key.rank and report.oldest_ms >= MIN_HELD_WAIT_MS
        ]
        if not urgent:
            return False
        waiting = sum(count for _, count in urgent)
        drain_ms = waiting * WINDOW_MS / max(1.0, self._starts(key.queue, now_ms))
        return now_ms - max(told_ms for told_ms, _ in urgent) < min(MAX_HOLD_MS, drain_ms)

    def next_return_ms(self, key: QueueRank, earliest_ms: int, now_ms: int) -> float:
        """Return when the next refused caller may return, after those that were told before.

        Each VM lets its callers return at the rate at which it starts requests itself, so that all
        VMs together name no more times than the fleet has room for.
        """
        own_starts = self._flows[key].started.at(now_ms)
        rate = self.rate_per_ms(key.queue, now_ms)
        last_ms = self._returns_ms.get(key, 0.0)
        if not rate:
            return earliest_ms
        gap_ms = 1 / max(own_starts / WINDOW_MS, rate / (len(self._peers) + 1))
        at_ms = max(earliest_ms, last_ms + gap_ms)
        if at_ms > now_ms + RETRY_AFTER_MAX_MS:
            at_ms = earliest_ms  # Further callers return between those that were told before.
        self._returns_ms[key] = at_ms
        return at_ms

    def _is_contended(self, queue: str, now_ms: int) -> bool:
        """Return whether requests of a queue waited anywhere lately."""
        waited = self._waited_ms.get(queue)
        return waited is not None and now_ms - waited[1] <= SIGHT_MS

    def _report(self, key: QueueRank, waiting: Waiting | None, now_ms: int) -> BeatQueue:
        flow = self._flows[key]
        return BeatQueue(
            queue=key.queue,
            rank=key.rank,
            waiting=waiting.count if waiting is not None else 0,
            oldest_ms=waiting.oldest_ms if waiting is not None else 0,
            started=round(1_000 * flow.started.at(now_ms)),
            asked=round(1_000 * flow.asked.at(now_ms)),
        )

    def _starts(self, queue: str, now_ms: int) -> float:
        """Return the recent starts of a queue in the fleet, added up a while ago at most."""
        added_ms, starts = self._starts_seen.get(queue, (now_ms - REFRESH_MS, 0.0))
        if now_ms - added_ms >= REFRESH_MS:
            starts = self._add_starts(queue, now_ms)
            self._starts_seen[queue] = (now_ms, starts)
        return starts

    def _add_starts(self, queue: str, now_ms: int) -> float:
        own: Iterable[float] = (
            flow.started.at(now_ms) for key, flow in self._flows.items() if key.queue == queue
        )
        told = (report.started / 1_000 for _, report in self._reports(queue, now_ms))
        return sum(own) + sum(told)

    def _started_since(self, report: BeatQueue, age_ms: int) -> float:
        """Return how many of the told requests its VM has started since."""
        return report.started / 1_000 * max(0, age_ms) / WINDOW_MS

    def _reports(self, queue: str, now_ms: int) -> tuple[tuple[int, BeatQueue], ...]:
        """Return what peers told of a queue, and when; all waiting requests are checked at once."""
        seen_ms, reports = self._reports_seen.get(queue, (now_ms - 1, ()))
        if seen_ms != now_ms:
            reports = tuple(self._find_reports(queue, now_ms))
            self._reports_seen[queue] = (now_ms, reports)
        return reports

    def _find_reports(self, queue: str, now_ms: int) -> Iterator[tuple[int, BeatQueue]]:
        for told_ms, reports in self._peers.values():
            if now_ms - told_ms <= REPORT_LIFETIME_MS:
                yield from ((told_ms, report) for report in reports if report.queue == queue)
