"""Stand-in for endpoints of which some requests crash each that begins to answer them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
import time

from tests.standins.platform_store import PlatformStore
from tests.standins.runner import (
    Behaviour,
    Received,
    RunnerStandin,
    chunk,
    response_head,
    stream,
    token_event,
)

EVENT_COUNT = 5
EVENT_GAP_S = 0.02
DOWN_S = 0.6
"""Time from an endpoint's crash until another one starts in its place."""
LAPSE_S = 0.4
"""Time after which the entry of a crashed endpoint is removed from the store."""

Entry = Callable[..., dict[str, object]]
Crashes = Callable[[Received], bool]


def has_part(part_id: str) -> Crashes:
    """Return a function that tells requests with a part of the prompt, not the last one."""

    def crashes(request: Received) -> bool:
        parts = request.headers.get("x-prompt-prefix", "").split(",")
        return part_id in (part.partition(":")[0] for part in parts[:-1])

    return crashes


def has_body(body: bytes) -> Crashes:
    """Return a function that tells requests with a body."""
    return lambda request: request.body == body


@dataclass(slots=True, kw_only=True)
class CrashingFleet:
    """Endpoints of one service; each that crashes is replaced under another name and address."""

    store: PlatformStore
    entry: Entry
    service: str
    crashes: Crashes
    writes_event: bool = False
    """Whether an endpoint writes its first event before it crashes."""
    runners: list[RunnerStandin] = field(default_factory=list)
    sent_s: list[float] = field(default_factory=list)
    """When requests that crash endpoints reached one."""
    crashed_s: list[float] = field(default_factory=list)
    _numbers: count[int] = field(default_factory=lambda: count(1))
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_start(self, endpoint_count: int) -> None:
        """Start the endpoints."""
        for _ in range(endpoint_count):
            await self._async_start_one()

    async def async_stop(self) -> None:
        """Stop all endpoints."""
        for task in tuple(self._tasks):
            task.cancel()
        for runner in self.runners:
            await runner.async_stop()

    @property
    def fifth_crash_s(self) -> float | None:
        """Return when the fifth endpoint crashed, if it did."""
        return self.crashed_s[4] if len(self.crashed_s) >= 5 else None

    async def async_crash(self, runner: RunnerStandin) -> None:
        """Crash an endpoint: all its connections end, and its address refuses new ones."""
        if runner not in self.runners:
            return
        self.runners.remove(runner)
        await runner.async_stop()
        task = asyncio.create_task(self._async_replace(runner))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def announce_leaving(self, runner: RunnerStandin) -> None:
        """Announce that an endpoint leaves by plan."""
        born_ms = int(runner.instance_id.removeprefix("i-"))
        entry = self.entry(runner, self.service, state="draining", born=born_ms)
        self.store.put(f"servers/{runner.instance_id}", entry)

    async def _async_replace(self, runner: RunnerStandin) -> None:
        """Remove the entry of a crashed endpoint and start another one."""
        await asyncio.sleep(LAPSE_S)
        self.store.remove(f"servers/{runner.instance_id}")
        await asyncio.sleep(DOWN_S - LAPSE_S)
        await self._async_start_one()

    async def _async_start_one(self) -> None:
        number = next(self._numbers)
        runner = RunnerStandin(instance_id=f"i-{number}", behaviours=[self._behaviour()])
        await runner.async_start()
        self.runners.append(runner)
        self.store.put(
            f"servers/{runner.instance_id}", self.entry(runner, self.service, born=number)
        )

    def _behaviour(self) -> Behaviour:
        """Return a behaviour that streams events, or crashes as it begins to."""
        answer = stream(EVENT_COUNT, gap_s=EVENT_GAP_S)

        async def behave(
            runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
        ) -> bool:
            if not self.crashes(request):
                return await answer(runner, request, writer)
            self.sent_s.append(time.monotonic())
            runner.record_execution(request)
            lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
            await asyncio.sleep(EVENT_GAP_S)
            event = chunk(token_event(request, 1)) if self.writes_event else b""
            writer.write(response_head(request, "200 OK", *lines) + event)
            await writer.drain()
            self.crashed_s.append(time.monotonic())
            await self.async_crash(runner)
            return False

        return behave
