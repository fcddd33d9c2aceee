"""Queues requests while all endpoints are full, and refuses those that would wait too long."""

from __future__ import annotations

from bisect import insort
from collections import Counter, deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from operator import itemgetter
import random

from wagtailusher_core import VmId
from wagtailusher_gateway.const import (
    MAX_QUEUED,
    MIN_QUEUE_WAIT_MS,
    QUEUE_WAIT_SHARE,
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    RETRY_AFTER_RANK_MS,
    TICK_MS,
)
from wagtailusher_gateway.fleet_queue import FleetQueues, QueueRank, Waiting
from wagtailusher_gateway.workspace_shares import WORK_PER_REQUEST, Pool, WorkspaceShares
from wagtailusher_wire import Beat, BeatQueue

RATE_WINDOW_MS = 2_000
"""Window for counting started requests to estimate the wait; a burst lasts a few seconds."""

MIN_RATE_WINDOW_MS = 100
"""Shortest time that a queue must have been non-empty before its rate is used."""


class RefusalCause(StrEnum):
    """Why a queue refuses a request."""

    NO_ROOM = "no_room"
    """It would not start, or did not, in the time for which it may wait."""
    SHARE = "share"
    """Its workspace asks for more than its share while others wait."""
    OVERTAKEN = "overtaken"
    """It would wait too long behind those of workspaces that were served less."""
    OUTRANKED = "outranked"
    """It would not start in time behind more urgent requests that wait at other VMs."""


FORGET_INTERVAL_MS = 1_000
"""Interval at which old sums and reports are dropped; no decision uses them until then."""

CONTENDED_WAIT_MS = TICK_MS
"""Wait beyond which a request counts as competing for room; queues are checked as often."""


@dataclass(slots=True, kw_only=True, eq=False)
class QueuedRequest:
    """One request in an admission queue."""

    queue: str
    """Requests in the same queue compete for the same endpoints."""
    rank: int
    expires_ms: int
    try_start: Callable[[int], bool]
    """Reserves an endpoint if one has capacity, and returns whether it did."""
    service: str = ""
    """Requests of several queues may compete for the same endpoints of a service."""
    refuse: Callable[[int], None]
    """Called with the delay, in ms, after which the caller may retry."""
    workspace: str = ""
    """Identifier of its workspace; empty if it has none."""
    work: float = WORK_PER_REQUEST
    """Estimated work, in the unit in which workspaces share a service."""
    is_repeat: bool = False
    """Whether it was sent before, or takes up a stream; its share has been decided on."""
    is_refused: Callable[[], bool] = lambda: False
    """Returns whether `try_start` found that it can't be served in time, and refused it."""
    queued_ms: int | None = None
    """When it had to wait; None if it started at once."""
    refusal_cause: RefusalCause = RefusalCause.NO_ROOM
    """Why it is refused, if it is."""

    @property
    def pool(self) -> Pool:
        """Return with which requests it competes by its workspace's share."""
        return Pool(self.service or self.queue, self.rank)

    @property
    def queue_rank(self) -> QueueRank:
        """Return with which requests it is counted in the sight of the fleet's queues."""
        return QueueRank(self.queue, self.rank)


@dataclass(frozen=True, slots=True, kw_only=True)
class QueuePosition:
    """Where in its queue a request is served, and whether it is served at all."""

    queued: int
    """Requests that wait in the queue at this VM."""
    ahead: int
    """Those of them that are served first."""
    wait_ms: float
    """Expected wait; 0 while the rate is unknown."""
    is_outranked: bool
    """Whether more urgent requests wait at other VMs."""
    allowed_ms: int
    """How long it may wait."""
    pass_chance: float
    """The part of its workspace's requests that is within the workspace's share."""


