"""Reading of the platform's VM list.

Guards against an invalid list that is applied in part, and against an older list that replaces a
newer one when the platform answers with a lower version.
"""

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
    VmListCache,
    VmListCoordinator,
    VmListError,
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
            vm_list_cache=VmListCache(reset_after_ms=1_000),
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

    async def test_the_last_valid_list_stays_after_invalid_values_and_downtime(self) -> None:
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

    async def test_a_lower_version_is_ignored_until_it_persists(self) -> None:
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
    """The cache and the parser."""

    def test_a_list_with_restarted_numbering_is_accepted_eventually(self) -> None:
        vm_list_cache = VmListCache(reset_after_ms=1_000)
        high = VmList(version=9, entry_vms=(build_vm(1),), endpoints=())
        low = VmList(version=2, entry_vms=(build_vm(2),), endpoints=())
        self.assertTrue(vm_list_cache.update(high, 0))
        self.assertFalse(vm_list_cache.update(low, 100))
        self.assertFalse(vm_list_cache.update(high, 600))
        self.assertFalse(vm_list_cache.update(low, 700))
        self.assertFalse(vm_list_cache.update(low, 1_600))
        self.assertTrue(vm_list_cache.update(low, 1_700))
        self.assertEqual(vm_list_cache.current, low)

    def test_invalid_lists_are_rejected_with_a_code(self) -> None:
        vm = {
            "vm_id": "a",
            "address": "10.0.0.1:80",
            "peer_address": "10.0.0.1:81",
            "failure_domain_id": "d",
        }
        valid = {"version": 1, "entry_vms": [vm]}
        self.assertEqual(parse_vm_list(json.dumps(valid).encode()).version, 1)
        invalid: list[object] = [
            [],
            {**valid, "version": "1"},
            {**valid, "entry_vms": [vm, vm]},
            {**valid, "entry_vms": [{**vm, "address": "host:80"}]},
            {**valid, "entry_vms": [{**vm, "state": "gone"}]},
            {**valid, "endpoints": [{"endpoint_id": "e"}]},
        ]
        contents = [json.dumps(item).encode() for item in invalid]
        for content in [b"", b"\xff", b"{", b"[" * 50_000, *contents]:
            with self.subTest(content=content[:80]):
                with self.assertRaises(VmListError) as caught:
                    parse_vm_list(content)
                self.assertEqual(caught.exception.code, ErrorCode.WIRE_MALFORMED)
