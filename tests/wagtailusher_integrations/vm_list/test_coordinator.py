"""The VM list is taken whole or refused whole, and older lists don't replace newer ones."""

from __future__ import annotations

import asyncio
import json
import unittest

from tests.standins.config_service import async_wait_until
from tests.standins.vm_list import VmList as VmListService
from wagtailusher_core import (
    EndpointId,
    ErrorCode,
    FailureDomainId,
    PoolId,
    PublishedState,
    PublishedVm,
    VmId,
)
from wagtailusher_http import HttpClient
from wagtailusher_integrations.config_service import LongPollLimits
from wagtailusher_integrations.vm_list import (
    VmList,
    VmListCoordinator,
    VmListError,
    VmListKeeper,
    parse_vm_list,
)
from wagtailusher_placement import EndpointInfo, EndpointState

LIMITS = LongPollLimits(
    wait_ms=200, wait_margin_ms=100, min_interval_ms=1, backoff_base_ms=10, backoff_limit_ms=40
)


def build_vm(index: int, state: PublishedState = PublishedState.LIVE) -> PublishedVm:
    """Return an entry VM."""
    return PublishedVm(
        vm_id=VmId(f"vm-{index}"),
        address=f"127.0.0.1:{8000 + index}",
        peer_address=f"127.0.0.1:{9000 + index}",
        failure_domain_id=FailureDomainId("a"),
        state=state,
    )


def build_endpoint(state: EndpointState = EndpointState.LIVE) -> EndpointInfo:
    """Return an endpoint."""
    return EndpointInfo(
        endpoint_id=EndpointId("engine-1"),
        pool_ids=frozenset({PoolId("small"), PoolId("large")}),
        failure_domain_id=FailureDomainId("b"),
        address="[::1]:7000",
        state=state,
        concurrency_limit=8,
        cold_limit=2,
        resumes_streams=True,
    )


class CoordinatorTest(unittest.IsolatedAsyncioTestCase):
    """A coordinator against the stand-in on real sockets."""

    async def asyncSetUp(self) -> None:
        self.service = await self.enterAsyncContext(VmListService())
        client = await self.enterAsyncContext(HttpClient())
        self.seen: list[VmList] = []
        self.coordinator = VmListCoordinator(
            client,
            self.service.address,
            seed=3,
            on_update=self.seen.append,
            limits=LIMITS,
            keeper=VmListKeeper(reset_after_ms=1_000),
        )

    def watch(self) -> None:
        """Watch until the test ends."""
        task = asyncio.get_running_loop().create_task(self.coordinator.async_run())
        self.addCleanup(task.cancel)

    async def test_lists_arrive_as_they_change(self) -> None:
        self.service.behaviour.lag_ms = 30
        self.service.publish_vms([build_vm(1), build_vm(2)], [build_endpoint()])
        self.watch()
        await async_wait_until(lambda: len(self.seen) == 1)
        self.assertEqual(self.seen[0].entry_vms, (build_vm(1), build_vm(2)))
        self.assertEqual(self.seen[0].endpoints, (build_endpoint(),))
        leaving = build_vm(2, PublishedState.LEAVING)
        self.service.publish_vms([leaving], [build_endpoint(EndpointState.LEAVING)])
        await async_wait_until(lambda: len(self.seen) == 2)
        self.assertEqual(self.seen[1].entry_vms, (leaving,))
        self.assertEqual(self.seen[1].endpoints, (build_endpoint(EndpointState.LEAVING),))

    async def test_garbage_and_downtime_leave_the_last_good_list(self) -> None:
        self.service.publish_vms([build_vm(1)])
        self.watch()
        await async_wait_until(lambda: len(self.seen) == 1)
        self.service.publish_raw(b'{"version": 2, "entry_vms": []}')
        await async_wait_until(lambda: self.coordinator.status.problem is not None)
        self.assertEqual(self.coordinator.status.problem_code, ErrorCode.WIRE_MALFORMED)
        self.service.behaviour.down = True
        await async_wait_until(
            lambda: self.coordinator.status.problem_code is ErrorCode.PLATFORM_UNAVAILABLE
        )
        self.assertEqual(self.coordinator.current, self.seen[0])
        self.service.publish_vms([build_vm(3)])
        self.service.behaviour.down = False
        await async_wait_until(lambda: self.seen[-1].entry_vms == (build_vm(3),))
        self.assertIsNone(self.coordinator.status.problem)

    async def test_a_lower_version_is_passed_over_until_it_lasts(self) -> None:
        self.service.publish_vms([build_vm(1)], version=9)
        self.watch()
        await async_wait_until(lambda: len(self.seen) == 1)
        self.service.publish_vms([build_vm(2)], version=4)
        watches = self.service.counters.watches
        await async_wait_until(lambda: self.service.counters.watches > watches + 2)
        self.assertEqual(len(self.seen), 1)
        self.service.publish_vms([build_vm(3)], version=10)
        await async_wait_until(lambda: len(self.seen) == 2)
        self.service.publish_vms([build_vm(4)], version=2)
        watches = self.service.counters.watches
        await async_wait_until(lambda: len(self.seen) == 3)
        self.assertLess(self.service.counters.watches - watches, 12)


class VmListTest(unittest.TestCase):
    """Lists as values."""

    def test_a_list_that_was_numbered_anew_is_taken_in_the_end(self) -> None:
        keeper = VmListKeeper(reset_after_ms=1_000)
        high = VmList(version=9, entry_vms=(build_vm(1),), endpoints=())
        low = VmList(version=2, entry_vms=(build_vm(2),), endpoints=())
        self.assertTrue(keeper.offer(high, 0))
        self.assertFalse(keeper.offer(low, 100))
        self.assertFalse(keeper.offer(high, 600))
        self.assertFalse(keeper.offer(low, 700))
        self.assertFalse(keeper.offer(low, 1_600))
        self.assertTrue(keeper.offer(low, 1_700))
        self.assertEqual(keeper.current, low)

    def test_garbage_is_refused_with_a_code(self) -> None:
        vm = {
            "vm_id": "a",
            "address": "10.0.0.1:80",
            "peer_address": "10.0.0.1:81",
            "failure_domain_id": "d",
        }
        good = {"version": 1, "entry_vms": [vm]}
        self.assertEqual(parse_vm_list(json.dumps(good).encode()).version, 1)
        faulty: list[object] = [
            [],
            {**good, "version": "1"},
            {**good, "entry_vms": [vm, vm]},
            {**good, "entry_vms": [{**vm, "address": "host:80"}]},
            {**good, "entry_vms": [{**vm, "state": "gone"}]},
            {**good, "endpoints": [{"endpoint_id": "e"}]},
        ]
        contents = [json.dumps(item).encode() for item in faulty]
        for content in [b"", b"\xff", b"{", b"[" * 50_000, *contents]:
            with self.subTest(content=content[:80]):
                with self.assertRaises(VmListError) as caught:
                    parse_vm_list(content)
                self.assertEqual(caught.exception.code, ErrorCode.WIRE_MALFORMED)