@dataclass(slots=True)
class _Queue:
    """Requests that compete for the same endpoints, and the times of recent starts."""

    requests: list[QueuedRequest] = field(default_factory=list)
    started_ms: deque[int] = field(default_factory=deque)
    busy_since_ms: int = 0
    """Since when the queue has been non-empty; undefined while it is empty."""

    def trial(self) -> _Queue:
        """Return a copy whose requests can be neither started nor refused."""
        return _Queue(
            requests=[
                replace(item, try_start=lambda now_ms: False, refuse=lambda delay_ms: None)
                for item in self.requests
            ],
            started_ms=self.started_ms.copy(),
            busy_since_ms=self.busy_since_ms,
        )

    def add(self, queued_request: QueuedRequest) -> None:
        """Add a request behind those of its rank that came earlier."""
        insort(self.requests, queued_request, key=lambda item: item.rank)

    def record_starts(self, count: int, now_ms: int) -> None:
        """Record starts from the queue; the rate of an empty queue is unknown."""
        self.started_ms.extend([now_ms] * count)
        if not self.requests:
            self.started_ms.clear()

    def stuck_ms(self, now_ms: int) -> int:
        """Return for how long nothing has started although requests wait, 0 if something has."""
        if not self.requests or self.started_ms:
            return 0
        return min(RATE_WINDOW_MS, now_ms - self.busy_since_ms)

    def expected_wait_ms(self, ahead: int, now_ms: int) -> float:
        """Return the expected wait in ms behind `ahead` requests; 0 while the rate is unknown."""
        window_ms = min(RATE_WINDOW_MS, now_ms - self.busy_since_ms)
        if not ahead or window_ms < MIN_RATE_WINDOW_MS:
            return 0.0
        while self.started_ms and self.started_ms[0] < now_ms - window_ms:
            self.started_ms.popleft()
        if not self.started_ms:
            return 0.0
        return (ahead + 1) * window_ms / len(self.started_ms)


