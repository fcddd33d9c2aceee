"""Tests of the calls to engines and platform services whose answers never end.

They guard against a call that holds memory or its task for as long as a byte arrives now and then.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.standins.endless_calls import EndlessCallCase
from wagtailusher_core import EndpointId, FailureDomainId, PoolId, RequestId, WagtailusherError
from wagtailusher_integrations.config_service import ConfigServiceCoordinator, LongPollLimits
from wagtailusher_integrations.config_service.const import MAX_POLLED_BYTES
from wagtailusher_integrations.engine import EngineCoordinator
from wagtailusher_integrations.engine.const import DEFAULT_POLL_TIMEOUT_MS, MAX_REPORT_BYTES
from wagtailusher_integrations.vm_list import VmListCoordinator
from wagtailusher_placement import EndpointInfo, EndpointState

READ_TIMEOUT_MS = 400
LIMITS = LongPollLimits(read_timeout_ms=READ_TIMEOUT_MS)


class EndlessCallTest(EndlessCallCase):
    """Each call fails within its time and holds no more than its own limit."""

    async def test_load_report_without_end(self) -> None:
        engines = EngineCoordinator(self.client)

        async def async_poll(address: str) -> None:
            self.assertEqual(await engines.async_poll_load([_endpoint(address)], lambda: 1), [])

        await self.async_check(async_poll, DEFAULT_POLL_TIMEOUT_MS, MAX_REPORT_BYTES)

    async def test_answer_to_a_cancellation_without_end(self) -> None:
        engines = EngineCoordinator(self.client)

        async def async_cancel(address: str) -> None:
            engines.cancel(address, RequestId("r-1"))
            await asyncio.gather(*engines._cancel_tasks)

        await self.async_check(async_cancel, DEFAULT_POLL_TIMEOUT_MS, MAX_REPORT_BYTES)

    async def test_configuration_without_end(self) -> None:
        async def async_read(address: str) -> None:
            with self.assertRaises(WagtailusherError):
                await ConfigServiceCoordinator(
                    self.client, address, seed=1, limits=LIMITS
                ).async_read()

        await self.async_check(async_read, READ_TIMEOUT_MS, MAX_POLLED_BYTES)

    async def test_vm_list_without_end(self) -> None:
        async def async_read(address: str) -> None:
            with self.assertRaises(WagtailusherError):
                await VmListCoordinator(self.client, address, seed=1, limits=LIMITS).async_read()

        await self.async_check(async_read, READ_TIMEOUT_MS, MAX_POLLED_BYTES)


def _endpoint(address: str) -> EndpointInfo:
    return EndpointInfo(
        endpoint_id=EndpointId("e-1"),
        pool_ids=frozenset({PoolId("small")}),
        failure_domain_id=FailureDomainId("a"),
        address=address,
        state=EndpointState.LIVE,
        concurrency_limit=8,
        cold_limit=2,
        resumes_streams=False,
    )


if __name__ == "__main__":
    unittest.main()
