"""Usage statistics of endpoints, pools and classes since the daemon started."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from wagtailusher_core import ClassKey, PoolId
from wagtailusher_router import ClassifiedRequest

MAX_CLASSES = 20_000


@dataclass(slots=True, kw_only=True)
class LoadUsage:
    """Requests in flight over time: current, peak and their integral in request-milliseconds."""

    in_flight: int = 0
    peak_in_flight: int = 0
    busy_ms: int = 0
    changed_ms: int = 0

    def add(self, step: int, now_ms: int) -> None:
        """Add `step` to the number of requests in flight."""
        self.busy_ms += self.in_flight * (now_ms - self.changed_ms)
        self.changed_ms = now_ms
        self.in_flight = max(0, self.in_flight + step)
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)

    def mean_in_flight(self, since_ms: int, now_ms: int) -> float:
        """Return the mean number of requests in flight since a time."""
        busy_ms = self.busy_ms + self.in_flight * (now_ms - self.changed_ms)
        return busy_ms / max(1, now_ms - since_ms)


@dataclass(slots=True, kw_only=True)
class EndpointUsage:
    """Usage of one endpoint."""

    load: LoadUsage
    last_start_ms: int = 0
    completed: int = 0
    good_tokens: int = 0
    wasted_tokens: int = 0


@dataclass(slots=True, kw_only=True)
class ClassUsage:
    """Number of finished requests of one class, and of those that met its target."""

    tier: int = 0
    pool_ids: frozenset[PoolId] = frozenset()
    finished: int = 0
    met: int = 0


class UsageStats:
    """Collects usage statistics from the starts and ends of attempts and requests."""

    def __init__(self, now_ms: int) -> None:
        self.since_ms = now_ms
        self.endpoints: dict[str, EndpointUsage] = {}
        self.pools: dict[PoolId, LoadUsage] = {}
        self.classes: dict[ClassKey, ClassUsage] = defaultdict(ClassUsage)

    def record_start(self, endpoint_id: str, arrival: ClassifiedRequest, now_ms: int) -> None:
        """Record that a request was sent to an endpoint."""
        usage = self.endpoints.get(endpoint_id)
        if usage is None:
            usage = self.endpoints[endpoint_id] = EndpointUsage(load=LoadUsage(changed_ms=now_ms))
        usage.load.add(1, now_ms)
        usage.last_start_ms = now_ms
        self._pool_usage(arrival.pool_id, now_ms).add(1, now_ms)

    def record_end(
        self,
        endpoint_id: str,
        arrival: ClassifiedRequest,
        *,
        events: int,
        wasted: bool,
        now_ms: int,
    ) -> None:
        """Record the end of an attempt; its events count as good or wasted tokens."""
        usage = self.endpoints[endpoint_id]
        usage.load.add(-1, now_ms)
        self._pool_usage(arrival.pool_id, now_ms).add(-1, now_ms)
        if wasted:
            usage.wasted_tokens += events
        else:
            usage.completed += 1
            usage.good_tokens += events

    def record_request_end(self, arrival: ClassifiedRequest, *, met: bool) -> None:
        """Record the end of a request; classes beyond MAX_CLASSES are not tracked."""
        key = arrival.policy.key
        if key not in self.classes and len(self.classes) >= MAX_CLASSES:
            return
        usage = self.classes[key]
        usage.tier = arrival.policy.tier
        usage.pool_ids |= {arrival.pool_id}
        usage.finished += 1
        usage.met += met

    def last_start_age_ms(self, endpoint_ids: Iterable[str], now_ms: int) -> int | None:
        """Return the time since a request was last sent to any of the endpoints, or None."""
        used = [self.endpoints[item] for item in endpoint_ids if item in self.endpoints]
        if not used:
            return None
        return now_ms - max(usage.last_start_ms for usage in used)

    def _pool_usage(self, pool_id: PoolId, now_ms: int) -> LoadUsage:
        usage = self.pools.get(pool_id)
        if usage is None:
            usage = self.pools[pool_id] = LoadUsage(changed_ms=now_ms)
        return usage
