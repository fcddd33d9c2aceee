"""The store, the endpoints and the entry processes of one run."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
import logging
from pathlib import Path
import signal

from tests.soak.checks import PROBE_BODY, STREAMS, expected_body, stream_event
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
    SOFTWARE_VERSIONS,
    STREAM_EVENTS,
)
from tests.soak.observations import GUESTS, Execution, Kind, Observations, RecordedChange
from tests.soak.processes import EntryProcess
from tests.soak.proxy import FaultProxy
from tests.standins.platform_store import PlatformStore
from tests.standins.runner import Behaviour, Received, RunnerStandin, answer, stream
from tests.wagtailusher_platform.fleet import (
    PEER_PORT_RANGE,
    configuration,
    entry,
    free_ports,
)
from wagtailusher_daemon.clock import monotonic_ms

_LOGGER = logging.getLogger(__name__)

DESK = "desk"
ENGINES = "engines"
SERVICE_TIME_S = 0.01
"""Execution time of a request that is not streamed."""


@dataclass(slots=True)
class EndpointSlot:
    """An endpoint address: successive incarnations run behind one proxy."""

    service: str
    runner: RunnerStandin
    proxy: FaultProxy
    software_version: str
    is_ready: bool = True


AfterRun = Callable[["World", Received, RunnerStandin], Awaitable[None]]


@dataclass(slots=True)
class World:
    """Everything that a run starts and stops."""

    folder: Path
    entry_count: int = ENTRY_COUNT
    observations: Observations = field(default_factory=Observations)
    store: PlatformStore = field(default_factory=PlatformStore)
    endpoint_slots: list[EndpointSlot] = field(default_factory=list)
    entries: list[EntryProcess] = field(default_factory=list)
    store_links: list[FaultProxy] = field(default_factory=list)
    version: int = 1
    has_guest_key: bool = True
    """Whether the current configuration contains the guests' key."""
    after_run: AfterRun | None = None
    """Called when an endpoint executes a request; injects faults that the checks must find."""
    stated_version: str | None = None
    """Software version that the store states for all endpoints; injects a wrong one."""
    software_versions: dict[str, str] = field(default_factory=dict)
    """Software version of each incarnation."""
    _instances: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_start(self) -> None:
        """Start the store, the endpoints and the entry processes."""
        address = await self.store.async_start()
        for _ in range(DESK_COUNT):
            await self._async_start_slot(DESK)
        for number in range(ENGINE_COUNT):
            software_version = SOFTWARE_VERSIONS[number % len(SOFTWARE_VERSIONS)]
            await self._async_start_slot(ENGINES, software_version)
        for version in range(1, MAX_VERSION + 1):
            await self._async_start_slot(probe_service(version))
        self.put_configuration(1)
        peer_port = free_ports("127.0.0.1", 1, PEER_PORT_RANGE)[0]
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
        """Stop everything that was started."""
        for process in self.entries:
            if process.process is not None and process.process.returncode is not None:
                self.observations.unexpected_exits.append(process.name)
        try:
            await asyncio.gather(*(item.async_stop(signal.SIGTERM) for item in self.entries))
        finally:
            # A run that is cancelled while it stops must not leave processes behind.
            for item in self.entries:
                item.send(signal.SIGKILL)
        for task in self._tasks:
            task.cancel()
        for slot in self.endpoint_slots:
            await slot.proxy.async_stop()
            await slot.runner.async_stop()
        for link in self.store_links:
            await link.async_stop()
        await self.store.async_stop()

    def put_configuration(self, version: int) -> None:
        """Publish a version of the configuration."""
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
        if self.has_guest_key:
            guests = {"name": GUESTS, "api_keys": [GUEST_KEY], "priority": 1}
            document["tenants"] = [*document["tenants"], guests]
        self.version = version
        self.store.put("op/config", document)
        self.record_change("version", str(version))

    def record_change(self, change_kind: str, subject: str) -> None:
        """Record a change with the current time, right after the store applied it."""
        self.observations.changes.append(
            RecordedChange(at_ms=monotonic_ms(), change_kind=change_kind, subject=subject)
        )

    def drain(self, slot: EndpointSlot) -> None:
        """Publish an endpoint as draining."""
        self._end_service(slot)
        self._put(slot, state="draining")
        self.record_change("drain", slot.runner.instance_id)

    def remove(self, slot: EndpointSlot) -> None:
        """Remove an endpoint's entry from the store."""
        self._end_service(slot)
        self.store.remove(f"servers/{slot.runner.instance_id}")

    def start_incarnation(self, slot: EndpointSlot, software_version: str = "") -> None:
        """Start a new incarnation in a slot, of the same version by default; engines are cold."""
        slot.software_version = software_version or slot.software_version
        slot.runner.instance_id = self._next_id(slot.service)
        self._begin_service(slot)
        cold_ms = int(COLD_START_S * MS_PER_S) if slot.service == ENGINES else 0
        self._put(slot, state="ready", cold_left_ms=cold_ms)
        if cold_ms:
            self.record_change("cold", slot.runner.instance_id)
            self._spawn(self._async_end_cold_start(slot.runner.instance_id))

    def _begin_service(self, slot: EndpointSlot) -> None:
        """Record that an endpoint begins to serve."""
        slot.is_ready = True
        self.software_versions[slot.runner.instance_id] = slot.software_version
        if slot.service == ENGINES:
            self.record_change("serve", slot.software_version)

    def _end_service(self, slot: EndpointSlot) -> None:
        """Record that an endpoint no longer serves."""
        if slot.is_ready and slot.service == ENGINES:
            self.record_change("leave", slot.software_version)
        slot.is_ready = False

    async def _async_end_cold_start(self, instance_id: str) -> None:
        """Record the end of a cold start."""
        await asyncio.sleep(COLD_START_S)
        self.record_change("warm", instance_id)

    async def _async_start_slot(
        self, service: str, software_version: str = SOFTWARE_VERSIONS[0]
    ) -> None:
        """Start an endpoint behind a proxy and publish its entry."""
        runner = RunnerStandin(instance_id=self._next_id(service))
        runner.behaviours.append(self._endpoint_behaviour(service))
        await runner.async_start()
        proxy = FaultProxy(target=lambda: runner.address)
        await proxy.async_start()
        slot = EndpointSlot(
            service=service, runner=runner, proxy=proxy, software_version=software_version
        )
        self.endpoint_slots.append(slot)
        self._begin_service(slot)
        self._put(slot, state="ready")

    def _next_id(self, service: str) -> str:
        """Return an identifier that no earlier incarnation used."""
        self._instances += 1
        return f"i-{service}-{self._instances}"

    def _put(self, slot: EndpointSlot, **changes: object) -> None:
        """Write an endpoint's entry to the store."""
        version = self.stated_version or slot.software_version
        document = entry(
            slot.runner, slot.service, born=self._instances, version=version, **changes
        )
        document["address"] = slot.proxy.address
        self.store.put(f"servers/{slot.runner.instance_id}", document)

    def _spawn(self, work: Awaitable[None]) -> None:
        """Run a background task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        """Remove a finished task and log its exception."""
        self._tasks.discard(task)
        if not task.cancelled() and (err := task.exception()) is not None:
            _LOGGER.error("Soak: background task failed", exc_info=err)

    def _endpoint_behaviour(self, service: str) -> Behaviour:
        """Return a behaviour that records the execution and answers by the path's kind."""

        async def behave(
            runner: RunnerStandin, request: Received, writer: asyncio.StreamWriter
        ) -> bool:
            attempt_id = request.headers.get("x-attempt-id", "")
            self.observations.executions.append(
                Execution(
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
                # The incarnation that the request is for; the slot may have restarted since.
                instance_id = request.headers.get("x-expect-instance", runner.instance_id)
                event_of = _event_writer(self.software_versions[instance_id])
                events = stream(STREAM_EVENTS, gap_s=EVENT_GAP_S, event_of=event_of)
                return await events(runner, request, writer)
            await asyncio.sleep(SERVICE_TIME_S)
            body = expected_body(attempt_id, kind)
            if kind is Kind.PROBE:
                body = PROBE_BODY + service.rpartition("-")[2].encode()
            return await answer(body)(runner, request, writer)

        return behave


def probe_service(version: int) -> str:
    """Return the service to which a version of the configuration routes probes."""
    return f"probe-{version}"


def _event_writer(software_version: str) -> Callable[[Received, int], bytes]:
    """Return a function that writes events with their request's attempt id and a version."""

    def event(request: Received, number: int) -> bytes:
        return stream_event(request.headers.get("x-attempt-id", ""), number, software_version)

    return event
