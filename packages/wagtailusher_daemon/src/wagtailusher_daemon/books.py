"""Books of what endpoints, pools and classes earned since the daemon started."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from wagtailusher_core import ClassKey, PoolId
from wagtailusher_router import ClassifiedRequest

MAX_CLASSES = 20_000


@dataclass(slots=True, kw_only=True)
class LoadBook:
    """The work in flight over time."""

    in_flight: int = 0
    peak_in_flight: int = 0
    busy_ms: int = 0
    changed_ms: int = 0

    def change(self, step: int, now_ms: int) -> None:
        """Add or end work."""
        self.busy_ms += self.in_flight * (now_ms - self.changed_ms)
        self.changed_ms = now_ms
        self.in_flight = max(0, self.in_flight + step)
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def mean_in_flight(self, since_ms: int, now_ms: int) -> float:
        """Return the mean work in flight over a span."""
        busy_ms = self.busy_ms + self.in_flight * (now_ms - self.changed_ms)
        return busy_ms / max(1, now_ms - since_ms)


@dataclass(slots=True, kw_only=True)
class EndpointBook:
    """One endpoint's books."""

    load: LoadBook
    last_start_ms: int = 0
    completed: int = 0
    good_tokens: int = 0
    wasted_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class ClassBook:
    """How often one class met its target."""

    tier: int = 0
    pool_ids: frozenset[PoolId] = frozenset()
    finished: int = 0
    met: int = 0


class Books:
    """Keeps the books as work goes by."""

    def __init__(self, now_ms: int) -> None:
        """Start empty."""
        self.since_ms = now_ms
        self.endpoints: dict[str, EndpointBook] = {}
        self.pools: dict[PoolId, LoadBook] = {}
        self.classes: dict[ClassKey, ClassBook] = defaultdict(ClassBook)

    def started(self, endpoint_id: str, arrival: ClassifiedRequest, now_ms: int) -> None:
        """Note work that was sent to an endpoint."""
        book = self.endpoints.get(endpoint_id)
        if book is None:
            book = self.endpoints[endpoint_id] = EndpointBook(load=LoadBook(changed_ms=now_ms))
        book.load.change(1, now_ms)
        book.last_start_ms = now_ms
        self._pool(arrival.pool_id, now_ms).change(1, now_ms)

    def ended(
        self,
        endpoint_id: str,
        arrival: ClassifiedRequest,
        *,
        events: int,
        wasted: bool,
        now_ms: int,
    ) -> None:
        """Note the end of work at an endpoint."""
        book = self.endpoints[endpoint_id]
        book.load.change(-1, now_ms)
        self._pool(arrival.pool_id, now_ms).change(-1, now_ms)
        if wasted:
            book.wasted_tokens += events
        else:
            book.completed += 1
            book.good_tokens += events

    def finished(self, arrival: ClassifiedRequest, *, met: bool) -> None:
        """Note the end of a request."""
        key = arrival.policy.key
        if key not in self.classes and len(self.classes) >= MAX_CLASSES:
            return
        book = self.classes[key]
        book.tier = arrival.policy.tier
        book.pool_ids |= {arrival.pool_id}
        book.finished += 1
        book.met += met

    def last_start_age_ms(self, endpoint_ids: Iterable[str], now_ms: int) -> int | None:
        """Return how long ago work was last sent to any of some endpoints."""
        known = [self.endpoints[item] for item in endpoint_ids if item in self.endpoints]
        if not known:
            return None
        return now_ms - max(book.last_start_ms for book in known)

    def _pool(self, pool_id: PoolId, now_ms: int) -> LoadBook:
        """Return a pool's book."""
        book = self.pools.get(pool_id)
        if book is None:
            book = self.pools[pool_id] = LoadBook(changed_ms=now_ms)
        return book
