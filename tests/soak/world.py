"""The store, the endpoints and the entry processes of one play."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import logging
from pathlib import Path
import signal

from tests.soak.checks import PROBE_BODY, STREAMS, event, expected_body
from tests.soak.const import (
    COLD_PER_S,
    COLD_START_S,
    DESK_COUNT,
    ENGINE_COUNT,
    ENTRY_COUNT,
    EVENT_GAP_S,
    GUEST_KEY,
    MAX_VERSION,
    MS_PER_S,
    STREAM_EVENTS,
)
from tests.soak.observations import GUESTS, Change, Kind, Observations, Run
from tests.soak.processes import EntryProcess
from tests.soak.proxy import FaultProxy
from tests.standins.platform_store import PlatformStore
from tests.standins.runner import Behaviour, Received, RunnerStandin, answer, stream
from tests.wagtailusher_platform.fleet import configuration, entry, free_ports
from wagtailusher_daemon.clock import monotonic_ms

_LOGGER = logging.getLogger(__name__)

DESK = "desk"
ENGINES = "engines"
WORK_S = 0.01
"""Time that an endpoint works on a plain request."""


@dataclass(slots=True)
class Place:
    """A place for an endpoint: incarnations come and go behind one proxy."""

    service: str
    runner: RunnerStandin
    proxy: FaultProxy
    is_ready: bool = True


AfterRun = Callable[["World", Received, RunnerStandin], Awaitable[None]]


@dataclass(slots=True)
class World:
    """Everything that a play starts and ends."""

    folder: Path
    entry_count: int = ENTRY_COUNT
    seen: Observations = field(default_factory=Observations)
    store: PlatformStore = field(default_factory=PlatformStore)
    places: list[Place] = field(default_factory=list)
    entries: list[EntryProcess] = field(default_factory=list)
    store_links: list[FaultProxy] = field(default_factory=list)
    version: int = 1
    has_guests: bool = True
    """Whether the configuration in force holds the guests' key."""
    after_run: AfterRun | None = None
    """A fault planted on purpose, to test the checks."""
    _instances: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_start(self) -> None:
        """Start everything and wait for the entries to listen."""
        address = await self.store.async_start()
        for _ in range(DESK_COUNT):
            await self._async_place(DESK)
        for _ in range(ENGINE_COUNT):
            await self._async_place(ENGINES)
        for version in range(1, MAX_VERSION + 1):
            await self._async_place(probe_service(version))
        self.put_configuration(1)
        peer_port = free_ports("127.0.0.1", 1)[0]
        for number in range(1, self.entry_count + 1):
            link = FaultProxy(target=lambda: address)
            self.store_links.append(link)
            process = EntryProcess(
                name=f"entry-{number}",
                host=f"127.0.0.{number}",
                folder=self.folder,
                store_address=await link.async_start(),
                peer_port=peer_port,
            )
            process.prepare()
            self.entries.append(process)
            await process.async_start()

    async def async_stop(self) -> None:
        """End what was started."""
        for process in self.entries:
            if process.process is not None and process.process.returncode is not None:
                self.seen.ended_alone.append(process.name)
        try:
            await asyncio.gather(*(item.async_end(signal.SIGTERM) for item in self.entries))
        finally:
            # A play that is cancelled while it stops must leave no process behind.
            for item in self.entries:
                item.send(signal.SIGKILL)
        for task in self._tasks:
            task.cancel()
        for place in self.places:
            await place.proxy.async_stop()
            await place.runner.async_stop()
        for link in self.store_links:
            await link.async_stop()
        await self.store.async_stop()

    def put_configuration(self, version: int) -> None:
        """Put a version of the configuration in force."""
        document = configuration(version)
        document["routes"].append(
            document["routes"][1]
            | {"name": "probe", "prefix": "/probe/", "service": probe_service(version)}
        )
        document["services"][1] |= {"cold_start_s": COLD_START_S, "cold_per_s": COLD_PER_S}
        document["services"] += [
            document["services"][0] | {"name": probe_service(number)}
            for number in range(1, MAX_VERSION + 1)
        ]
        if self.has_guests:
            guests = {"name": GUESTS, "api_keys": [GUEST_KEY], "priority": 1}
            document["tenants"] = [*document["tenants"], guests]
        self.version = version
        self.store.put("op/config", document)
        self.note("version", str(version))

    def note(self, what: str, subject: str) -> None:
        """Note a change at the moment at which the store acknowledged it."""
        self.seen.changes.append(Change(at_ms=monotonic_ms(), what=what, subject=subject))

    def drain(self, place: Place) -> None:
        """Let an endpoint say that it drains."""
        place.is_ready = False
        self._put(place, state="draining")
        self.note("drain", place.runner.instance_id)

    def remove(self, place: Place) -> None:
        """Take an endpoint's entry away."""
        place.is_ready = False
        self.store.remove(f"servers/{place.runner.instance_id}")

    def bring_back(self, place: Place) -> None:
        """Let a new incarnation take the place; engines come back cold."""
        place.runner.instance_id = self._next_id(place.service)
        place.is_ready = True
        cold_ms = int(COLD_START_S * MS_PER_S) if place.service == ENGINES else 0
        self._put(place, state="ready", cold_left_ms=cold_ms)
        if cold_ms:
            self.note("cold", place.runner.instance_id)
            self._spawn(self._async_warm(place.runner.instance_id))

    async def _async_warm(self, instance_id: str) -> None:
        """Note the end of a cold start."""
        await asyncio.sleep(COLD_START_S)
        self.note("warm", instance_id)

    async def _async_place(self, service: str) -> None:
        """Start an endpoint and enter it in the store."""
        runner = RunnerStandin(instance_id=self._next_id(service))
        runner.behaviours.append(self._work(service))
        await runner.async_start()
        proxy = FaultProxy(target=lambda: runner.address)
        await proxy.async_start()
        place = Place(service=service, runner=runner, proxy=proxy)
        self.places.append(place)
        self._put(place, state="ready")

    def _next_id(self, service: str) -> str:
        """Return an identifier that no incarnation had before."""
        self._instances += 1
        return f"i-{service}-{self._instances}"

    def _put(self, place: Place, **changes: object) -> None:
        """Write an endpoint's entry."""
        document = entry(place.runner, place.service, born=self._instances, **changes)
        document["address"] = place.proxy.address
        self.store.put(f"servers/{place.runner.instance_id}", document)

    def _spawn(self, work: Awaitable[None]) -> None:
        """Run something beside the play."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Forget a task, and log what it failed of."""
        self._tasks.discard(task)
        if not task.cancelled() and (err := task.exception()) is not None:
            _LOGGER.error("Soak: a task beside the play failed", exc_info=err)

    def _work(self, service: str) -> Behaviour:
        """Return what an endpoint does: it notes the run and answers by the path's kind."""

        async def behave(
            runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
        ) -> bool:
            attempt_id = request.headers.get("x-attempt-id", "")
            self.seen.runs.append(
                Run(
                    attempt_id=attempt_id,
                    endpoint_id=runner.instance_id,
                    service=service,
                    at_ms=monotonic_ms(),
                    path=request.target,
                    workspace=request.headers.get("x-tenant", ""),
                )
            )
            if self.after_run is not None:
                self._spawn(self.after_run(self, request, runner))
            kind = Kind(request.target.split("/")[1])
            if kind in STREAMS:
                events = stream(STREAM_EVENTS, gap_s=EVENT_GAP_S, event_of=_event_of)
                return await events(runner, request, writer)
            await asyncio.sleep(WORK_S)
            body = expected_body(attempt_id, kind)
            if kind is Kind.PROBE:
                body = PROBE_BODY + service.rpartition("-")[2].encode()
            return await answer(body)(runner, request, writer)

        return behave


def probe_service(version: int) -> str:
    """Return the service that a version of the configuration sends probes to."""
    return f"probe-{version}"


def _event_of(request: Received, number: int) -> bytes:
    """Return an event that names its request."""
    return event(request.headers.get("x-attempt-id", ""), number)
