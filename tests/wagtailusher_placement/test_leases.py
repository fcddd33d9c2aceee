"""Tests of leases, stewards and cold starts over several nodes.

Pauses, partitions and list changes must not let the nodes' credits exceed an endpoint's limit.
"""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.wagtailusher_placement.fake_fleet import (
    DOMAIN,
    LIMITS,
    POOL,
    STEP_MS,
    FakeEndpoint,
    FakeFleet,
)
from wagtailusher_core import EndpointId, VmId
from wagtailusher_placement import EndpointInfo, LoadReport, apportion, find_steward
from wagtailusher_placement.const import GUARANTEED_SLOTS

SETTLED_MS = LIMITS.settling_ms + 3_000


def endpoint(name: str, *, limit: int = 16, cold_limit: int = 2) -> FakeEndpoint:
    """Return a warm endpoint."""
    info = EndpointInfo(
        endpoint_id=EndpointId(name),
        pool_ids=frozenset({POOL}),
        failure_domain_id=DOMAIN,
        address=f"{name}:1",
        concurrency_limit=limit,
        cold_limit=cold_limit,
    )
    return FakeEndpoint(info)


def run_checked(test: unittest.TestCase, fleet: FakeFleet, duration_ms: int) -> None:
    """Advance the time and check at each step that the nodes' credits fit the limits."""
    for _ in range(duration_ms // STEP_MS):
        fleet.run(STEP_MS)
        for endpoint_id, item in fleet.endpoints.items():
            allowed = fleet.allowed(endpoint_id)
            test.assertLessEqual(allowed, item.info.concurrency_limit, fleet.now_ms)


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["pause", "cut", "heal", "leave", "join", "cold", "drain", "back", "burst", "idle"]
        ),
        st.integers(0, 8),
        st.integers(1, 120).map(lambda steps: steps * STEP_MS),
    ),
    min_size=3,
    max_size=12,
)


