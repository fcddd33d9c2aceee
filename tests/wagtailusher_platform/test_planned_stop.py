"""Tests of VMs that stop by plan while their callers go on using them.

They guard against requests that are taken late in the grace and end with a closed connection.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from dataclasses import dataclass
import time
from typing import Any
import unittest

from tests.standins.runner import Behaviour, Received, RunnerStandin, answer, silent, stream
from tests.wagtailusher_platform.fleet import PlatformTest, configuration
from wagtailusher_gateway import GatewayApp
from wagtailusher_http import ClientAnswer, ConnectError, HttpClient, HttpError

GRACE_S = 8.0
UNAWARE_S = 3.0
"""Callers use an address for up to three times its lifetime of a second."""
LOSS_SLACK_S = 0.2
STEP_S = 0.4
WARM_STEPS = 5
EVENTS = 3
LAST_EVENT = b"data: token %d\n\n" % EVENTS
LONG_MS = 12_000
PLACES = 14
"""Requests that two endpoints of a service take at once, waiting ones included."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """One request of a caller, when it was sent after the signal, and what became of it."""

    attempt_id: str
    path: str
    at_s: float
    outcome: str
    """Whether it was served, refused as not run, not read, not reached, failed or lost."""


def works(work_s: float) -> Behaviour:
    """Return a behaviour that answers after some time."""
    done = answer()

    async def behave(runner: RunnerStandin, request: Received, writer: Any) -> bool:
        await asyncio.sleep(work_s)
        return await done(runner, request, writer)

    return behave


class PlannedStopTest(PlatformTest):
    """Callers ask a VM that stops until it is gone, on kept connections and on new ones."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.sent: list[Sent] = []
        self.callers: list[HttpClient] = []

    async def asyncTearDown(self) -> None:
        for caller in self.callers:
            caller.close()
        await super().asyncTearDown()

    async def _async_start(self, desk: Behaviour, engine: Behaviour, vm_count: int = 1) -> None:
        """Start two endpoints of each service and settled VMs."""
        for number in (1, 2):
            await self.async_runner("desk", f"i-{number}", desk)
            await self.async_runner("engines", f"e-{number}", engine)
        for number in range(1, vm_count + 1):
            app = await self.async_gateway(number, bounds={"grace_s": GRACE_S})
            await self.async_ready(app, len(self.runners))
            await self.async_settled(app)

    async def _async_kept_caller(self, app: GatewayApp) -> HttpClient:
        """Return a caller with an open connection that it has used."""
        caller = HttpClient()
        self.callers.append(caller)
        reply = await self.async_ask_by(caller, app, "/nowhere/1")
        await reply.async_read(1_000)
        return caller

    async def _async_send(
        self,
        app: GatewayApp,
        path: str,
        started_s: float,
        caller: HttpClient | None = None,
        **fields: str,
    ) -> None:
        """Send one request, by a new connection unless a caller is given, and record its end."""
        if caller is None:
            caller = HttpClient()
            self.callers.append(caller)
        self._requests += 1
        attempt_id = f"stop-{self._requests}"
        sent_s = time.monotonic()
        request = self.async_ask_by(caller, app, path, b"x", x_attempt_id=attempt_id, **fields)
        outcome = await self._async_outcome(request, path, sent_s)
        self.sent.append(
            Sent(attempt_id=attempt_id, path=path, at_s=sent_s - started_s, outcome=outcome)
        )

    async def _async_outcome(
        self, request: Awaitable[ClientAnswer], path: str, sent_s: float
    ) -> str:
        """Return what became of a request."""
        try:
            reply = await request
            body = await reply.async_read(LONG_MS)
        except ConnectError:
            return "unreached"
        except HttpError:
            return "lost" if time.monotonic() - sent_s > LOSS_SLACK_S else "unread"
        if reply.status == 503:
            return "refused"
        is_whole = path.startswith(("/book", "/look")) or body.endswith(LAST_EVENT)
        return "served" if reply.status == 200 and is_whole else "failed"

    async def _async_stop_under_load(self, apps: list[GatewayApp], *paths: str) -> None:
        """Stop VMs while requests of each path go to the first, kept and new by turns."""
        kept = [await self._async_kept_caller(apps[0]) for _ in range(round(GRACE_S / STEP_S / 2))]
        async with asyncio.TaskGroup() as group:
            for _ in range(WARM_STEPS):
                for path in paths:
                    group.create_task(self._async_send(apps[0], path, time.monotonic() + GRACE_S))
                await asyncio.sleep(STEP_S)
            started_s = time.monotonic()
            for app in apps:
                self.apps.remove(app)
                group.create_task(app.async_stop())
            for number in range(round((GRACE_S + 0.5) / STEP_S)):
                for path in paths:
                    caller = kept.pop() if number % 2 and kept else None
                    group.create_task(self._async_send(apps[0], path, started_s, caller))
                await asyncio.sleep(STEP_S)

    def _check(self) -> None:
        """Check that no request was lost, and none refused that has run or came early."""
        outcomes = Counter(item.outcome for item in self.sent)
        self.assertEqual([item for item in self.sent if item.outcome in ("lost", "failed")], [])
        early = [item for item in self.sent if item.at_s < UNAWARE_S]
        self.assertEqual([item for item in early if item.outcome != "served"], [])
        executed = {item for runner in self.runners for item in runner.executed_ids}
        refused = {item.attempt_id for item in self.sent if item.outcome == "refused"}
        self.assertEqual(executed & refused, set())
        self.assertGreater(outcomes["refused"], 0, outcomes)

    async def test_requests_that_come_late_are_refused_unless_they_can_end_in_time(self) -> None:
        """Unsafe and safe requests that the endpoints answer after 1.2 seconds."""
        await self._async_start(works(1.2), stream(EVENTS))
        await self._async_stop_under_load(list(self.apps), "/book/1", "/look/1")
        self._check()
        fitting = [item for item in self.sent if UNAWARE_S <= item.at_s < GRACE_S - 2.5]
        self.assertEqual({item.outcome for item in fitting}, {"served"})

    async def test_streams_that_come_late_are_refused_unless_they_can_end_in_time(self) -> None:
        await self._async_start(answer(), stream(EVENTS, gap_s=0.6))
        await self._async_stop_under_load(list(self.apps), "/chat/1", "/review/1")
        self._check()

    async def test_requests_are_not_lost_where_all_vms_stop_at_once(self) -> None:
        await self._async_start(works(1.2), stream(EVENTS), vm_count=3)
        await self._async_stop_under_load(list(self.apps), "/book/1", "/look/1")
        self._check()

    async def test_vm_that_has_served_nothing_yet_loses_no_request(self) -> None:
        """It knows of no request how long it takes."""
        await self._async_start(works(1.2), stream(EVENTS))
        app = self.apps.pop()
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(app.async_stop())
            for _ in range(round((GRACE_S + 0.5) / STEP_S)):
                group.create_task(self._async_send(app, "/book/1", started_s))
                await asyncio.sleep(STEP_S)
        self._check()

    async def _async_late_streams(self, warm_count: int) -> Counter[str]:
        """Return the outcomes of streams of 6 s sent when all callers can know of the stop.

        The VM has served `warm_count` streams of their kind before, which were much shorter.
        """
        self._allow_long_requests()
        slow = stream(EVENTS, gap_s=2.0)
        await self._async_start(answer(), stream(EVENTS))
        app = self.apps.pop()
        for number in range(warm_count):
            await self._async_send(app, f"/chat/{number}", time.monotonic())
        self.sent.clear()
        for runner in self.runners:
            runner.behaviours[:] = [slow]
        async with asyncio.TaskGroup() as group:
            started_s = time.monotonic()
            group.create_task(app.async_stop())
            await asyncio.sleep(UNAWARE_S + 0.2)
            for path in ("/chat/1", "/review/1") * 2:
                send = self._async_send(app, path, started_s, x_deadline_ms=str(LONG_MS))
                group.create_task(send)
        return Counter(item.outcome for item in self.sent)

    async def test_late_stream_of_a_kind_never_served_is_refused_instead_of_cut(self) -> None:
        self.assertEqual(await self._async_late_streams(warm_count=0), {"refused": 4})

    async def test_late_stream_is_refused_instead_of_cut_though_others_were_quick(self) -> None:
        self.assertEqual(await self._async_late_streams(warm_count=10), {"refused": 4})

    async def test_request_that_waited_while_callers_came_to_know_is_not_sent_late(
        self,
    ) -> None:
        """All places are taken until 3.4 s after the stop began."""
        self._allow_long_requests(target_latency_ms=LONG_MS)
        await self._async_start(works(3.4), stream(EVENTS))
        app = self.apps.pop()
        async with asyncio.TaskGroup() as group:
            started_s = time.monotonic()
            for _ in range(PLACES):
                send = self._async_send(app, "/book/1", started_s, x_deadline_ms=str(LONG_MS))
                group.create_task(send)
            await asyncio.sleep(0.1)
            group.create_task(app.async_stop())
            await asyncio.sleep(UNAWARE_S - 0.5)
            send = self._async_send(app, "/book/2", started_s, x_deadline_ms=str(LONG_MS))
            group.create_task(send)
        outcomes = Counter((item.path, item.outcome) for item in self.sent)
        self.assertEqual(outcomes, {("/book/1", "served"): PLACES, ("/book/2", "refused"): 1})

    def _allow_long_requests(self, **changes: Any) -> None:
        """Let the routes' requests take longer than the grace."""
        document = configuration(2)
        for route in document["routes"]:
            route.update(changes, timeout_ms=LONG_MS)
        self.store.put("op/config", document)

    async def _async_outlasting(self, desk: Behaviour, count: int) -> Counter[str]:
        """Return the outcomes of requests whose time is longer than the grace."""
        self._allow_long_requests()
        await self._async_start(desk, stream(EVENTS))
        app = self.apps.pop()
        started_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(
                    self._async_send(app, "/book/1", started_s, x_deadline_ms=str(LONG_MS))
                )
            await asyncio.sleep(0.1)
            group.create_task(app.async_stop())
        return Counter(item.outcome for item in self.sent)

    async def test_request_that_outlasts_the_grace_is_answered(self) -> None:
        """It may have run, so nothing else than that can be said."""
        self.assertEqual(await self._async_outlasting(silent(), 1), {"failed": 1})

    async def test_requests_that_wait_for_a_place_at_the_end_are_refused(self) -> None:
        """Two endpoints with six places each, none of which becomes free."""
        outcomes = await self._async_outlasting(silent(), 20)
        self.assertEqual(outcomes["lost"], 0)
        executed = {item for runner in self.runners for item in runner.executed_ids}
        refused = {item.attempt_id for item in self.sent if item.outcome == "refused"}
        self.assertEqual(executed & refused, set())


if __name__ == "__main__":
    unittest.main()
