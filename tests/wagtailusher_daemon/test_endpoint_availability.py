"""Tests of entry apps with endpoints that leave, or want nothing for a while.

They guard against requests that reach such an endpoint all the same, and against sound endpoints
that are left out.
"""

from __future__ import annotations

import asyncio
import time
import unittest

from tests.standins.booking import BookingStandin
from tests.standins.config_service import async_wait_until
from tests.wagtailusher_daemon.fleet import Fleet

VM_COUNT = 3
INTERVAL_S = 0.03
SETTLE_S = 0.5
"""Time in which requests that were on their way may still arrive, as on the users' platform."""
WAIT_S = 2.0
"""How long an endpoint wants nothing."""
MAX_REQUESTS = 2
"""Requests that may reach it from each VM in that time, as on the users' platform."""
AT_ONCE_S = 0.5
"""Longest time for a refusal of a request that may wait for ten seconds."""
MS_PER_S = 1000


class EndpointAvailabilityTest(unittest.IsolatedAsyncioTestCase):
    """Three VMs, two engines and two booking services."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(vm_count=VM_COUNT, engine_count=2)
        self.fleet.more_services.append(BookingStandin("booking-1"))
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()

    async def async_look(self, number: int) -> tuple[int, bytes]:
        """Send a call that may be repeated to a VM."""
        path, value = "/services/stock/new", {"booking_id": f"look-{number}"}
        answer = await self.fleet.async_post(path, value, vm=number % VM_COUNT)
        return answer.status, await answer.async_read()

    async def async_load(self, duration_s: float, *, chats: bool) -> set[int]:
        """Send requests to all VMs in turn and return the statuses."""
        tasks = []
        for number in range(int(duration_s / INTERVAL_S)):
            request = (
                self.fleet.async_chat(vm=number % VM_COUNT) if chats else self.async_look(number)
            )
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(INTERVAL_S)
        return {status for status, _ in await asyncio.gather(*tasks)}

    def arrived_s(self, *, chats: bool) -> list[float]:
        """Return when requests arrived at the first engine or service."""
        if chats:
            return [at_ms / MS_PER_S for at_ms in self.fleet.engines[0].counters.started_at_ms]
        return self.fleet.booking.arrived_s

    async def check_leaving(self, *, chats: bool) -> None:
        """Let the first endpoint leave and check that it gets nothing more."""
        behaviour = self.fleet.engines[0].behaviour if chats else self.fleet.booking.behaviour
        behaviour.is_leaving = True
        statuses = await self.async_load(1.0, chats=chats)
        first_s = self.arrived_s(chats=chats)[0]
        statuses |= await self.async_load(1.0, chats=chats)
        late = [at_s for at_s in self.arrived_s(chats=chats) if at_s > first_s + SETTLE_S]
        self.assertEqual(statuses, {200})
        self.assertEqual(len(late), 0)

    async def check_waiting(self, *, chats: bool) -> None:
        """Let the first endpoint want nothing for a while and check what reaches it."""
        behaviour = self.fleet.engines[0].behaviour if chats else self.fleet.booking.behaviour
        ends_s = time.monotonic() + WAIT_S
        behaviour.refuses_until_s = ends_s
        statuses = await self.async_load(WAIT_S + 0.5, chats=chats)
        arrived_s = self.arrived_s(chats=chats)
        late = [at_s for at_s in arrived_s if arrived_s[0] + SETTLE_S < at_s < ends_s]
        self.assertEqual(statuses, {200})
        self.assertLessEqual(len(late), MAX_REQUESTS * VM_COUNT)
        await self.async_load(0.5, chats=chats)
        self.assertGreater(self.arrived_s(chats=chats)[-1], ends_s)

    async def test_engine_that_leaves_gets_no_more_requests(self) -> None:
        await self.check_leaving(chats=True)

    async def test_service_that_leaves_gets_no_more_requests(self) -> None:
        await self.check_leaving(chats=False)

    async def test_engine_that_wants_nothing_gets_at_most_two_requests(self) -> None:
        await self.check_waiting(chats=True)

    async def test_service_that_wants_nothing_gets_at_most_two_requests(self) -> None:
        await self.check_waiting(chats=False)

    async def test_engine_that_left_and_restarted_is_used_again(self) -> None:
        for engine in self.fleet.engines:
            engine.behaviour.is_leaving = True
        await self.async_load(0.5, chats=True)
        status, _ = await self.fleet.async_chat()
        self.assertEqual(status, 503)
        for engine in self.fleet.engines:
            engine.behaviour.is_leaving = False
            await engine.async_crash()
        await async_wait_until(lambda: self._has_restarted())
        statuses = await self.async_load(1.0, chats=True)
        self.assertIn(200, statuses)

    def _has_restarted(self) -> bool:
        """Return whether the first VM knows of no engine that leaves."""
        return not self.fleet.apps[0].findings.availability.decider.leaving_ids

    async def test_request_is_refused_at_once_when_no_endpoint_wants_one(self) -> None:
        for engine in self.fleet.engines:
            engine.behaviour.refuses_until_s = time.monotonic() + 15.0
        for _ in range(3):
            await self.fleet.async_chat()
        arrived = sum(engine.counters.started for engine in self.fleet.engines)
        started_s = time.monotonic()
        status, _ = await self.fleet.async_chat()
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - started_s, AT_ONCE_S)
        self.assertEqual(sum(engine.counters.started for engine in self.fleet.engines), arrived)


if __name__ == "__main__":
    unittest.main()
