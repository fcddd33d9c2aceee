"""Requests that wait for a place, and when they are refused; answers load above capacity."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
import random

from wagtailusher_gateway.const import (
    MAX_QUEUED,
    MIN_PLACE_WAIT_MS,
    PLACE_WAIT_SHARE,
    RETRY_AFTER_MAX_MS,
    RETRY_AFTER_MIN_MS,
    RETRY_AFTER_RANK_MS,
)

RATE_WINDOW_MS = 2_000
"""Window in which starts are counted to estimate a wait; a burst lasts a few seconds."""

MIN_RATE_WINDOW_MS = 100
"""Time for which a queue must have been busy before its pace says anything."""


@dataclass(slots=True, kw_only=True, eq=False)
class Waiting:
    """One request that waits for a place."""

    queue: str
    """Requests of one queue compete for the same places."""
    rank: int
    give_up_ms: int
    try_place: Callable[[int], bool]
    """Takes a place if there is one, and says whether it did."""
    refuse: Callable[[int], None]
    """Is told when the caller should come back."""


@dataclass(slots=True)
class _Queue:
    """What waits for the same places, and when waiting requests were started lately."""

    waiting: list[Waiting] = field(default_factory=list)
    started_ms: deque[int] = field(default_factory=deque)
    busy_since_ms: int = 0
    """Since when something has waited without a break; meaningless while nothing waits."""

    def note_starts(self, count: int, now_ms: int) -> None:
        """Count starts from the queue; an empty queue says nothing of the pace."""
        self.started_ms.extend([now_ms] * count)
        if not self.waiting:
            self.started_ms.clear()

    def expected_wait_ms(self, ahead: int, now_ms: int) -> float:
        """Return how long those ahead take at the present pace; 0 while that is unknown."""
        window_ms = min(RATE_WINDOW_MS, now_ms - self.busy_since_ms)
        if not ahead or window_ms < MIN_RATE_WINDOW_MS:
            return 0.0
        while self.started_ms and self.started_ms[0] < now_ms - window_ms:
            self.started_ms.popleft()
        if not self.started_ms:
            return 0.0
        return (ahead + 1) * window_ms / len(self.started_ms)


class Admission:
    """One VM's queues: lower ranks first, within a rank in order of arrival.

    A request that can't expect a place in the time it may wait is refused at once, and told to
    come back when the queue is expected to be over, the more urgent earlier.
    """

    def __init__(self, seed: int) -> None:
        """Start empty."""
        self._queues: dict[str, _Queue] = {}
        self._random = random.Random(seed)

    @property
    def count(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    def arrive(self, waiting: Waiting, now_ms: int) -> None:
        """Start a request, queue it, or refuse it."""
        queue = self._queues.setdefault(waiting.queue, _Queue())
        ahead = sum(1 for other in queue.waiting if other.rank <= waiting.rank)
        if not ahead and waiting.try_place(now_ms):
            return
        wait_ms = queue.expected_wait_ms(ahead, now_ms)
        if wait_ms > waiting.give_up_ms - now_ms or self.count >= MAX_QUEUED:
            waiting.refuse(self.retry_after_ms(waiting.queue, waiting.rank, now_ms))
            return
        index = next(
            (at for at, other in enumerate(queue.waiting) if other.rank > waiting.rank),
            len(queue.waiting),
        )
        if not queue.waiting:
            queue.busy_since_ms = now_ms
        queue.waiting.insert(index, waiting)

    def leave(self, waiting: Waiting) -> None:
        """Drop a request whose caller left."""
        queue = self._queues.get(waiting.queue)
        if queue is not None and waiting in queue.waiting:
            queue.waiting.remove(waiting)

    def pump(self, now_ms: int) -> None:
        """Start what has a place now and refuse what waited too long."""
        for queue in self._queues.values():
            started = list(self._startable(queue, now_ms))
            for waiting in started:
                queue.waiting.remove(waiting)
            for waiting in [item for item in queue.waiting if item.give_up_ms <= now_ms]:
                queue.waiting.remove(waiting)
                waiting.refuse(self.retry_after_ms(waiting.queue, waiting.rank, now_ms))
            queue.note_starts(len(started), now_ms)

    def retry_after_ms(self, name: str, rank: int, now_ms: int) -> int:
        """Return when a refused caller should come back; spread, and sooner for urgent ones."""
        queue = self._queues.get(name) or _Queue()
        ahead = sum(1 for other in queue.waiting if other.rank <= rank)
        wait_ms = queue.expected_wait_ms(ahead, now_ms)
        base_ms = RETRY_AFTER_MIN_MS + RETRY_AFTER_RANK_MS * rank + wait_ms
        return int(min(RETRY_AFTER_MAX_MS, base_ms * self._random.uniform(1.0, 1.5)))

    def _startable(self, queue: _Queue, now_ms: int) -> Iterator[Waiting]:
        """Yield the requests that took a place; none overtakes one of a lower rank."""
        for waiting in tuple(queue.waiting):
            if not waiting.try_place(now_ms):
                return
            yield waiting


def place_wait_ms(target_ms: int, left_ms: int) -> int:
    """Return how long a request may wait for a place.

    Beyond a part of its target the answer would come too late to be worth the place.
    """
    return min(left_ms, max(MIN_PLACE_WAIT_MS, round(target_ms * PLACE_WAIT_SHARE)))