class LeaseTest(unittest.TestCase):
    """Credits of several nodes."""

    def test_warm_endpoints_are_fully_used_and_shared(self) -> None:
        for node_count in (1, 3, 9):
            fleet = FakeFleet([endpoint("a"), endpoint("b")], node_count, seed=node_count)
            for node in fleet.nodes.values():
                node.demand = 40 // node_count
            run_checked(self, fleet, 20_000)
            in_flight = sum(len(item.running) for item in fleet.endpoints.values())
            self.assertGreaterEqual(in_flight, 26, node_count)
            self.assertTrue(all(node.sent for node in fleet.nodes.values()))

    def test_holders_use_the_local_share_when_the_steward_is_unavailable(self) -> None:
        fleet = FakeFleet([endpoint("a", limit=16)], 5, seed=1, loss=0.0)
        fleet.run(SETTLED_MS)
        steward_id = next(iter(fleet.nodes.values())).placement.steward_id(EndpointId("a"))
        assert steward_id is not None
        fleet.cut_off = frozenset({steward_id})
        run_checked(self, fleet, 6_000)
        others = [node for vm_id, node in fleet.nodes.items() if vm_id != steward_id]
        views = [node.placement.endpoint_views(fleet.now_ms)[0] for node in others]
        self.assertEqual({view.allowed for view in views}, {16 // 5})

    def test_a_cold_endpoint_gets_no_requests_while_its_steward_is_unavailable(self) -> None:
        fleet = FakeFleet([endpoint("a")], 5, seed=1, loss=0.0)
        fleet.run(SETTLED_MS)
        steward_id = next(iter(fleet.nodes.values())).placement.steward_id(EndpointId("a"))
        assert steward_id is not None
        fleet.endpoints[EndpointId("a")].begin_cold_start(fleet.now_ms)
        fleet.run(1_000)
        fleet.nodes[steward_id].paused_until_ms = 1 << 60
        fleet.run(10_000)
        self.assertEqual(fleet.allowed(EndpointId("a")), 0)

    def test_a_holder_without_its_steward_waits_before_it_uses_the_local_share(self) -> None:
        for cuts_steward in (False, True):
            fleet = FakeFleet([endpoint("a", limit=16)], 4, seed=1, loss=0.0)
            steward_id = find_steward(fleet.endpoints[EndpointId("a")].info, fleet.lists[-1][1])
            assert steward_id is not None
            idle_id, *busy_ids = [vm_id for vm_id in fleet.nodes if vm_id != steward_id]
            for vm_id, node in fleet.nodes.items():
                node.demand = 40 if vm_id in busy_ids else 0
            fleet.run(SETTLED_MS)
            idle = fleet.nodes[idle_id].placement
            self.assertEqual(idle.endpoint_views(fleet.now_ms)[0].allowed, 0)
            fleet.cut_off = frozenset({steward_id if cuts_steward else idle_id})
            run_checked(self, fleet, 12_000)
            self.assertEqual(idle.endpoint_views(fleet.now_ms)[0].allowed, 16 // 4)

    def test_a_lease_runs_from_the_sending_of_its_request(self) -> None:
        fleet = FakeFleet([endpoint("a")], 1, seed=1)
        node = next(iter(fleet.nodes.values()))
        fleet.run(SETTLED_MS)
        now_ms = fleet.now_ms + LIMITS.renewal_ms
        request = node.placement.lease_requests({POOL: {1: 4}}, now_ms)[0]
        granted = node.steward.grant_lease(request, now_ms + 400)
        assert granted is not None
        node.placement.apply_grant(granted, now_ms + 400)
        end_ms = now_ms + LIMITS.lifetime_ms - LIMITS.clock_margin_ms
        allowed = [
            node.placement.endpoint_views(at_ms)[0].allowed for at_ms in (end_ms - 1, end_ms)
        ]
        self.assertEqual(allowed, [16, 0])

    def test_a_starting_steward_keeps_warm_endpoints_warm(self) -> None:
        info = endpoint("a").info
        fleet = FakeFleet([], 1, seed=1)
        node = next(iter(fleet.nodes.values()))
        node.placement.update_endpoints((), 0)
        node.steward.update_published((node.vm,), (), 0)
        node.steward.update_published((node.vm,), (info,), 0)
        node.placement.update_endpoints((info,), 0)
        node.placement.update_published((node.vm,), 0)
        for now_ms in range(0, SETTLED_MS, 200):
            report = LoadReport(endpoint_id=info.endpoint_id, reported_at_ms=now_ms)
            node.steward.observe_report(report, now_ms)
            for request in node.placement.lease_requests({POOL: {1: 4}}, now_ms):
                grant = node.steward.grant_lease(request, now_ms)
                if grant is not None:
                    node.placement.apply_grant(grant, now_ms)
        view = node.placement.endpoint_views(now_ms)[0]
        self.assertEqual((view.allowed, view.cold), (16, False))

    def test_a_paused_steward_or_holder_rereads_the_list_and_settles_again_if_it_changed(
        self,
    ) -> None:
        for changed in (False, True):
            with self.subTest(changed=changed):
                self.check_pause(changed=changed)

    def check_pause(self, *, changed: bool) -> None:
        """Pause all nodes, let them read the list again and check when they resume."""
        fleet = FakeFleet([endpoint("a")], 3, seed=1, loss=0.0)
        fleet.run(SETTLED_MS)
        before_ms = fleet.now_ms
        now_ms = before_ms + LIMITS.lifetime_ms + 1
        (old_version,) = {node.steward.list_version for node in fleet.nodes.values()}
        vms, infos = fleet.lists[-1][1], [item.info for item in fleet.endpoints.values()]
        steward_id = find_steward(infos[0], vms)
        for node in fleet.nodes.values():
            (request,) = node.placement.lease_requests({POOL: {1: 4}}, now_ms)
            self.assertIsNone(node.steward.grant_lease(request, now_ms))
            for read_started_ms in (before_ms, now_ms):
                self.assertEqual(node.placement.endpoint_views(now_ms)[0].allowed, 0)
                self.assertEqual(node.steward.epochs(now_ms), {})
                version = old_version + changed
                node.steward.update_published(vms, infos, now_ms, version, read_started_ms)
                node.placement.update_published(vms, now_ms, version, read_started_ms)
            is_steward = node.vm.vm_id == steward_id
            self.assertEqual(bool(node.steward.epochs(now_ms)), is_steward and not changed)
            wait_ms = LIMITS.fallback_ms if not changed else LIMITS.settling_ms - 1
            for later_ms in range(0, wait_ms, LIMITS.pause_tolerance_ms):
                node.placement.lease_requests({}, now_ms + later_ms)
                if changed:
                    self.assertEqual(node.placement.endpoint_views(now_ms + later_ms)[0].allowed, 0)

    def test_a_higher_tier_gets_the_credits_and_the_lowest_still_progresses(self) -> None:
        fleet = FakeFleet([endpoint("a", limit=12)], 3, seed=5)
        high, *low = fleet.nodes.values()
        high.tier, high.demand = 0, 0
        for node in low:
            node.tier, node.demand = 5, 40
        run_checked(self, fleet, SETTLED_MS)
        self.assertEqual(len(high.completions), 0)
        high.demand = 40
        run_checked(self, fleet, 8_000)
        self.assertGreaterEqual(len(high.completions), 11)
        before = sum(node.sent for node in low)
        run_checked(self, fleet, LIMITS.lifetime_ms * GUARANTEED_SLOTS * 2)
        sent = sum(node.sent for node in low) - before
        self.assertGreaterEqual(sent, 1)
        self.assertLess(sent, high.sent / 20)
        hints = {
            node.placement.random_peer_steward(POOL, fleet.now_ms) for node in fleet.nodes.values()
        }
        self.assertEqual(len(hints - {None}), 1)

    @settings(max_examples=40)
    @given(
        node_count=st.sampled_from([1, 2, 3, 9]),
        seed=st.integers(0, 1 << 30),
        loss=st.sampled_from([0.0, 0.1, 0.4]),
        events=EVENTS,
    )
    def test_credits_never_exceed_the_limit(
        self,
        node_count: int,
        seed: int,
        loss: float,
        events: list[tuple[str, int, int]],
    ) -> None:
        fleet = FakeFleet([endpoint("a"), endpoint("b", limit=7)], node_count, seed, loss)
        run_checked(self, fleet, 6_000)
        for kind, number, wait_ms in events:
            apply_event(fleet, kind, number, wait_ms)
            run_checked(self, fleet, wait_ms)
        self.assertEqual(fleet.endpoints[EndpointId("b")].excess_sent_ms, [])


def apply_event(fleet: FakeFleet, kind: str, number: int, wait_ms: int) -> None:
    """Apply one fault or change."""
    ids = list(fleet.nodes)
    vm_id = ids[number % len(ids)]
    listed = {vm.vm_id for vm in fleet.lists[-1][1]}
    if kind == "pause":
        fleet.nodes[vm_id].paused_until_ms = fleet.now_ms + wait_ms * (1 + number)
    elif kind == "cut":
        fleet.cut_off = frozenset(ids[: number % len(ids)])
    elif kind == "heal":
        fleet.cut_off = frozenset()
    elif kind == "leave":
        fleet.publish(listed - {vm_id})
    elif kind == "join":
        fleet.publish(listed | {vm_id})
    elif kind == "cold":
        fleet.endpoints[EndpointId("a")].begin_cold_start(fleet.now_ms)
    elif kind in ("burst", "idle"):
        fleet.nodes[vm_id].demand = 40 if kind == "burst" else 0
    else:
        idle = fleet.endpoints[EndpointId("b")]
        if kind == "back" and fleet.drained and not idle.running:
            idle.begin_cold_start(fleet.now_ms)
        fleet.drained = (DOMAIN,) if kind == "drain" else ()


class ColdStartTest(unittest.TestCase):
    """Requests at cold endpoints, with several nodes deciding on stale views."""

    def count_excess_sends(
        self, node_count: int, *, reports_cold: bool, seed: int
    ) -> tuple[int, int]:
        """Make an endpoint cold; return the excess sends before and after its detection."""
        cold = endpoint("a")
        cold.reports_cold = reports_cold
        fleet = FakeFleet([cold, endpoint("b"), endpoint("c")], node_count, seed)
        for node in fleet.nodes.values():
            node.demand = 36 // node_count
        fleet.run(15_000)
        cold_ms = fleet.now_ms
        cold.begin_cold_start(cold_ms)
        detected_ms = None
        for _ in range(60_000 // STEP_MS):
            fleet.run(STEP_MS)
            for node in fleet.nodes.values():
                views = node.placement.endpoint_views(fleet.now_ms)
                if detected_ms is None and any(view.cold for view in views):
                    detected_ms = fleet.now_ms
        assert detected_ms is not None
        late = [sent for sent in cold.excess_sent_ms if sent > detected_ms + LIMITS.lifetime_ms]
        return len(cold.excess_sent_ms) - len(late), len(late)

    def test_no_sends_exceed_the_cold_limit_after_detection(self) -> None:
        for node_count in (1, 3, 9):
            for reports_cold in (True, False):
                with self.subTest(node_count=node_count, reports_cold=reports_cold):
                    early, late = self.count_excess_sends(
                        node_count, reports_cold=reports_cold, seed=node_count
                    )
                    self.assertEqual(late, 0)
                    self.assertLessEqual(early, 16)

    def test_an_endpoint_that_returns_never_gets_more_than_its_cold_limit(self) -> None:
        for node_count in (1, 3, 9):
            fleet = FakeFleet([endpoint("a"), endpoint("b")], node_count, seed=node_count)
            fleet.run(SETTLED_MS)
            fleet.drained = (DOMAIN,)
            fleet.run(8_000)
            self.assertEqual(sum(len(item.running) for item in fleet.endpoints.values()), 0)
            for item in fleet.endpoints.values():
                item.begin_cold_start(fleet.now_ms)
            fleet.drained = ()
            run_checked(self, fleet, 60_000)
            self.assertEqual([item.excess_sent_ms for item in fleet.endpoints.values()], [[], []])
            self.assertEqual([item.cold_since_ms for item in fleet.endpoints.values()], [None] * 2)
            self.assertGreater(fleet.allowed(EndpointId("a")), 2)

    def test_an_endpoint_that_refused_a_connection_is_cold_for_every_node_after_a_lifetime(
        self,
    ) -> None:
        for node_count, loss in ((1, 0.0), (3, 0.0), (9, 0.0), (3, 0.3), (9, 0.3)):
            for reports_cold in (True, False):
                with self.subTest(node_count=node_count, loss=loss, reports_cold=reports_cold):
                    cold = endpoint("a")
                    cold.reports_cold = reports_cold
                    endpoints = [cold, endpoint("b"), endpoint("c")]
                    fleet = FakeFleet(endpoints, node_count, seed=node_count, loss=loss)
                    self.check_restart_after_refusal(fleet, cold)

    def check_restart_after_refusal(self, fleet: FakeFleet, cold: FakeEndpoint) -> None:
        """Let the steward of an idle endpoint see a refusal, and restart it a lifetime later."""
        fleet.run(SETTLED_MS)
        endpoint_id = cold.info.endpoint_id
        self.assertGreater(fleet.allowed(endpoint_id), cold.info.cold_limit)
        self.set_demand(fleet, 0)
        fleet.run(8_000)
        steward_id = find_steward(cold.info, fleet.lists[-1][1])
        assert steward_id is not None
        node = fleet.nodes[steward_id]
        node.placement.observe_refused_connection(endpoint_id, fleet.now_ms)
        node.steward.observe_refused_connection(endpoint_id, fleet.now_ms)
        fleet.run(LIMITS.lifetime_ms)
        cold.begin_cold_start(fleet.now_ms)
        self.set_demand(fleet, 36 // len(fleet.nodes))
        run_checked(self, fleet, 40_000)
        self.assertEqual(cold.excess_sent_ms, [])
        self.assertIsNone(cold.cold_since_ms)

    def set_demand(self, fleet: FakeFleet, demand: int) -> None:
        """Set the number of requests that each node keeps in flight."""
        for node in fleet.nodes.values():
            node.demand = demand

    def test_a_cold_endpoint_warms_up_though_its_steward_has_no_callers(self) -> None:
        fleet = FakeFleet([endpoint("a")], 5, seed=2)
        cold = fleet.endpoints[EndpointId("a")]
        steward_id = find_steward(cold.info, fleet.lists[-1][1])
        for vm_id, node in fleet.nodes.items():
            node.demand = 0 if vm_id == steward_id else 4
        fleet.run(SETTLED_MS)
        fleet.drained = (DOMAIN,)
        fleet.run(8_000)
        cold.begin_cold_start(fleet.now_ms)
        fleet.drained = ()
        run_checked(self, fleet, 40_000)
        self.assertEqual(cold.excess_sent_ms, [])
        self.assertGreater(len(cold.running), 10)


class ApportionTest(unittest.TestCase):
    """Division of an endpoint's credits."""

    @given(
        limit=st.integers(0, 64),
        demands=st.dictionaries(
            st.sampled_from([VmId(f"vm-{index}") for index in range(6)]),
            st.lists(st.integers(0, 20), min_size=7, max_size=7).map(tuple),
            min_size=1,
        ),
    )
    def test_no_lower_tier_has_credits_that_a_higher_one_lacks(
        self, limit: int, demands: dict[VmId, tuple[int, ...]]
    ) -> None:
        credits = apportion(limit, demands)
        self.assertEqual(sum(credits.values()), limit)
        for tier in range(7):
            lacking = any(
                credits[node] < sum(demand[: tier + 1]) for node, demand in demands.items()
            )
            if lacking:
                for node, demand in demands.items():
                    self.assertLessEqual(credits[node], sum(demand[: tier + 1]))
