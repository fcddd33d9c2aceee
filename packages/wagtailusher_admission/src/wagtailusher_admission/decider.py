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
    """Queues the requests of one entry VM and tracks them from their arrival to their end."""

    def __init__(self, limits: AdmissionLimits | None = None) -> None:
        """Start without requests."""
        self._limits = limits or AdmissionLimits()
        self._pools: dict[PoolId, PoolQueue] = {}
        self._entries: dict[RequestId, Entry] = {}
        self._order = 0
        self._deadlines: HandleHeap[Entry] = HandleHeap()

    def enqueue(self, request: PendingRequest, now_ms: int) -> tuple[Refusal, ...]:
        """Queue a request; return the refusal of itself or of a request evicted for it, if any.

        Raises DuplicateRequestError when the id is already held, AdmissionError for a bad tier.
        """
        if request.request_id in self._entries:
            raise DuplicateRequestError(f"request {request.request_id} is already held")
        self._order += 1
        return self._enqueue(request, self._order, now_ms, is_requeue=False)

    def requeue(self, request: PendingRequest, now_ms: int) -> tuple[Refusal, ...]:
        """Queue a request that was started but not sent; it keeps its position in arrival order."""
        entry = self._entries.pop(request.request_id, None)
        if entry is None:
            return self.enqueue(request, now_ms)
        self._detach(entry)
        return self._enqueue(request, entry.order, now_ms, is_requeue=True)

    def expire(self, now_ms: int) -> tuple[Refusal, ...]:
        """Refuse requests past their deadline, or move those served late behind the others."""
        refusals = []
        while (entry := self._deadlines.peek()) and entry.deadline_ms < now_ms:
            if entry.request.deadline_behaviour is _SERVE_LATE:
                self._cancel_deadline(entry)
                self._pool(entry.request.pool_id).mark_late(entry)
                continue
            refusals.append(self._refuse_queued(entry, ErrorCode.DEADLINE_UNREACHABLE))
        return tuple(refusals)

    def next_expiry_ms(self) -> int | None:
        """Return the next time at which `expire` has an effect, None without deadlines."""
        entry = self._deadlines.peek()
        return None if entry is None else entry.deadline_ms + 1

    def startable_requests(self, pool_id: PoolId, now_ms: int) -> Iterator[PendingRequest]:
        """Yield the requests that may start, in order of service."""
        pool = self._pools.get(pool_id)
        if pool is None:
            return
        first = pool.next_to_start()
        if first is None:
            return
        if _may_start(first, now_ms):
            yield first.request
        for entry in pool.entries_after(first):
            if _may_start(entry, now_ms):
                yield entry.request

    def start(self, request_id: RequestId, now_ms: int) -> None:
        """Move a queued request into service; raise UnknownRequestError if it is not queued."""
        entry = self._entries.get(request_id)
        if entry is None or not entry.is_queued:
            raise UnknownRequestError(f"request {request_id} is not queued")
        self._cancel_deadline(entry)
        self._pool(entry.request.pool_id).start(entry, now_ms)

    def record_first_answer(self, request_id: RequestId, now_ms: int) -> None:
        """Add a sample of the time from start to first answer; unknown requests are ignored."""
        entry = self._entries.get(request_id)
        if entry is not None and entry.state is STARTED:
            entry.class_state.answer_time.add(now_ms - entry.started_ms)

    def finish(self, request_id: RequestId, now_ms: int) -> None:
        """End the service of a request; raise UnknownRequestError if it is not in service."""
        entry = self._entries.get(request_id)
        if entry is None or entry.state is not STARTED:
            raise UnknownRequestError(f"request {request_id} is not in service")
        del self._entries[request_id]
        self._pool(entry.request.pool_id).finish(entry, now_ms)

    def withdraw(self, request_id: RequestId, now_ms: int) -> None:
        """Remove a request whose caller left, whether it is queued or in service."""
        entry = self._entries.get(request_id)
        if entry is not None:
            self._remove(entry)

    def mean_service_ms(self, pool_id: PoolId, key: ClassKey, tier: int) -> float | None:
        """Return the mean service time of a class, or None before its first completion."""
        pool = self._pools.get(pool_id)
        return None if pool is None else pool.mean_service_ms(key, tier)

    def demand(self, pool_id: PoolId) -> Mapping[int, int]:
        """Return by tier the number of requests in service, or waiting and within quota."""
        pool = self._pools.get(pool_id)
        return {} if pool is None else pool.demand()

    def demand_by_tier(self, pool_id: PoolId) -> tuple[int, ...]:
        """Return the demand as in a lease request: one count for each tier, highest first."""
        demand = self.demand(pool_id)
        return tuple(demand.get(tier, 0) for tier in range(TIER_COUNT))

    def queued_count(self, pool_id: PoolId) -> int:
        """Return the number of requests queued for a pool."""
        pool = self._pools.get(pool_id)
        return 0 if pool is None else pool.queued

    def active_pools(self) -> Set[PoolId]:
        """Return the pools with a request queued or in service, in a stable order."""
        busy = (pool_id for pool_id, pool in self._pools.items() if not pool.is_idle())
        return dict.fromkeys(busy).keys()

    def _enqueue(
        self, request: PendingRequest, order: int, now_ms: int, *, is_requeue: bool
    ) -> tuple[Refusal, ...]:
        """Queue a request, evicting another when the shared queue slots are used up."""
        if not 0 <= request.tier < TIER_COUNT:
            raise AdmissionError(f"tier {request.tier} is invalid; number of tiers: {TIER_COUNT}")
        pool = self._pool(request.pool_id)
        class_state = pool.get_class_state(request)
        entry = Entry(request, order, class_state, is_requeued=is_requeue)
        is_late = entry.deadline_ms < now_ms
        if is_late and request.deadline_behaviour is _FAIL_FAST:
            return (self._refuse(request, ErrorCode.DEADLINE_UNREACHABLE),)
        if not is_requeue and len(class_state.queued) >= max(1, request.queue_limit):
            code = ErrorCode.QUEUE_FULL if class_state.is_open else ErrorCode.QUOTA_EXCEEDED
            return (self._refuse(request, code),)
        refusals: tuple[Refusal, ...] = ()
        if class_state.queued and pool.shared_slots >= self._limits.pool_queue_limit:
            eviction_candidate = pool.eviction_candidate(class_state, is_requeue=is_requeue)
            if eviction_candidate is None:
                return (self._refuse(request, ErrorCode.SHED),)
            refusals = (self._refuse_queued(eviction_candidate, ErrorCode.SHED),)
        self._entries[request.request_id] = entry
        pool.insert(entry, LATE if is_late else IN_TIME)
        if not is_late:
            entry.deadline_handle = self._deadlines.push(entry.deadline_ms, order, entry)
        return refusals

    def _refuse_queued(self, entry: Entry, code: ErrorCode) -> Refusal:
        """Remove a queued entry and return its refusal."""
        self._remove(entry)
        return self._refuse(entry.request, code)

    def _remove(self, entry: Entry) -> None:
        del self._entries[entry.request.request_id]
        self._detach(entry)

    def _detach(self, entry: Entry) -> None:
        """Remove an entry from the queue or from service."""
        pool = self._pool(entry.request.pool_id)
        self._cancel_deadline(entry)
        if entry.is_queued:
            pool.remove(entry)
        else:
            pool.end_service(entry)

    def _cancel_deadline(self, entry: Entry) -> None:
        """Remove an entry from the deadline heap."""
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
    """Return whether a queued entry is within its deadline or may be served late."""
    if entry.deadline_ms >= now_ms:
        return True
    return entry.request.deadline_behaviour is _SERVE_LATE
