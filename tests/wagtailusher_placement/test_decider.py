"""Tests of endpoint choice.

Stale load, cold or slow endpoints must not get more requests than they can serve.
"""

from __future__ import annotations

import unittest

from wagtailusher_core import (
    ClassId,
    ClassKey,
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    RequestId,
    VmId,
    WorkspaceId,
)
from wagtailusher_placement import (
    AttemptResult,
    CacheEvent,
    EndpointInfo,
    EndpointState,
    LoadReport,
    PlacementDecider,
    PlacementRequest,
)

POOL = PoolId("model-a")
KEY = ClassKey(WorkspaceId("retail"), ClassId("advice"))
NEAR = FailureDomainId("fd-1")
FAR = FailureDomainId("fd-2")


def endpoint(name: str, **changes: object) -> EndpointInfo:
    """Return an endpoint with defaults."""
    fields: dict[str, object] = {
        "endpoint_id": EndpointId(name),
        "pool_ids": frozenset({POOL}),
        "failure_domain_id": NEAR,
        "address": f"{name}:1",
        "concurrency_limit": 8,
        "cold_limit": 2,
    }
    return EndpointInfo(**{**fields, **changes})  # type: ignore[arg-type]


def placement_request(name: str, **changes: object) -> PlacementRequest:
    """Return a request with defaults."""
    fields: dict[str, object] = {
        "request_id": RequestId(name),
        "pool_id": POOL,
        "tier": 1,
        "key": KEY,
        "prompt_tokens": 200,
    }
    return PlacementRequest(**{**fields, **changes})  # type: ignore[arg-type]


def new_decider(*infos: EndpointInfo) -> PlacementDecider:
    """Return a standalone decider with the given endpoints."""
    result = PlacementDecider(vm_id=VmId("vm-1"), failure_domain_id=NEAR, seed=7)
    result.update_endpoints(infos, 0)
    return result


def place(target: PlacementDecider, name: str, now_ms: int, **changes: object) -> str | None:
    """Choose, start and send one request; return its endpoint."""
    request = placement_request(name, **changes)
    choice = target.choose(request, now_ms)
    if choice is None:
        return None
    target.start_request(choice, request, now_ms)
    assert target.may_send(request.request_id, now_ms)
    return choice.endpoint_id


def serve(target: PlacementDecider, name: str, now_ms: int, slow: str = "") -> str | None:
    """Place and complete one request, late at the slow endpoint; return its endpoint."""
    endpoint_id = place(target, name, now_ms)
    now_ms += 250 if endpoint_id == slow else 100
    target.record_first_token(RequestId(name), now_ms)
    target.record_progress(RequestId(name), 20, now_ms + 200)
    target.finish_request(RequestId(name), AttemptResult.COMPLETED, now_ms + 200)
    return endpoint_id