class Admission:
    """One VM's queues, ordered by rank, within a rank by workspaces' shares, then by arrival.

    A request that is not expected to start within the time it may wait is refused at once, with a
    retry delay after which the queue is expected to be empty; it is shorter for urgent requests.
    """

    def __init__(self, seed: int, shares: WorkspaceShares | None = None) -> None:
        self.shares = shares or WorkspaceShares()
        self.fleet_queues = FleetQueues()
        self.refusals: Counter[RefusalCause] = Counter()
        """Requests that were refused by this VM's queues, by the cause."""
        self._queues: dict[str, _Queue] = {}
        self._forgets_ms = 0
        self._random = random.Random(seed)

    @property
    def count(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue.requests) for queue in self._queues.values())

    def trial(self, generator: random.Random, workspace: str) -> Admission:
        """Return a copy to try a workspace's request with.

        It starts and refuses none of the requests that wait.
        """
        found = Admission(0, self.shares.trial(workspace))
        found.fleet_queues = self.fleet_queues.trial()
        found._random = generator
        found._queues = {name: queue.trial() for name, queue in self._queues.items()}
        return found

    def position(self, queued_request: QueuedRequest, now_ms: int) -> QueuePosition:
        """Return where a request that arrives now would be queued."""
        queue = self._queues.get(queued_request.queue) or _Queue()
        ahead = self._in_order(queue, now_ms, queued_request).index(queued_request)
        key = queued_request.queue_rank
        return QueuePosition(
            queued=len(queue.requests),
            ahead=ahead,
            wait_ms=self._expected_wait_ms(queue, key, ahead, now_ms),
            allowed_ms=queued_request.expires_ms - now_ms,
            is_outranked=self.fleet_queues.is_outranked(key, now_ms),
            pass_chance=self.shares.pass_chance(
                queued_request.pool, queued_request.workspace, now_ms
            ),
        )

    def has_more_urgent(self, service: str, rank: int) -> bool:
        """Return whether more urgent requests for a service are queued."""
        return any(
            other.service == service and other.rank < rank
            for queue in self._queues.values()
            for other in queue.requests
        )

    def submit(self, queued_request: QueuedRequest, now_ms: int) -> None:
        """Start a request, queue it, or refuse it."""
        self.fleet_queues.record_asked(queued_request.queue_rank, now_ms)
        if self._exceeds_share(queued_request, now_ms):
            return
        queue = self._queues.setdefault(queued_request.queue, _Queue())
        order = self._in_order(queue, now_ms, queued_request)
        ahead = order.index(queued_request)
        if not ahead and self._try_start(queued_request, now_ms):
            return
        queued_request.queued_ms = now_ms
        wait_ms = self._expected_wait_ms(queue, queued_request.queue_rank, ahead, now_ms)
        is_full = self.count >= MAX_QUEUED and order[-1] is queued_request
        if is_full or wait_ms > queued_request.expires_ms - now_ms:
            self._refuse(queued_request, now_ms)
            return
        if not queue.requests:
            queue.busy_since_ms = now_ms
        queue.add(queued_request)
        self._refuse_overtaken(queue, order, queued_request.rank, now_ms)

    def _exceeds_share(self, queued_request: QueuedRequest, now_ms: int) -> bool:
        """Count an arriving request; refuse it if it exceeds its workspace's share."""
        if queued_request.is_repeat:
            return False
        pool, workspace = queued_request.pool, queued_request.workspace
        self.shares.record_asked(pool, workspace, queued_request.work, now_ms)
        chance = self.shares.pass_chance(pool, workspace, now_ms)
        if chance >= 1.0 or self._random.random() < chance:
            return False
        queued_request.refusal_cause = RefusalCause.SHARE
        self.refusals[RefusalCause.SHARE] += 1
        delay_ms = self.retry_after_ms(queued_request.queue, queued_request.rank, now_ms)
        queued_request.refuse(int(min(RETRY_AFTER_MAX_MS, delay_ms / max(chance, 0.1))))
        return True

    def _try_start(self, queued_request: QueuedRequest, now_ms: int) -> bool:
        """Start a request if it can, and charge its workspace unless it was refused instead."""
        if self.fleet_queues.is_outranked(queued_request.queue_rank, now_ms):
            queued_request.refusal_cause = RefusalCause.OUTRANKED
            return False
        queued_request.refusal_cause = RefusalCause.NO_ROOM
        if not queued_request.try_start(now_ms):
            return False
        pool, work = queued_request.pool, queued_request.work
        is_refused = queued_request.is_refused()
        if is_refused:
            self.refusals[queued_request.refusal_cause] += 1
        else:
            self.shares.record_started(pool, queued_request.workspace, work, now_ms)
            self.fleet_queues.record_started(queued_request.queue_rank, now_ms)
        queued_ms = queued_request.queued_ms
        if is_refused or (queued_ms is not None and now_ms - queued_ms > CONTENDED_WAIT_MS):
            self._record_waited(queued_request, now_ms)
        return True

    def _record_waited(self, queued_request: QueuedRequest, now_ms: int) -> None:
        """Note that there was no room for a request when it came."""
        self.shares.record_waited(queued_request.pool, queued_request.work, now_ms)
        self.fleet_queues.record_waiting(queued_request.queue, now_ms)

    def _expected_wait_ms(self, queue: _Queue, key: QueueRank, ahead: int, now_ms: int) -> float:
        """Return the expected wait in the fleet, as far as its rate is known, or at this VM."""
        wait_ms = self.fleet_queues.expected_wait_ms(key, ahead, now_ms)
        return queue.expected_wait_ms(ahead, now_ms) if wait_ms is None else wait_ms

    def _in_order(self, queue: _Queue, now_ms: int, *added: QueuedRequest) -> list[QueuedRequest]:
        """Return the requests of a queue, with an added one, in order of service.

        A workspace's requests start as if each before them had been charged to it already.
        """
        requests = [*queue.requests, *added]
        if len({item.workspace for item in requests}) <= 1:
            return sorted(requests, key=lambda item: item.rank)
        levels: dict[tuple[int, str], float] = {}
        keys: list[tuple[int, float]] = []
        for item in requests:
            key = (item.rank, item.workspace)
            if key not in levels:
                levels[key] = self.shares.level(item.pool, item.workspace, now_ms)
            keys.append((item.rank, levels[key]))
            levels[key] += item.work
        positions = sorted(range(len(requests)), key=keys.__getitem__)
        return [requests[position] for position in positions]

    def _refuse_overtaken(
        self, queue: _Queue, order: Sequence[QueuedRequest], rank: int, now_ms: int
    ) -> None:
        """Refuse the last request if the queues are full, or of a rank if it would wait too long.

        Among requests of the same rank it is one of the workspace that is furthest over its share.
        """
        last = order[-1]
        if self.count <= MAX_QUEUED:
            ahead, last = max(
                ((ahead, item) for ahead, item in enumerate(order) if item.rank == rank),
                key=itemgetter(0),
            )
            if not self.shares.is_contended(last.pool, now_ms):
                return
            wait_ms = self._expected_wait_ms(queue, last.queue_rank, ahead, now_ms)
            if wait_ms <= last.expires_ms - now_ms:
                return
        if last.rank == rank:
            last.refusal_cause = RefusalCause.OVERTAKEN
        queue.requests.remove(last)
        self._refuse(last, now_ms)

    def _refuse(self, queued_request: QueuedRequest, now_ms: int) -> None:
        """Refuse a request that had to wait too long or would have to."""
        self._record_waited(queued_request, now_ms)
        self.refusals[queued_request.refusal_cause] += 1
        name, rank = queued_request.queue, queued_request.rank
        queued_request.refuse(self.retry_after_ms(name, rank, now_ms))

    def cancel(self, queued_request: QueuedRequest) -> None:
        """Remove a request whose caller disconnected."""
        queue = self._queues.get(queued_request.queue)
        if queue is not None and queued_request in queue.requests:
            queue.requests.remove(queued_request)

    def process_queues(self, now_ms: int) -> None:
        """Start the requests for which there is capacity and refuse those that waited too long."""
        for queue in self._queues.values():
            started = list(self._start_requests(queue, now_ms))
            for queued_request in started:
                queue.requests.remove(queued_request)
            for queued_request in [item for item in queue.requests if item.expires_ms <= now_ms]:
                queue.requests.remove(queued_request)
                self._refuse(queued_request, now_ms)
            count = sum(not queued_request.is_refused() for queued_request in started)
            queue.record_starts(count, now_ms)

    def retry_after_ms(self, name: str, rank: int, now_ms: int) -> int:
        """Return a refused caller's retry delay in ms; randomized, shorter for urgent requests."""
        queue = self._queues.get(name) or _Queue()
        ahead = sum(1 for other in queue.requests if other.rank <= rank)
        key = QueueRank(name, rank)
        wait_ms = self._expected_wait_ms(queue, key, ahead, now_ms) or queue.stuck_ms(now_ms)
        base_ms = RETRY_AFTER_MIN_MS + RETRY_AFTER_RANK_MS * rank + wait_ms
        earliest_ms = now_ms + int(base_ms * self._random.uniform(1.0, 1.5))
        at_ms = self.fleet_queues.next_return_ms(key, earliest_ms, now_ms)
        return int(min(RETRY_AFTER_MAX_MS, at_ms - now_ms))

    def queue_reports(self, now_ms: int) -> tuple[BeatQueue, ...]:
        """Return what to tell peers of this VM's queues."""
        waiting: dict[QueueRank, Waiting] = {}
        for item in (item for queue in self._queues.values() for item in queue.requests):
            known = waiting.get(item.queue_rank, Waiting(count=0, oldest_ms=0))
            waited_ms = now_ms - (item.queued_ms if item.queued_ms is not None else now_ms)
            waiting[item.queue_rank] = Waiting(
                count=known.count + 1, oldest_ms=max(known.oldest_ms, waited_ms)
            )
        return self.fleet_queues.own_reports(waiting, now_ms)

    def set_peer(self, vm_id: VmId, heartbeat: Beat, told_ms: int) -> None:
        """Replace what a peer told of its queues and its work for workspaces."""
        self.shares.set_peer(vm_id, heartbeat.shares, told_ms)
        self.fleet_queues.set_peer(vm_id, heartbeat.queues, told_ms)

    def tick(self, now_ms: int) -> None:
        """Forget what is old, now and then."""
        if now_ms < self._forgets_ms:
            return
        self._forgets_ms = now_ms + FORGET_INTERVAL_MS
        self.shares.tick(now_ms)
        self.fleet_queues.tick(now_ms)

    def spread_ms(self, wait_ms: int) -> int:
        """Return a caller's retry delay if a request can start after a wait at the earliest.

        It is random, so that not all callers return at the same moment.
        """
        return wait_ms + int(self._random.uniform(0, RETRY_AFTER_MIN_MS))

    def _start_requests(self, queue: _Queue, now_ms: int) -> Iterator[QueuedRequest]:
        """Start requests in order and yield them; stop at the first that can't start."""
        for queued_request in self._in_order(queue, now_ms):
            if not self._try_start(queued_request, now_ms):
                return
            yield queued_request


def queue_wait_ms(target_ms: int, left_ms: int) -> int:
    """Return how long, in ms, a request may wait in the queue.

    After more than a part of its target the answer would be too late to be worth the capacity.
    """
    return min(left_ms, max(MIN_QUEUE_WAIT_MS, round(target_ms * QUEUE_WAIT_SHARE)))
