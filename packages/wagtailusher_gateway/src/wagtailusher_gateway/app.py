"""The gateway's parts, wired together in one process."""

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
from wagtailusher_gateway.address_book import answer_addresses
from wagtailusher_gateway.admission import Admission
from wagtailusher_gateway.beats import BeatExchange
from wagtailusher_gateway.budget import RetryBudget
from wagtailusher_gateway.caller_api import GatewayCallerApi
from wagtailusher_gateway.cold import ColdShares
from wagtailusher_gateway.const import (
    CONNECT_TIMEOUT_MS,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PROBES,
    LEAVE_LINGER_MS,
    LEAVE_RESERVE_MS,
    MAX_ANSWER_BYTES,
    MS_PER_S,
    TICK_MS,
    UNACKED_TIMEOUT_MS,
    VIEW_PULL_MS,
)
from wagtailusher_gateway.dispatcher import Dispatcher
from wagtailusher_gateway.endpoint_registry import EndpointRegistry
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.http_mapping import HttpMapping
from wagtailusher_gateway.logs import BoundedLineHandler
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import FleetView, Member
from wagtailusher_gateway.options import GatewayOptions
from wagtailusher_gateway.placement import Placement
from wagtailusher_gateway.platform_reads import ReaderContext, is_reading_due
from wagtailusher_gateway.servers import Servers
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_gateway.view_exchange import PATH_VIEW, ViewExchange
from wagtailusher_http import ClientLimits, HttpClient, Request, Response
from wagtailusher_wire import AuthenticatedMessage, Message, MessageAuthenticator

_LOGGER = logging.getLogger(__name__)

PATH_METRICS = "/metrics"

Reader = Callable[[ReaderContext], Awaitable[None]]
"""Reads the platform into the keeper for as long as it runs."""


