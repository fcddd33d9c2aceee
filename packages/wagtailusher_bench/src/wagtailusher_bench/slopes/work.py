"""Measures processor time of deciders, and membership traffic, by number of operations or nodes."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from statistics import median
from time import process_time

from wagtailusher_bench.fleet.configuration import make_content
from wagtailusher_bench.fleet.membership import measure_traffic
from wagtailusher_bench.slopes.deciders import (
    LIMITS,
    LIST_VERSION,
    POOLS,
    make_endpoints,
    make_placement,
    make_request,
    make_steward,
    make_vms,
)
from wagtailusher_bench.slopes.fit import Point, Slope, fit_line
from wagtailusher_core import PoolId
from wagtailusher_placement import AttemptResult
from wagtailusher_wire.delta import apply_delta, make_delta

US_PER_S = 1_000_000
REPEATS = 5
DECISION_ENDPOINTS = 60
LEASE_STEP_MS = 1_600


def measure_work(
    *,
    decisions: Sequence[int],
    endpoints: Sequence[int],
    renewals: Sequence[int],
    nodes: Sequence[int],
    content_lines: Sequence[int],
) -> Iterator[Slope]:
    """Yield the slopes of processor time and of membership traffic."""
    yield _cpu_slope("decision", "decision", decisions, _prepare_decisions)
    yield _cpu_slope("list_update", "endpoint", endpoints, _prepare_list_update)
    yield _cpu_slope("refresh", "endpoint", endpoints, _prepare_refresh)
    yield _cpu_slope("lease_renewal", "renewal", renewals, _prepare_renewals)
    yield _cpu_slope("configuration_delta", "line of content", content_lines, _prepare_delta)
    yield from _membership_slopes(nodes)


def _cpu_slope(
    measure: str, per: str, sizes: Sequence[int], prepare: Callable[[int], Callable[[], object]]
) -> Slope:
    """Return one slope of processor time; each point is the median of REPEATS runs."""
    points: list[Point] = []
    for size in sizes:
        spent: list[float] = []
        for _ in range(REPEATS):
            run = prepare(size)
            started = process_time()
            run()
            spent.append((process_time() - started) * US_PER_S)
        points.append(Point(size=size, value=median(spent)))
    return fit_line(f"{measure}_cpu", unit="us", per=per, points=points)


def _prepare_decisions(count: int) -> Callable[[], object]:
    """Return a run that places and finishes `count` requests, with the endpoints of one node."""
    decider = make_placement(make_endpoints(DECISION_ENDPOINTS))
    requests = [make_request(number) for number in range(count)]

    def run() -> None:
        for number, request in enumerate(requests):
            choice = decider.choose(request, number)
            assert choice is not None
            decider.start_request(choice, request, number)
            decider.may_send(request.request_id, number)
            decider.record_first_token(request.request_id, number)
            decider.finish_request(request.request_id, AttemptResult.COMPLETED, number)

    return run


def _prepare_list_update(count: int) -> Callable[[], object]:
    """Return a run that applies a published list of `count` endpoints to placement and steward."""
    infos = make_endpoints(count)
    decider = make_placement(infos)
    steward = make_steward(infos)

    def run() -> None:
        decider.update_endpoints(infos, 1)
        decider.update_published(make_vms(), 1, LIST_VERSION)
        steward.update_published(make_vms(), infos, 1, LIST_VERSION)

    return run


def _prepare_refresh(count: int) -> Callable[[], object]:
    """Return a run that refreshes `count` endpoints, as each tick does."""
    decider = make_placement(make_endpoints(count))
    return lambda: decider.lease_requests({}, 1)


def _prepare_renewals(count: int) -> Callable[[], object]:
    """Return a run that renews leases: a holder's requests, the grants, and applying them."""
    infos = make_endpoints(count)
    decider = make_placement(infos)
    decider.update_published(make_vms(), 0, LIST_VERSION)
    steward = make_steward(infos)
    now_ms = 0
    while now_ms <= LIMITS.settling_ms:
        now_ms += LIMITS.pause_tolerance_ms // 2
        steward.tick(now_ms)
    demand = {PoolId(f"model-{number}"): {2: 10} for number in range(POOLS)}

    def run() -> None:
        for request in decider.lease_requests(demand, now_ms):
            grant = steward.grant_lease(request, now_ms)
            assert grant is not None
            decider.apply_grant(grant, now_ms)

    return run


def _prepare_delta(lines: int) -> Callable[[], object]:
    """Return a run that makes the delta of a change and applies it."""
    before, after = make_content(lines, 1), make_content(lines, 2)
    max_bytes = 2 * len(after)
    return lambda: apply_delta(before, make_delta(before, after), max_bytes=max_bytes)


def _membership_slopes(nodes: Sequence[int]) -> Iterator[Slope]:
    """Yield the slopes of membership's cost per node while nothing changes."""
    traffic = [measure_traffic(size, seed=1, loss=0.0) for size in nodes]
    for measure, unit, values in (
        ("membership_bytes_per_s", "bytes/s", [item.mean_bytes_per_s for item in traffic]),
        ("membership_messages_per_s", "1/s", [item.messages_per_s for item in traffic]),
        ("membership_message_cpu", "us", [item.cpu_us_per_message for item in traffic]),
    ):
        points = [Point(size=size, value=value) for size, value in zip(nodes, values, strict=True)]
        yield fit_line(measure, unit=unit, per="node", points=points)
