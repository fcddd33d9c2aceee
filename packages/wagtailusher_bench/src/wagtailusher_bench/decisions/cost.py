"""Measures the time of one routing decision against fleet, workspace and queue size."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
import json
from random import Random
from statistics import median
import sys
from time import perf_counter_ns

import defopt

from wagtailusher_admission import AdmissionDecider, AdmissionLimits, PendingRequest
from wagtailusher_core import (
    ClassId,
    ClassKey,
    EndpointId,
    FailureDomainId,
    PoolId,
    RequestId,
    VmId,
    WorkspaceId,
)
from wagtailusher_placement import (
    AttemptResult,
    EndpointInfo,
    PlacementDecider,
    PlacementRequest,
)

POOL = PoolId("model")
BASE_SIZES = {"endpoints": 64, "workspaces": 500, "queued": 1_000}
SERIES = {
    "endpoints": (16, 64, 256),
    "workspaces": (50, 500, 4_700),
    "queued": (10, 1_000, 10_000),
}
DEFAULT_DECISIONS = 5_000
BATCH_DECISIONS = 50
IN_SERVICE = 256
NS_PER_US = 1_000
_CONCURRENCY = 32
_FAR_DEADLINE_MS = 1 << 40


@dataclass(frozen=True, slots=True, kw_only=True)
class DecisionCost:
    """The time of one decision: median and minimum over batches."""

    endpoints: int
    workspaces: int
    queued: int
    decisions: int
    median_us: float
    least_us: float


@dataclass(frozen=True, slots=True, kw_only=True)
class CostSlope:
    """Growth of the minimum time between the smallest and the largest value of one size."""

    size: str
    from_value: int
    to_value: int
    ratio: float
    us_per_thousand: float


class DecisionLoop:
    """Admits, queues, places and finishes requests one after the other in a steady state."""

    def __init__(self, *, endpoints: int, workspaces: int, queued: int) -> None:
        self._rng = Random(f"{endpoints}/{workspaces}/{queued}")
        self._admission = AdmissionDecider(AdmissionLimits(pool_queue_limit=2 * queued + 100))
        self._placement = PlacementDecider(
            vm_id=VmId("vm"), failure_domain_id=FailureDomainId("domain0"), seed=1
        )
        self._placement.update_endpoints([_endpoint(number) for number in range(endpoints)], 0)
        self.endpoints = endpoints
        self.workspaces = workspaces
        self._now_ms = 0
        self._request_count = 0
        self._in_service: deque[RequestId] = deque()
        for _ in range(queued):
            self._admission.enqueue(self._next_request(), self._now_ms)

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return self._admission.queued_count(POOL)

    @property
    def in_service(self) -> int:
        """Return the number of requests that were started and not finished."""
        return sum(self._admission.demand(POOL).values()) - self.queued

    def prepare(self, count: int) -> list[PendingRequest]:
        """Return new requests, so that their creation is not part of the measured time."""
        return [self._next_request() for _ in range(count)]

    def decide(self, requests: Sequence[PendingRequest]) -> None:
        """For each request: enqueue it, start the next queued one and finish the oldest."""
        admission, placement = self._admission, self._placement
        for incoming in requests:
            self._now_ms += 1
            now_ms = self._now_ms
            admission.enqueue(incoming, now_ms)
            admission.expire(now_ms)
            pending = next(admission.startable_requests(POOL, now_ms))
            request = PlacementRequest(
                request_id=pending.request_id,
                pool_id=POOL,
                tier=pending.tier,
                key=pending.key,
                prompt_tokens=400,
                expected_output_tokens=100,
            )
            choice = placement.choose(request, now_ms)
            assert choice is not None
            admission.start(pending.request_id, now_ms)
            placement.start_request(choice, request, now_ms)
            placement.may_send(pending.request_id, now_ms)
            self._in_service.append(pending.request_id)
            if len(self._in_service) > IN_SERVICE:
                ended = self._in_service.popleft()
                placement.finish_request(ended, AttemptResult.COMPLETED, now_ms)
                admission.finish(ended, now_ms)

    def _next_request(self) -> PendingRequest:
        """Return a request of a random class and workspace."""
        self._request_count += 1
        rng = self._rng
        tier = rng.randrange(7)
        workspace_id = WorkspaceId(f"w{rng.randrange(self.workspaces)}")
        return PendingRequest(
            request_id=RequestId(f"r{self._request_count}"),
            key=ClassKey(workspace_id, ClassId(f"tier{tier}")),
            pool_id=POOL,
            tier=tier,
            arrived_ms=self._now_ms,
            deadline_ms=_FAR_DEADLINE_MS + rng.randrange(10_000),
            share=0.001,
            queue_limit=1 << 20,
        )


def measure_series(
    loops: Sequence[DecisionLoop], *, decisions: int, clock_ns: Callable[[], int] = perf_counter_ns
) -> list[DecisionCost]:
    """Measure loops in turns, batch by batch, so that other load on the VM slows all alike."""
    for loop in loops:
        loop.decide(loop.prepare(max(decisions // 2, IN_SERVICE)))
    samples_us: list[list[float]] = [[] for _ in loops]
    for _ in range(max(1, decisions // BATCH_DECISIONS)):
        for loop, samples in zip(loops, samples_us, strict=True):
            requests = loop.prepare(BATCH_DECISIONS)
            begin_ns = clock_ns()
            loop.decide(requests)
            samples.append((clock_ns() - begin_ns) / NS_PER_US / BATCH_DECISIONS)
    return [
        DecisionCost(
            endpoints=loop.endpoints,
            workspaces=loop.workspaces,
            queued=loop.queued,
            decisions=decisions,
            median_us=round(median(samples), 2),
            least_us=round(min(samples), 2),
        )
        for loop, samples in zip(loops, samples_us, strict=True)
    ]


def measure_costs(decisions: int = DEFAULT_DECISIONS) -> Iterator[DecisionCost | CostSlope]:
    """Yield the cost at each value of each size, the others at BASE_SIZES, and its slope."""
    for size, values in SERIES.items():
        loops = [DecisionLoop(**{**BASE_SIZES, size: value}) for value in values]
        costs = measure_series(loops, decisions=decisions)
        yield from costs
        yield _cost_slope(size, values, costs)


def _cost_slope(size: str, values: Sequence[int], costs: Sequence[DecisionCost]) -> CostSlope:
    first, last = costs[0].least_us, costs[-1].least_us
    return CostSlope(
        size=size,
        from_value=values[0],
        to_value=values[-1],
        ratio=round(last / first, 3),
        us_per_thousand=round(1_000 * (last - first) / (values[-1] - values[0]), 4),
    )


def _endpoint(number: int) -> EndpointInfo:
    return EndpointInfo(
        endpoint_id=EndpointId(f"e{number}"),
        pool_ids=frozenset({POOL}),
        failure_domain_id=FailureDomainId(f"domain{number % 4}"),
        address=f"e{number}:1",
        concurrency_limit=_CONCURRENCY,
    )


def main(*, decisions: int = DEFAULT_DECISIONS) -> None:
    """Print the cost of decisions, one JSON object per line.

    :param decisions: number of decisions to measure for each combination of sizes
    """
    for result in measure_costs(decisions):
        line = {"kind": type(result).__name__, **asdict(result)}
        sys.stdout.write(json.dumps(line, sort_keys=True, separators=(",", ":")) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
