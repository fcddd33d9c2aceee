"""The decider that admits, queues, orders and refuses requests."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Set

from wagtailusher_admission.const import TIER_COUNT
from wagtailusher_admission.entry import IN_TIME, LATE, STARTED, Entry
from wagtailusher_admission.errors import AdmissionError, DuplicateRequestError, UnknownRequestError
from wagtailusher_admission.heap import HandleHeap
from wagtailusher_admission.pool import PoolQueue
from wagtailusher_admission.request import AdmissionLimits, PendingRequest, Refusal
from wagtailusher_core import ClassKey, ErrorCode, PoolId, RequestId
from wagtailusher_settings.policy import DeadlineBehaviour

_FAIL_FAST = DeadlineBehaviour.FAIL_FAST
_SERVE_LATE = DeadlineBehaviour.SERVE_LATE


class AdmissionDecider:
    """Holds the requests of one entry VM from their arrival to their end."""

    def __init__(self, limits: AdmissionLimits | None = None) -> None:
        """Start without requests."""
        self._limits = limits or AdmissionLimits()
        self._pools: dict[PoolId, PoolQueue] = {}
        self._entries: dict[RequestId, Entry] = {}
        self._order = 0
        self._deadlines: HandleHeap[Entry] = HandleHeap()

    def enqueue(self, request: PendingRequest, now_ms: int) -> tuple[Refusal, ...]:
        """Queue a request; return the refusals of itself or of those that it displaces."""
        if request.request_id in self._entries:
            raise DuplicateRequestError(f"request {request.request_id} is held already")
        self._order += 1
        return self._enqueue(request, self._order, now_ms, keeps_place=False)

    def requeue(self, request: PendingRequest, now_ms: int) -> tuple[Refusal, ...]:
        """Queue a request that was started but not sent; it keeps its place."""
        entry = self._entries.pop(request.request_id, None)
        if entry is None:
            return self.enqueue(request, now_ms)
        self._leave(entry)
        return self._enqueue(request, entry.order, now_ms, keeps_place=True)

    def expire(self, now_ms: int) -> tuple[Refusal, ...]:
        """Refuse or move behind the others what can't meet its target any more."""
        refusals = []
        while (entry := self._deadlines.peek()) and entry.deadline_ms < now_ms:
            if entry.request.deadline_behaviour is _SERVE_LATE:
                self._forget_deadline(entry)
                self._pool(entry.request.pool_id).turn_late(entry)
                continue
            refusals.append(self._drop(entry, ErrorCode.DEADLINE_UNREACHABLE))
        return tuple(refusals)

    def next_expiry_ms(self) -> int | None:
        """Return when `expire` has something to do."""
        entry = self._deadlines.peek()
        return None if entry is None else entry.deadline_ms + 1

    def startable_requests(self, pool_id: PoolId, now_ms: int) -> Iterator[PendingRequest]:
        """Yield the requests that may start, in order of service."""
        pool = self._pools.get(pool_id)
        if pool is None:
            return
        first = pool.first()
        if first is None:
            return
        if _may_start(first, now_ms):
            yield first.request
        for entry in pool.after(first):
            if _may_start(entry, now_ms):
                yield entry.request

    def start(self, request_id: RequestId, now_ms: int) -> None:
        """Take a queued request into service."""
        entry = self._entries.get(request_id)
        if entry is None or not entry.is_queued:
            raise UnknownRequestError(f"request {request_id} is not queued")
        self._forget_deadline(entry)
        self._pool(entry.request.pool_id).start(entry, now_ms)

    def record_first_answer(self, request_id: RequestId, now_ms: int) -> None:
        """Learn from the beginning of an answer; unknown requests are ignored."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.state is STARTED:
            entry.holder.lead.add(now_ms - entry.started_ms)

    def finish(self, request_id: RequestId, now_ms: int) -> None:
        """End the service of a request."""
        entry = self._entries.get(request_id)
        if entry is None or entry.state is not STARTED:
            raise UnknownRequestError(f"request {request_id} is not in service")
        del self._entries[request_id]
        self._pool(entry.request.pool_id).finish(entry, now_ms)

    def withdraw(self, request_id: RequestId, now_ms: int) -> None:
        """Drop a request whose caller left, wherever it stands."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._remove(entry)

    def mean_service_ms(self, pool_id: PoolId, key: ClassKey, tier: int) -> float | None:
        """Return how long requests of a class are in service, or None before the first end."""
        pool = self._pools.get(pool_id)
        return None if pool is None else pool.mean_service_ms(key, tier)

    def demand(self, pool_id: PoolId) -> Mapping[int, int]:
        """Return the requests in service, or waiting and within quota, by tier."""
        pool = self._pools.get(pool_id)
        return {} if pool is None else pool.demand()

    def demand_by_tier(self, pool_id: PoolId) -> tuple[int, ...]:
        """Return the demand as a lease request carries it, the highest tier first."""
        demand = self.demand(pool_id)
        return tuple(demand.get(tier, 0) for tier in range(TIER_COUNT))

    def queued_count(self, pool_id: PoolId) -> int:
        """Return how many requests wait for a pool."""
        pool = self._pools.get(pool_id)
        return 0 if pool is None else pool.queued

    def active_pools(self) -> Set[PoolId]:
        """Return the pools for which a request waits or is in service, in a steady order."""
        busy = (pool_id for pool_id, pool in self._pools.items() if not pool.is_idle())
        return dict.fromkeys(busy).keys()

    def _enqueue(
        self, request: PendingRequest, order: int, now_ms: int, *, keeps_place: bool
    ) -> tuple[Refusal, ...]:
        """Queue a request, making room when needed."""
        if not 0 <= request.tier < TIER_COUNT:
            raise AdmissionError(f"tier {request.tier} is not one of {TIER_COUNT}")
        pool = self._pool(request.pool_id)
        holder = pool.class_of(request)
        entry = Entry(request, order, holder, is_requeued=keeps_place)
        late = entry.deadline_ms < now_ms
        if late and request.deadline_behaviour is _FAIL_FAST:
            return (self._refuse(request, ErrorCode.DEADLINE_UNREACHABLE),)
        if not keeps_place and len(holder.queued) >= max(1, request.queue_limit):
            code = ErrorCode.QUEUE_FULL if holder.is_open else ErrorCode.QUOTA_EXCEEDED
            return (self._refuse(request, code),)
        refusals: tuple[Refusal, ...] = ()
        if holder.queued and pool.shared_places >= self._limits.pool_queue_limit:
            victim = pool.victim(holder, keeps_place=keeps_place)
            if victim is None:
                return (self._refuse(request, ErrorCode.SHED),)
            refusals = (self._drop(victim, ErrorCode.SHED),)
        self._entries[request.request_id] = entry
        pool.insert(entry, LATE if late else IN_TIME)
        if not late:
            entry.deadline_handle = self._deadlines.push(entry.deadline_ms, order, entry)
        return refusals

    def _drop(self, entry: Entry, code: ErrorCode) -> Refusal:
        """Remove a queued entry and return its refusal."""
        self._remove(entry)
        return self._refuse(entry.request, code)

    def _remove(self, entry: Entry) -> None:
        del self._entries[entry.request.request_id]
        self._leave(entry)

    def _leave(self, entry: Entry) -> None:
        """Take an entry out of the queue or of service."""
        pool = self._pool(entry.request.pool_id)
        self._forget_deadline(entry)
        if entry.is_queued:
            pool.remove(entry)
        else:
            pool.end_service(entry)

    def _forget_deadline(self, entry: Entry) -> None:
        """Take an entry out of the order of expiry."""
        if entry.deadline_handle is not None:
            self._deadlines.discard(entry.deadline_handle)
            entry.deadline_handle = None

    def _refuse(self, request: PendingRequest, code: ErrorCode) -> Refusal:
        pool = self._pool(request.pool_id)
        retry_after_ms = min(self._limits.max_retry_after_ms, int(pool.wait_ms(request.tier)))
        return Refusal(
            request_id=request.request_id,
            code=code,
            retry_after_ms=max(self._limits.min_retry_after_ms, retry_after_ms),
        )

    def _pool(self, pool_id: PoolId) -> PoolQueue:
        pool = self._pools.get(pool_id)
        if pool is None:
            pool = self._pools[pool_id] = PoolQueue(self._limits)
        return pool


def _may_start(entry: Entry, now_ms: int) -> bool:
    """Return whether a queued entry's start has a point."""
    if entry.deadline_ms >= now_ms:
        return True
    return entry.request.deadline_behaviour is _SERVE_LATE