class ChoiceTest(unittest.TestCase):
    """Choice of the endpoint for a request."""

    def test_limits_and_exclusions_hold(self) -> None:
        target = new_decider(endpoint("a", concurrency_limit=2), endpoint("b", concurrency_limit=2))
        placed = [place(target, f"r{index}", 0) for index in range(5)]
        self.assertEqual(sorted(filter(None, placed)), ["a", "a", "b", "b"])
        target.finish_request(RequestId("r0"), AttemptResult.COMPLETED, 10)
        freed = EndpointId(str(placed[0]))
        self.assertIsNone(target.choose(placement_request("x", excluded=frozenset({freed})), 10))
        self.assertEqual(place(target, "y", 10), freed)

    def test_lease_is_checked_again_right_before_a_send(self) -> None:
        target = new_decider(endpoint("a"))
        requests = [placement_request(f"r{index}") for index in range(4)]
        for request in requests:
            choice = target.choose(request, 0)
            assert choice is not None
            target.start_request(choice, request, 0)
        report = LoadReport(endpoint_id=EndpointId("a"), reported_at_ms=1, cold=True)
        target.observe_report(report, 1)
        sent = [target.may_send(request.request_id, 2) for request in requests]
        self.assertEqual(sent, [True, True, False, False])

    def test_drained_and_leaving_endpoints_get_no_requests_and_return_cold(self) -> None:
        infos = (endpoint("a"), endpoint("b", failure_domain_id=FAR))
        target = new_decider(*infos)
        request = placement_request("queued")
        choice = target.choose(request, 0)
        assert choice is not None
        target.start_request(choice, request, 0)
        target.update_drained_domains((NEAR, FAR), 1)
        self.assertFalse(target.may_send(request.request_id, 2))
        target.finish_request(request.request_id, AttemptResult.CANCELLED, 2)
        self.assertIsNone(target.choose(placement_request("x"), 2))
        target.update_drained_domains((NEAR,), 3)
        placed = [place(target, f"r{index}", 4) for index in range(4)]
        self.assertEqual(placed, ["b", "b", None, None])
        leaving = endpoint("b", failure_domain_id=FAR, state=EndpointState.LEAVING)
        target.update_endpoints((infos[0], leaving), 5)
        target.finish_request(RequestId("r0"), AttemptResult.COMPLETED, 6)
        self.assertIsNone(target.choose(placement_request("y"), 6))

    def test_cached_prefix_attracts_requests_until_its_endpoint_queues_too_many(self) -> None:
        target = new_decider(*(endpoint(f"e{index}", concurrency_limit=64) for index in range(12)))
        hashes = tuple(range(100, 132))
        long = {"prompt_tokens": 8_000, "prefix_hashes": hashes}
        target.observe_cache_event(
            CacheEvent(endpoint_id=EndpointId("e5"), sequence=1, stored=hashes), 0
        )
        self.assertEqual(place(target, "warm-up", 0, **long), "e5")
        for index in range(60):
            place(target, f"r{index}", 0, prompt_tokens=10, expected_output_tokens=500)
        view = {item.endpoint_id: item.own_tokens for item in target.endpoint_views(0)}
        for index in range(40):
            place(target, f"load{index}", 0, **long, expected_output_tokens=500)
        after = {item.endpoint_id: item.own_tokens for item in target.endpoint_views(0)}
        self.assertGreater(after[EndpointId("e5")], view[EndpointId("e5")])
        self.assertLess(after[EndpointId("e5")] - view[EndpointId("e5")], 40 * 500)

    def test_a_gap_in_cache_events_halves_the_cached_tokens(self) -> None:
        target = new_decider(*(endpoint(f"e{index}") for index in range(2)))
        hashes = tuple(range(8))
        request = placement_request("x", prompt_tokens=800, prefix_hashes=hashes)
        cached = []
        for sequence in (1, 2, 9):
            stored = hashes if sequence == 1 else (sequence,)
            target.observe_cache_event(
                CacheEvent(endpoint_id=EndpointId("e1"), sequence=sequence, stored=stored), 0
            )
            choice = target.choose(request, 0)
            assert choice is not None
            by_id = {score.endpoint_id: score for score in choice.candidates}
            cached.append(by_id[EndpointId("e1")].cached_tokens)
        self.assertEqual(cached, [800.0, 800.0, 400.0])

    def test_an_old_report_decays_to_the_mean_of_the_pool(self) -> None:
        target = new_decider(endpoint("a"), endpoint("b"))
        for name, running in (("a", 0), ("b", 8)):
            report = LoadReport(endpoint_id=EndpointId(name), reported_at_ms=0, running=running)
            target.observe_report(report, 0)
        differences = []
        for now_ms in (0, 2_000, 20_000):
            target.lease_requests({}, now_ms)
            choice = target.choose(placement_request("x"), now_ms)
            assert choice is not None
            by_id = {score.endpoint_id: score.reported_tokens for score in choice.candidates}
            differences.append(by_id[EndpointId("b")] - by_id[EndpointId("a")])
        self.assertAlmostEqual(differences[1], differences[0] / 2)
        self.assertLess(differences[2], differences[0] / 500)


class HealthTest(unittest.TestCase):
    """Treatment of slow, failing and cold endpoints."""

    def test_a_straggler_gets_less_and_a_common_cause_ejects_few(self) -> None:
        target = new_decider(*(endpoint(f"e{index}") for index in range(6)))
        counts: dict[str | None, int] = {}
        now_ms = 0
        for index in range(300):
            now_ms += 1_000
            name = serve(target, f"r{index}", now_ms, slow="e0")
            counts[name] = counts.get(name, 0) + 1
        self.assertLess(counts.get("e0", 0), 300 / 6 / 2, counts)
        for index in range(200):
            now_ms += 10
            place(target, f"f{index}", now_ms)
            target.finish_request(RequestId(f"f{index}"), AttemptResult.FAILED, now_ms)
        ejected = [item for item in target.endpoint_views(now_ms) if item.ejected]
        self.assertEqual(len(ejected), 2)

    def test_a_cold_endpoint_is_detected_by_overdue_first_tokens(self) -> None:
        target = new_decider(*(endpoint(f"e{index}") for index in range(3)))
        for index in range(60):
            serve(target, f"r{index}", index * 500)
        now_ms = 60_000
        stuck = [place(target, f"s{index}", now_ms) for index in range(12)]
        for index, name in enumerate(stuck):
            if name != "e1":
                target.record_first_token(RequestId(f"s{index}"), now_ms + 100)
        target.lease_requests({}, now_ms + 1_000)
        view = {item.endpoint_id: item for item in target.endpoint_views(now_ms + 1_000)}
        self.assertEqual({key for key, item in view.items() if item.cold}, {"e1"})
        self.assertEqual(view[EndpointId("e1")].allowed, 2)

    def test_a_reported_restart_marks_the_endpoint_cold_until_it_ramped_up(self) -> None:
        target = new_decider(endpoint("a"))
        for incarnation in (1, 2):
            report = LoadReport(
                endpoint_id=EndpointId("a"),
                reported_at_ms=incarnation,
                incarnation=Incarnation(incarnation),
            )
            target.observe_report(report, incarnation)
        allowed = []
        for index in range(8):
            allowed.append(target.endpoint_views(index)[0].allowed)
            serve(target, f"r{index}", 10 + index * 1_000)
        self.assertAlmostEqual(target.expected_duration_ms(KEY), 300 * 3 / 4, delta=1)
        self.assertEqual(allowed, [2, 2, 4, 4, 4, 4, 8, 8])
