"""Tests of gateways on VMs whose time of day jumps.

They guard against decisions that rest on the time of day.
"""

from __future__ import annotations

import asyncio
import time
from unittest import mock

from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp

STEPS_S = (5.0, -5.0, 3_600.0, -3_600.0)
BACK_MS = 5_000
SOCKET_END_S = 0.05
"""Time until the socket of a killed VM is closed."""
NS_PER_S = 1_000_000_000


class ClockStepsTest(PlatformTest):
    """Two VMs and one endpoint."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.async_runner("desk", "i-1")
        for number in (1, 2):
            await self.async_gateway(number)
        for app in self.apps:
            await self.async_ready(app, 1)
            await self.async_settled(app)
            await self.async_know_each_other(app)

    async def async_know_each_other(self, app: GatewayApp) -> None:
        """Wait until a VM tells callers to use both."""
        await self.async_until(lambda: self._peers(app) == {"front-1", "front-2"})

    def _peers(self, app: GatewayApp) -> set[str]:
        """Return the VMs that a VM tells callers to use."""
        return {str(member.vm_id) for member in app.fleet.serving_members(monotonic_ms())}

    async def test_vm_that_restarts_after_its_clock_went_back_is_used(self) -> None:
        first, second = self.apps
        await self.async_kill(second)
        await asyncio.sleep(SOCKET_END_S)
        earlier_ms = second.fleet.own_member.incarnation - BACK_MS
        with mock.patch("wagtailusher_gateway.app.wall_ms", return_value=earlier_ms):
            restarted = await self.async_gateway(2)
        await self.async_ready(restarted, 1)
        await self.async_until(
            lambda: any(
                member.address == restarted.options.listen
                for member in first.fleet.serving_members(monotonic_ms())
            )
        )
        await self.async_know_each_other(restarted)
        self.assertEqual((await self.async_ask(restarted, "/look/")).status, 200)

    async def test_running_vms_decide_the_same_while_the_time_of_day_jumps(self) -> None:
        real_ns = time.time_ns()
        for step_s in STEPS_S:
            jumped_ns = real_ns + int(step_s * NS_PER_S)
            with mock.patch("time.time_ns", return_value=jumped_ns):
                await self.async_check_serving(f"i-{step_s}")

    async def async_check_serving(self, endpoint_id: str) -> None:
        """Check that all VMs serve, know each other and follow the store."""
        for app in self.apps:
            answer = await self.async_ask(app, "/look/")
            await answer.async_read()
            self.assertEqual(answer.status, 200)
            self.assertEqual(self._peers(app), {"front-1", "front-2"})
        await self.async_runner("desk", endpoint_id)
        for app in self.apps:
            await self.async_ready(app, 2)
        self.store.remove(f"servers/{endpoint_id}")
        for app in self.apps:
            await self.async_ready(app, 1)
