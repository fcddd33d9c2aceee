"""Queues requests while all endpoints are full, and refuses those that would wait too long."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
import random

from wagtailusher_gateway.const import (
    MAX_QUEUED,
    MIN_QUEUE_WAIT_MS,
    QUEUE_WAIT_SHARE,
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    RETRY_AFTER_RANK_MS,
)

RATE_WINDOW_MS = 2_000
"""Window for counting started requests to estimate the wait; a burst lasts a few seconds."""

MIN_RATE_WINDOW_MS = 100
"""Shortest time that a queue must have been non-empty before its rate is used."""


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


@dataclass(slots=True)
class _Queue:
    """Requests that compete for the same endpoints, and the times of recent starts."""

    requests: list[QueuedRequest] = field(default_factory=list)
    started_ms: deque[int] = field(default_factory=deque)
    busy_since_ms: int = 0
    """Since when the queue has been non-empty; undefined while it is empty."""

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
    """One VM's queues, ordered by rank and within a rank by arrival.

    A request that is not expected to start within the time it may wait is refused at once, with a
    retry delay after which the queue is expected to be empty; it is shorter for urgent requests.
    """

    def __init__(self, seed: int) -> None:
        self._queues: dict[str, _Queue] = {}
        self._random = random.Random(seed)

    @property
    def count(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue.requests) for queue in self._queues.values())

    def has_more_urgent(self, service: str, rank: int) -> bool:
        """Return whether more urgent requests for a service are queued."""
        return any(
            other.service == service and other.rank < rank
            for queue in self._queues.values()
            for other in queue.requests
        )

    def submit(self, queued_request: QueuedRequest, now_ms: int) -> None:
        """Start a request, queue it, or refuse it."""
        queue = self._queues.setdefault(queued_request.queue, _Queue())
        ahead = sum(1 for other in queue.requests if other.rank <= queued_request.rank)
        if not ahead and queued_request.try_start(now_ms):
            return
        wait_ms = queue.expected_wait_ms(ahead, now_ms)
        if wait_ms > queued_request.expires_ms - now_ms or self.count >= MAX_QUEUED:
            queued_request.refuse(
                self.retry_after_ms(queued_request.queue, queued_request.rank, now_ms)
            )
            return
        index = next(
            (
                position
                for position, other in enumerate(queue.requests)
                if other.rank > queued_request.rank
            ),
            len(queue.requests),
        )
        if not queue.requests:
            queue.busy_since_ms = now_ms
        queue.requests.insert(index, queued_request)

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
                queued_request.refuse(
                    self.retry_after_ms(queued_request.queue, queued_request.rank, now_ms)
                )
            queue.record_starts(len(started), now_ms)

    def retry_after_ms(self, name: str, rank: int, now_ms: int) -> int:
        """Return a refused caller's retry delay in ms; randomized, shorter for urgent requests."""
        queue = self._queues.get(name) or _Queue()
        ahead = sum(1 for other in queue.requests if other.rank <= rank)
        wait_ms = queue.expected_wait_ms(ahead, now_ms) or queue.stuck_ms(now_ms)
        base_ms = RETRY_AFTER_MIN_MS + RETRY_AFTER_RANK_MS * rank + wait_ms
        return int(min(RETRY_AFTER_MAX_MS, base_ms * self._random.uniform(1.0, 1.5)))

    def spread_ms(self, wait_ms: int) -> int:
        """Return a caller's retry delay if a request can start after a wait at the earliest.

        It is random, so that not all callers return at the same moment.
        """
        return wait_ms + int(self._random.uniform(0, RETRY_AFTER_MIN_MS))

    def _start_requests(self, queue: _Queue, now_ms: int) -> Iterator[QueuedRequest]:
        """Start requests in order and yield them; stop at the first that can't start."""
        for queued_request in tuple(queue.requests):
            if not queued_request.try_start(now_ms):
                return
            yield queued_request


def queue_wait_ms(target_ms: int, left_ms: int) -> int:
    """Return how long, in ms, a request may wait in the queue.

    After more than a part of its target the answer would be too late to be worth the capacity.
    """
    return min(left_ms, max(MIN_QUEUE_WAIT_MS, round(target_ms * QUEUE_WAIT_SHARE)))
