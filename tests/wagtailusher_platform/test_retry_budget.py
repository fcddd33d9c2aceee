"""Tests of the fleet's budget for repeats while VMs are replaced.

They guard against a VM that spends its share again after each start.
"""

from __future__ import annotations

import asyncio
import time

from tests.standins.runner import answer
from tests.wagtailusher_platform.fleet import PlatformTest
from wagtailusher_http import HttpError

RATIO = 0.2
SLACK = 90
WINDOW_S = 6.0
REQUESTS_PER_S = 60
VM_COUNT = 3
RESTART_S = 0.1
BOUNDS = {
    "retry_budget_ratio": RATIO,
    "retry_budget_slack": SLACK,
    "budget_window_s": WINDOW_S,
}


class RetryBudgetTest(PlatformTest):
    """All endpoints of a service fail each of its safe requests."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(4):
            await self.async_runner("desk", f"i-{number}", answer(status="500 Oops"))
        self.sent_s: dict[str, float] = {}
        self.vms = [await self._async_vm(number + 1) for number in range(VM_COUNT)]
        self._number = 0

    async def _async_vm(self, number: int) -> int:
        """Start a VM and return its place among the gateways."""
        app = await self.async_gateway(number, bounds=BOUNDS, bootstrap=False)
        await self.async_ready(app, len(self.runners))
        await self.async_settled(app)
        return number

    async def _async_send(self, index: int) -> None:
        """Send one safe request to a VM, unless that is being replaced."""
        self._number += 1
        attempt_id = f"repeat-{self._number}"
        if index >= len(self.apps):
            return
        self.sent_s[attempt_id] = time.monotonic()
        try:
            reply = await self.async_ask(self.apps[index], "/look/1", x_attempt_id=attempt_id)
            await reply.async_read()
        except HttpError:
            return

    async def _async_load(self, duration_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(round(duration_s * REQUESTS_PER_S)):
                group.create_task(self._async_send(number % VM_COUNT))
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _async_replace_all(self) -> None:
        """Kill each VM and start it again at once."""
        for number in range(1, VM_COUNT + 1):
            await self.async_kill(self.apps[0])
            await asyncio.sleep(RESTART_S)
            await self._async_vm(number)

    def _excess(self) -> float:
        """Return by how much repeats exceed the budget in the worst window."""
        first: dict[str, float] = {}
        repeats: list[float] = []
        for runner in self.runners:
            for attempt_id in runner.executed_ids:
                at_s = self.sent_s.get(attempt_id, 0.0)
                if attempt_id in first:
                    repeats.append(at_s)
                first[attempt_id] = at_s
        requests = sorted(self.sent_s.values())

        def excess(start_s: float) -> float:
            end_s = start_s + WINDOW_S
            counted = sum(start_s <= at_s < end_s for at_s in requests)
            return sum(start_s <= at_s < end_s for at_s in repeats) - RATIO * counted - SLACK

        self.assertGreater(len(repeats), 0.05 * len(requests))
        return max(excess(start_s) for start_s in requests)

    async def test_vms_that_are_replaced_twice_repeat_no_more_than_the_budget(self) -> None:
        await asyncio.sleep(WINDOW_S)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._async_load(11.0))
            await asyncio.sleep(1.5)
            for _ in range(2):
                await self._async_replace_all()
        self.assertLessEqual(self._excess(), 0)