class GatewayApp:
    """One process on one VM."""

    def __init__(
        self,
        options: GatewayOptions,
        http_mapping: HttpMapping,
        metrics: GatewayMetrics,
        logs: BoundedLineHandler | None = None,
    ) -> None:
        """Build the parts; nothing listens yet."""
        self.options = options
        self.metrics = metrics
        self.is_leaving = False
        self.stopping = asyncio.Event()
        self._http_mapping = http_mapping
        self._logs = logs
        self._random = random.Random()
        self._client = HttpClient(_client_limits())
        self._peer_client = HttpClient(ClientLimits(connect_timeout_ms=CONNECT_TIMEOUT_MS))
        incarnation = Incarnation(wall_ms())
        own = _own_member(options, incarnation)
        seed = self._random.randrange(1 << 32)
        self.fleet = FleetDecider(own, options.seeds, monotonic_ms(), seed)
        self.view_cache = ViewCache(self._take_view)
        self.dispatcher = self._new_dispatcher()
        self.link = self._new_link(incarnation)
        self.beats = BeatExchange(
            fleet=self.fleet,
            view_cache=self.view_cache,
            registry=self.dispatcher.placement.registry,
            send=self.link.send,
        )
        self.views = ViewExchange(
            client=self._peer_client,
            fleet=self.fleet,
            view_cache=self.view_cache,
            secret=options.fleet_secret,
            clock_ms=monotonic_ms,
        )
        self.servers = Servers(options.max_connections)
        self._tasks = PeriodicTasks()

    def _new_link(self, incarnation: Incarnation) -> PeerLink:
        """Return the socket to the peers."""
        return PeerLink(
            vm_id=self.options.vm_id,
            incarnation=incarnation,
            authenticator=MessageAuthenticator(self.options.fleet_secret),
            receive=self._receive_beat,
            count_error=lambda code: self.metrics.peer_errors.inc({"code": str(code)}),
        )

    def _new_dispatcher(self) -> Dispatcher:
        """Return the shared state of all requests."""
        bounds = self.options.bounds
        placement = Placement(
            registry=EndpointRegistry(),
            cold=ColdShares(
                self.options.vm_id,
                overage=bounds.cold_overage,
                slack=bounds.cold_slack,
                knows_fleet=self.fleet.is_settled,
            ),
            failure_domain_id=self.options.failure_domain_id,
            seed=self._random.randrange(1 << 32),
            far_interval_ms=lambda: self.fleet.far_interval_ms,
            on_long_prompt=lambda now_ms: self.beats.hasten(now_ms),
        )
        return Dispatcher(
            placement=placement,
            admission=Admission(self._random.randrange(1 << 32)),
            budget=RetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_ms=bounds.retry_window_ms,
                knows_fleet=self.fleet.is_settled,
            ),
            clock_ms=monotonic_ms,
            vm_ids=self.fleet.all_vm_ids,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may come."""
        return not self.is_leaving and self.dispatcher.routes is not None

    def new_caller_api(self) -> GatewayCallerApi:
        """Return the interface for callers."""
        return GatewayCallerApi(
            dispatcher=self.dispatcher,
            http_mapping=self._http_mapping,
            client=self._client,
            metrics=self.metrics,
            clock_ms=monotonic_ms,
        )

    async def _async_listen(self) -> None:
        """Listen wherever the options say."""
        options = self.options
        serve = self.servers.async_serve_path
        await serve(options.view_listen, PATH_VIEW, self._async_answer_view)
        await serve(options.ready_listen, self._http_mapping.ready_path, self._async_answer_ready)
        directory_path = self._http_mapping.address_path
        await serve(options.directory_listen, directory_path, self._async_answer_addresses)
        await serve(options.metrics_listen, PATH_METRICS, self._async_answer_metrics)
        api = self.new_caller_api()
        await self.servers.async_serve_callers(options.listen, api.async_handle)

    async def _async_answer_view(self, request: Request) -> Response:
        """Hand this VM's view to a peer."""
        return self.views.answer(request)

    async def _async_answer_ready(self, request: Request) -> Response:
        """Say whether callers may come."""
        return Response(status=HTTPStatus.OK if self.is_ready else HTTPStatus.SERVICE_UNAVAILABLE)

    async def _async_answer_metrics(self, request: Request) -> Response:
        """Serve the metrics."""
        self.observe()
        return self.metrics.render(request.headers.get("accept") or "text/plain")

    async def _async_answer_addresses(self, request: Request) -> Response:
        """Say which addresses callers may use."""
        self._update_own()
        members = self.fleet.callable_members(monotonic_ms())
        lifetime_s = self.options.bounds.address_lifetime_s
        return self._http_mapping.address_answer(
            answer_addresses(members, lifetime_s, self._random)
        )

    async def async_start(self, reader: Reader) -> None:
        """Listen, and begin to read the platform."""
        options = self.options
        host, port = split_address(options.peer_listen)
        await self.link.async_bind(host, port)
        await self._async_listen()
        self._tasks.add_periodic(TICK_MS, self._tick)
        self._tasks.add_periodic_async(VIEW_PULL_MS, self.views.async_pull)
        self._tasks.add_periodic_async(TICK_MS, self._async_read(reader))
        _LOGGER.info(
            "Gateway: %s serves callers at %s",
            options.vm_id,
            options.listen,
            extra={"event": "start", "address": options.listen, "seeds": options.seeds},
        )

    def _async_read(self, reader: Reader) -> Callable[[], Awaitable[None]]:
        """Return the action that reads the platform, and starts anew should it fail."""
        reading = ReaderContext(
            view_cache=self.view_cache,
            clock_ms=monotonic_ms,
            is_due=lambda: is_reading_due(self.fleet, self.view_cache, monotonic_ms()),
            is_reader=lambda: self.fleet.is_reader(monotonic_ms()),
        )
        return lambda: reader(reading)

    async def async_stop(self) -> None:
        """Leave: tell peers and callers, serve what still comes, and end when idle."""
        ends_ms = monotonic_ms() + self.options.grace_ms - LEAVE_RESERVE_MS
        linger_ms = monotonic_ms() + LEAVE_LINGER_MS
        self.is_leaving = True
        self._update_own()
        self.beats.send_all(monotonic_ms())
        self.servers.disable_keep_alive()
        _LOGGER.info(
            "Gateway: %s is leaving",
            self.options.vm_id,
            extra={"event": "leaving", "in_flight": self.dispatcher.in_flight},
        )
        while (now_ms := monotonic_ms()) < ends_ms:
            if now_ms >= linger_ms and not self.dispatcher.in_flight:
                break
            await asyncio.sleep(TICK_MS / MS_PER_S)
        left = self.dispatcher.in_flight
        await self._tasks.async_stop()
        await self.servers.async_close()
        self.link.close()
        self._client.close()
        self._peer_client.close()
        _LOGGER.info(
            "Gateway: %s stopped",
            self.options.vm_id,
            extra={"event": "stop", "in_flight": left},
        )

    def _receive_beat(
        self, message: Message, authenticated: AuthenticatedMessage, address: str
    ) -> None:
        """Take a peer's beat in."""
        self.beats.receive(message, authenticated, address, monotonic_ms())

    def _take_view(self, view: FleetView, changed: bool, now_ms: int) -> None:
        """Put a view in force."""
        if not changed:
            self.dispatcher.view = view
            return
        configuration = self.dispatcher.routes.configuration if self.dispatcher.routes else None
        self.dispatcher.update(view, now_ms)
        if self.fleet.is_reader(now_ms):
            self.beats.send_all(now_ms)
        if view.configuration is not None and view.configuration is not configuration:
            self.servers.apply_limits(view.configuration.limits)
            self.metrics.configuration.set({}, view.configuration.version)

    def _update_own(self) -> None:
        """Refresh what this VM says of itself."""
        self.fleet.set_own(is_ready=self.is_ready, is_leaving=self.is_leaving)

    def _tick(self) -> None:
        """Let every decider see the time."""
        now_ms = monotonic_ms()
        self.view_cache.tick(now_ms)
        self._update_own()
        self.beats.tick(now_ms)
        if self.dispatcher.admission.count:
            self.dispatcher.admission.pump(now_ms)
        if self._logs is not None:
            self._logs.flush()

    def observe(self) -> None:
        """Set the gauges, right before they are read."""
        now_ms = monotonic_ms()
        self.metrics.waiting.set({}, self.dispatcher.admission.count)
        self.metrics.in_flight.set({}, self.dispatcher.in_flight)
        self.metrics.members.set({}, len(self.fleet.heard_members(now_ms)) + 1)
        self.metrics.view_age_ms.set({}, now_ms - self.view_cache.view.confirmed_ms)
        draining = sum(item.is_draining for item in self.view_cache.view.endpoints.values())
        self.metrics.endpoints.set({"state": "draining"}, draining)
        self.metrics.endpoints.set(
            {"state": "ready"}, len(self.view_cache.view.endpoints) - draining
        )


def _client_limits() -> ClientLimits:
    """Return the limits of connections to endpoints."""
    return ClientLimits(
        max_answer_bytes=MAX_ANSWER_BYTES,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        keepalive_idle_s=KEEPALIVE_IDLE_S,
        keepalive_probes=KEEPALIVE_PROBES,
        tcp_user_timeout_ms=UNACKED_TIMEOUT_MS,
        read_response_while_sending=True,
    )


def _own_member(options: GatewayOptions, incarnation: int) -> Member:
    """Return what this VM says of itself at first."""
    return Member(
        vm_id=options.vm_id,
        incarnation=incarnation,
        address=options.listen,
        peer_address=options.peer_listen,
        view_address=options.view_listen,
        failure_domain_id=options.failure_domain_id,
        weight=options.weight,
        is_leaving=False,
        is_ready=False,
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the parts of host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
