"""The gateway process: its components and their life cycle."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
import logging
import random

from wagtailusher_core import Incarnation
from wagtailusher_daemon.clock import monotonic_ms, wall_ms
from wagtailusher_daemon.peer_link import PeerLink
from wagtailusher_daemon.periodic import PeriodicTasks
from wagtailusher_daemon.steps import isolated, run_steps
from wagtailusher_gateway.address_selection import select_addresses
from wagtailusher_gateway.caller_api import GatewayCallerApi
from wagtailusher_gateway.catch_up import CatchUp
from wagtailusher_gateway.const import (
    CONNECT_TIMEOUT_MS,
    LEAVE_ANSWER_MS,
    LEAVE_LINGER_MS,
    LEAVE_RESERVE_MS,
    MS_PER_S,
    TICK_MS,
    VIEW_PULL_MS,
)
from wagtailusher_gateway.crash_watch import CrashWatch, choose_references
from wagtailusher_gateway.dispatcher import Dispatcher
from wagtailusher_gateway.dispatcher_setup import new_dispatcher
from wagtailusher_gateway.endpoint_findings import EndpointFindings
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.heartbeat_exchange import HeartbeatExchange
from wagtailusher_gateway.http_mapping import HttpMapping
from wagtailusher_gateway.incarnation_exchange import IncarnationExchange
from wagtailusher_gateway.logs import BoundedLineHandler
from wagtailusher_gateway.member_choice import named_members
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import FleetView
from wagtailusher_gateway.options import GatewayOptions, new_own_member, split_address
from wagtailusher_gateway.peer_api import GatewayPeerApi
from wagtailusher_gateway.placement_api import PATH_PLACEMENT, PlacementApi
from wagtailusher_gateway.planned_stop import unread_error
from wagtailusher_gateway.platform_reads import PlatformReader, ReaderContext, ReadSchedule
from wagtailusher_gateway.quarantine_exchange import QuarantineExchange
from wagtailusher_gateway.request_forwarder import RequestForwarder, new_forwarder
from wagtailusher_gateway.servers import Servers
from wagtailusher_gateway.start_sync import StartSync
from wagtailusher_gateway.stream_version_exchange import StreamVersionExchange
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import PATH_VIEW, ViewExchange
from wagtailusher_gateway.view_spread import ViewSpread
from wagtailusher_http import ClientLimits, HttpClient, Request, Response
from wagtailusher_wire import AuthenticatedMessage, Message, MessageAuthenticator

_LOGGER = logging.getLogger(__name__)

PATH_METRICS = "/metrics"


class GatewayApp:
    """One gateway process on one VM."""

    def __init__(
        self,
        options: GatewayOptions,
        http_mapping: HttpMapping,
        metrics: GatewayMetrics,
        logs: BoundedLineHandler | None = None,
    ) -> None:
        """Build the components; `async_start` opens the sockets."""
        self.options = options
        self.metrics = metrics
        self.is_leaving = False
        self.stopping = asyncio.Event()
        self._http_mapping = http_mapping
        self._logs = logs
        self._random = random.Random()
        self._client = HttpClient(options.client_limits)
        self._peer_client = HttpClient(ClientLimits(connect_timeout_ms=CONNECT_TIMEOUT_MS))
        incarnation = Incarnation(wall_ms())
        own_member = new_own_member(options, incarnation)
        seed = self._random.randrange(1 << 32)
        self.fleet = FleetDecider(own_member, options.seeds, monotonic_ms(), seed)
        self.view_cache = ViewCache(
            self._apply_view, lambda changes, now_ms: self.view_spread.spread(changes, now_ms)
        )
        self._read_schedule = ReadSchedule(self.fleet, self.view_cache)
        self.findings = self._new_findings()
        self.dispatcher = self._new_dispatcher()
        self.link = self._new_link(incarnation)
        self.incarnations = IncarnationExchange(self.fleet, self.link, monotonic_ms)
        self.quarantine = self._new_quarantine()
        self.crash_watch = self._new_crash_watch()
        self.heartbeats = self._new_heartbeats()
        self.stream_versions = self._new_stream_versions()
        self.view_spread = self._new_view_spread()
        self.view_exchange = self._new_view_exchange()
        self._forwarder = self._new_forwarder()
        self.servers = Servers(options.max_connections, options.max_held_bytes)
        self._tasks = PeriodicTasks()

    def _new_link(self, incarnation: Incarnation) -> PeerLink:
        return PeerLink(
            vm_id=self.options.vm_id,
            incarnation=incarnation,
            authenticator=MessageAuthenticator(self.options.fleet_secret),
            receive=self._receive_message,
            count_error=lambda code: self.metrics.peer_errors.inc({"code": str(code)}),
            on_old=lambda err, address: self.incarnations.handle_old(err, address),
        )

    def _new_heartbeats(self) -> HeartbeatExchange:
        return HeartbeatExchange(
            fleet=self.fleet,
            view_cache=self.view_cache,
            registry=self.dispatcher.placement.registry,
            admission=self.dispatcher.admission,
            send=self.link.send,
            on_new_peer=self._greet,
        )

    def _greet(self, address: str, now_ms: int) -> None:
        """Tell a VM that is new to this one what it must know before it sends requests."""
        self.quarantine.greet(address, now_ms)
        self.findings.greet(address, now_ms)

    def _new_stream_versions(self) -> StreamVersionExchange:
        return StreamVersionExchange(
            fleet=self.fleet,
            view_cache=self.view_cache,
            send=self.link.send,
            clock_ms=monotonic_ms,
            count_event=lambda event: self.metrics.stream_versions.inc({"event": event}),
        )

    def _new_view_spread(self) -> ViewSpread:
        return ViewSpread(
            fleet=self.fleet,
            view_cache=self.view_cache,
            send=self.link.send,
            require_read=self._read_schedule.require,
            count_event=lambda event: self.metrics.view_changes.inc({"event": event}),
        )

    def _new_view_exchange(self) -> ViewExchange:
        return ViewExchange(
            client=self._peer_client,
            fleet=self.fleet,
            view_cache=self.view_cache,
            secret=self.options.fleet_secret,
            clock_ms=monotonic_ms,
        )

    def _new_forwarder(self) -> RequestForwarder:
        return new_forwarder(
            self.options,
            client=self._peer_client,
            fleet=self.fleet,
            view_cache=self.view_cache,
            place_holders=self.dispatcher.place_holders,
            metrics=self.metrics,
            generator=self._random,
        )

    def _new_quarantine(self) -> QuarantineExchange:
        return QuarantineExchange(
            fleet=self.fleet,
            view_cache=self.view_cache,
            send=self.link.send,
            clock_ms=monotonic_ms,
            count_event=lambda event: self.metrics.quarantine.inc({"event": event}),
            seed=self._random.randrange(1 << 32),
        )

    def _new_crash_watch(self) -> CrashWatch:
        return CrashWatch(
            is_refused=self._client.async_is_refused,
            other_addresses=lambda endpoint: choose_references(
                self.view_cache.view, endpoint, self._random
            ),
            on_crash=self.quarantine.record_crash,
            on_lost=self.dispatcher.placement.registry.record_crash,
            clock_ms=monotonic_ms,
        )

    def _new_findings(self) -> EndpointFindings:
        return EndpointFindings(
            fleet=self.fleet,
            view_cache=self.view_cache,
            client=self._client,
            metrics=self.metrics,
            send=lambda address, message: self.link.send(address, message),
            clock_ms=monotonic_ms,
        )

    def _new_dispatcher(self) -> Dispatcher:
        return new_dispatcher(
            self.options,
            fleet=self.fleet,
            findings=self.findings,
            generator=self._random,
            on_long_prompt=lambda now_ms: run_steps(now_ms, self.heartbeats.send_early),
        )

    @property
    def is_ready(self) -> bool:
        """Return whether this VM serves callers: it has a configuration and is not leaving."""
        return not self.is_leaving and self.dispatcher.routes is not None

    def new_caller_api(self) -> GatewayCallerApi:
        """Return the interface for callers."""
        return GatewayCallerApi(
            forwarder=self._forwarder,
            dispatcher=self.dispatcher,
            http_mapping=self._http_mapping,
            client=self._client,
            metrics=self.metrics,
            stream_versions=self.stream_versions,
            quarantine=self.quarantine,
            crash_watch=self.crash_watch,
            clock_ms=monotonic_ms,
        )

    def _new_placement_api(self) -> PlacementApi:
        return PlacementApi(
            vm_id=self.options.vm_id,
            dispatcher=self.dispatcher,
            quarantine=self.quarantine,
            clock_ms=monotonic_ms,
            seed=self._random.randrange(1 << 32),
            may_forward=self._forwarder is not None,
        )

    async def _async_listen(self) -> None:
        """Open the sockets for all configured addresses."""
        options = self.options
        serve = self.servers.async_serve_path
        await serve(options.view_listen, PATH_VIEW, self._async_answer_view)
        await serve(options.ready_listen, self._http_mapping.ready_path, self._async_answer_ready)
        directory_path = self._http_mapping.address_path
        await serve(options.directory_listen, directory_path, self._async_answer_addresses)
        await self.servers.async_serve_paths(
            options.metrics_listen,
            {
                PATH_METRICS: self._async_answer_metrics,
                PATH_PLACEMENT: self._new_placement_api().async_answer,
            },
        )
        api = self.new_caller_api()
        if options.takes_forwarded:
            catch_up = CatchUp(self.view_cache, self._read_schedule.require, monotonic_ms)
            peer_api = GatewayPeerApi(
                api, self._http_mapping, self._forwarder.signer, catch_up, wall_ms
            )
            await self.servers.async_serve_peers(options.peer_listen, peer_api.async_handle)
        await self.servers.async_serve_callers(options.listen, api.async_handle)

    async def _async_answer_view(self, request: Request) -> Response:
        return self.view_exchange.answer(request)

    async def _async_answer_ready(self, request: Request) -> Response:
        """Answer the platform's readiness check."""
        return Response(status=HTTPStatus.OK if self.is_ready else HTTPStatus.SERVICE_UNAVAILABLE)

    async def _async_answer_metrics(self, request: Request) -> Response:
        self.update_gauges()
        return self.metrics.render(request.headers.get("accept") or "text/plain")

    async def _async_answer_addresses(self, request: Request) -> Response:
        now_ms = monotonic_ms()
        self._update_own_state(now_ms)
        members = named_members(self.fleet.serving_members(now_ms))
        lifetime_s = self.options.bounds.address_lifetime_s
        return self._http_mapping.address_answer(
            select_addresses(members, lifetime_s, self._random)
        )

    async def async_start(self, reader: PlatformReader) -> None:
        """Open the sockets and start the periodic tasks and the reader."""
        options = self.options
        await self.link.async_bind(*split_address(options.peer_listen))
        await self._async_listen()
        self._tasks.add_periodic(TICK_MS, self._tick)
        self._tasks.add_periodic_async(VIEW_PULL_MS, self.view_exchange.async_pull)
        self._tasks.add_periodic_async(TICK_MS, self._new_read_task(reader))
        _LOGGER.info(
            "Gateway: %s serves callers at %s",
            options.vm_id,
            options.listen,
            extra={"event": "start", "address": options.listen, "seeds": options.seeds},
        )

    def _new_read_task(self, reader: PlatformReader) -> Callable[[], Awaitable[None]]:
        """Return the task that runs the reader, and runs it again if it fails."""
        start_sync = StartSync(
            fleet=self.fleet,
            view_cache=self.view_cache,
            view_exchange=self.view_exchange,
            clock_ms=monotonic_ms,
        )
        context = ReaderContext(
            view_cache=self.view_cache,
            clock_ms=monotonic_ms,
            is_due=lambda: self._read_schedule.is_due(monotonic_ms()),
            is_reader=lambda: self.fleet.is_reader(monotonic_ms()),
        )

        async def async_read() -> None:
            await start_sync.async_run()
            await reader(context)

        return async_read

    async def async_stop(self) -> None:
        """Leave the fleet and stop.

        Announces the leave to peers and callers, and serves requests that can end in time until
        nothing is on its way after `LEAVE_LINGER_MS`, or until the shutdown grace ends.
        """
        began_ms = monotonic_ms()
        ends_ms = began_ms + self.options.grace_ms - LEAVE_RESERVE_MS
        self.is_leaving = True
        self.dispatcher.planned_stop.begin(began_ms, ends_ms)
        run_steps(began_ms, self._update_own_state, self.heartbeats.send_all)
        self.servers.disable_keep_alive()
        _LOGGER.info(
            "Gateway: %s is leaving",
            self.options.vm_id,
            extra={"event": "leaving", "in_flight": self.dispatcher.in_flight},
        )
        await self._async_until_idle(began_ms + LEAVE_LINGER_MS, ends_ms)
        left = self.dispatcher.in_flight
        self.dispatcher.planned_stop.end()
        self.servers.refuse_unread(self.new_caller_api().refusal_response(unread_error()))
        await self._async_until_idle(began_ms, ends_ms + LEAVE_ANSWER_MS)
        await self._async_close()
        _LOGGER.info(
            "Gateway: %s stopped", self.options.vm_id, extra={"event": "stop", "in_flight": left}
        )

    async def _async_close(self) -> None:
        """Stop the background work and close all sockets."""
        with isolated("close the checks of endpoints"):
            self.crash_watch.close()
            self.findings.close()
        with isolated("stop the periodic tasks"):
            await self._tasks.async_stop()
        with isolated("close the listening sockets"):
            await self.servers.async_close()
        for item in (self.link, self._client, self._peer_client):
            item.close()

    async def _async_until_idle(self, earliest_ms: int, latest_ms: int) -> None:
        """Return once no request or answer is on its way, between two times."""
        while (now_ms := monotonic_ms()) < latest_ms:
            is_idle = not (self.dispatcher.in_flight or self.servers.active_count)
            if now_ms >= earliest_ms and is_idle:
                break
            await asyncio.sleep(TICK_MS / MS_PER_S)

    def _receive_message(
        self, message: Message, authenticated: AuthenticatedMessage, address: str
    ) -> None:
        now_ms = monotonic_ms()
        self.incarnations.receive(message)
        self.heartbeats.receive(message, authenticated, address, now_ms)
        self.view_spread.receive(message, now_ms)
        for exchange in (self.stream_versions, self.quarantine, self.findings):
            exchange.receive(message, authenticated, address, now_ms)

    def _apply_view(self, view: FleetView, changed: bool, now_ms: int) -> None:
        if not changed:
            self.dispatcher.view = view
            return
        configuration = self.dispatcher.routes.configuration if self.dispatcher.routes else None
        self.stream_versions.observe(view, now_ms)
        self.dispatcher.update(view, now_ms)
        if view.configuration is not None and view.configuration is not configuration:
            self.servers.apply_limits(view.configuration.limits)
            self.metrics.configuration.set({}, view.configuration.version)

    def _update_own_state(self, now_ms: int) -> None:
        """Update the state that this VM announces in its heartbeats."""
        registry = self.dispatcher.placement.registry
        self.fleet.set_own_state(
            is_ready=self.is_ready,
            is_leaving=self.is_leaving,
            unreached_services=registry.unreached_services(self.view_cache.view),
        )

    def _tick(self) -> None:
        """Run the periodic work of all components."""
        run_steps(
            monotonic_ms(),
            self.view_cache.tick,
            self._update_own_state,
            self.heartbeats.tick,
            self.stream_versions.tick,
            self.quarantine.tick,
            self.crash_watch.tick,
            self.findings.tick,
            self.dispatcher.process_queues,
        )
        if self._logs is not None:
            self._logs.flush()

    def update_gauges(self) -> None:
        """Update the gauges before they are rendered."""
        now_ms = monotonic_ms()
        self.metrics.set_buffers(self._client.budget)
        self.metrics.set_callers(self.servers.budget, self.servers.closed_unused_count)
        self.metrics.set_queues(self.dispatcher.admission, now_ms)
        self.metrics.in_flight.set({}, self.dispatcher.in_flight)
        self.metrics.set_fleet(len(self.fleet.live_members(now_ms)) + 1, self.fleet.knows_fleet)
        self.metrics.set_view(self.view_cache.view, self.dispatcher.placement.engine_rates, now_ms)
