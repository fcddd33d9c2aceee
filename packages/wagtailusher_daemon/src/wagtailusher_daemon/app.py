"""Composes the entry daemon from its components and controls their lifetime."""

from __future__ import annotations

import asyncio
from itertools import count
import logging

from wagtailusher_core import (
    ClassKey,
    ErrorCode,
    FailureDomainId,
    Incarnation,
    Outcome,
    RequestId,
    Revision,
    VmId,
)
from wagtailusher_daemon.addresses import AddressBook
from wagtailusher_daemon.caller_api import CallerApi, refusal_outcome
from wagtailusher_daemon.classify import Classifier
from wagtailusher_daemon.clock import monotonic_ms, wall_ms
from wagtailusher_daemon.configuration_stream import ConfigurationStream
from wagtailusher_daemon.const import (
    BODY_MARGIN_BYTES,
    FLEET_TICK_INTERVAL_MS,
    LIST_CONFIRM_INTERVAL_MS,
    MS_PER_S,
    QUARANTINE_INTERVAL_MS,
)
from wagtailusher_daemon.deciders import new_decider, new_seed
from wagtailusher_daemon.directory import Directory
from wagtailusher_daemon.endpoint_findings import EndpointFindings
from wagtailusher_daemon.fleet_sync import FleetSync, Identity
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_daemon.lease_transport import LeaseTransport
from wagtailusher_daemon.load_poll import LoadPoll
from wagtailusher_daemon.load_reports import LoadReportCache
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.operator_api import OperatorApi
from wagtailusher_daemon.options import EntryOptions, split_address
from wagtailusher_daemon.pause_monitor import PauseMonitor
from wagtailusher_daemon.peer_link import PeerLink
from wagtailusher_daemon.periodic import PeriodicTasks
from wagtailusher_daemon.request_log import RequestLog
from wagtailusher_daemon.responses import coded_response, stopping_response
from wagtailusher_daemon.steps import isolated, run_steps
from wagtailusher_daemon.telemetry import TelemetryFactory
from wagtailusher_daemon.tls import peer_context, server_context
from wagtailusher_daemon.tracing import Tracing
from wagtailusher_daemon.upstream import Upstream
from wagtailusher_daemon.usage import UsageStats
from wagtailusher_http import HttpClient, HttpServer, Request, Response, async_serve
from wagtailusher_integrations.config_service import ConfigServiceCoordinator
from wagtailusher_integrations.vm_list import VmList, VmListCoordinator
from wagtailusher_once import TicketIssuer
from wagtailusher_settings import FleetPolicy
from wagtailusher_wire import AuthenticatedMessage, Message, MessageAuthenticator

_LOGGER = logging.getLogger(__name__)

_DEFAULT_SILENCE_MS = 5_000
_DEFAULT_ADDRESS_LIFETIME_MS = 5_000


class EntryApp:
    """One entry daemon process on one VM."""

    def __init__(self, options: EntryOptions) -> None:
        """Build the components; sockets are opened by `async_start`."""
        self.options = options
        self.vm_id = VmId(options.vm_id)
        self.incarnation = Incarnation(wall_ms())
        self.metrics = EntryMetrics()
        self.request_log = RequestLog()
        self.usage = UsageStats(monotonic_ms())
        self.tracing = self._new_tracing()
        self.is_draining = False
        self.directory = Directory()
        self._client = HttpClient(
            options.client_limits, on_idle_end=lambda key: self._load_poll.observe_idle_end(key)
        )
        self._peer_client = HttpClient(ssl_context=peer_context(options))
        self._secrets = options.fleet_secrets
        self.findings = self._new_findings()
        self.upstream = self._new_upstream()
        self.load_cache = LoadReportCache(self.vm_id)
        self.leases = LeaseTransport(self.directory.peer_address_of, self._receive, self.load_cache)
        self.node = self._new_node()
        self._load_poll = LoadPoll(
            self.node, self.upstream.engines, self.load_cache, self.findings.may_poll
        )
        self.view = FleetView(self.node, self.metrics, self._apply_fleet_policy)
        self.directory.attach_view(self.view)
        self.link = self._new_link()
        self.caller_server: HttpServer | None = None
        self.operator_server: HttpServer | None = None
        self.caller_api: CallerApi | None = None
        self.fleet_sync: FleetSync | None = None
        self.stopping = asyncio.Event()
        self._stream = self._new_stream()
        self._service = self._new_config_service()
        self._vm_list = VmListCoordinator(
            self._client, options.vm_list, seed=new_seed(), on_update=self._apply_vm_list
        )
        self._tasks = PeriodicTasks()
        self._pause_monitor = PauseMonitor(self._vm_list, self.view, options.pause_tolerance_ms)

    def _new_config_service(self) -> ConfigServiceCoordinator:
        return ConfigServiceCoordinator(self._client, self.options.config_service, seed=new_seed())

    def _new_upstream(self) -> Upstream:
        return Upstream(
            self._client,
            self.directory.address_of_cancel,
            self.findings.read_answer,
            self.findings.may_send_extra,
        )

    def _new_node(self) -> RouterNode:
        return RouterNode(
            new_decider(self.options, self.incarnation, self._quota_share, self.findings.deciders),
            send_peer=self.leases.send,
            cancel=self.upstream.cancel,
            load_reports=self.load_cache,
        )

    def _new_findings(self) -> EndpointFindings:
        return EndpointFindings(
            vm_id=self.vm_id,
            client=self._client,
            directory=self.directory,
            send=lambda address, message: self.link.send(address, message),
            decider=lambda: self.node.decider,
            is_ready=lambda: self.is_ready,
        )

    def _new_tracing(self) -> Tracing:
        return Tracing(
            self.vm_id,
            trace_file=self.options.trace_file,
            otlp_address=self.options.otlp_address,
            seed=new_seed(),
            sample_share=self._trace_sample_share,
        )

    def _new_stream(self) -> ConfigurationStream:
        return ConfigurationStream(
            self._peer_client, vm_id=self.vm_id, incarnation=self.incarnation, secrets=self._secrets
        )

    def _new_link(self) -> PeerLink:
        authenticator = MessageAuthenticator(self._secrets[0], other_secrets=self._secrets[1:])
        link = PeerLink(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            authenticator=authenticator,
            receive=self.leases.receive,
            count_error=lambda code: self.metrics.peer_errors.inc({"code": str(code)}),
        )
        self.leases.attach(link, self.node)
        return link

    @property
    def address(self) -> str:
        """Return the address at which callers are served, as `host:port`."""
        host, _, _ = self.options.listen.rpartition(":")
        assert self.caller_server is not None
        return f"{host}:{self.caller_server.port}"

    @property
    def operator_address(self) -> str:
        """Return the address at which operators are served, as `host:port`."""
        host, _, _ = self.options.operator_listen.rpartition(":")
        assert self.operator_server is not None
        return f"{host}:{self.operator_server.port}"

    @property
    def service_problem(self) -> str | None:
        """Return the current problem in reading the configuration service, or None."""
        return self._service.status.problem

    @property
    def is_ready(self) -> bool:
        """Return whether this VM accepts requests."""
        if self.is_draining or self.view.settings is None or self.fleet_sync is None:
            return False
        return self.fleet_sync.configuration.is_startup_synced and not self.fleet_sync.is_isolated

    async def async_start(self) -> None:
        """Open the sockets and start the periodic tasks."""
        options = self.options
        self.peer_address = await self.link.async_bind(*split_address(options.peer_listen))
        host, port = split_address(options.listen)
        self.caller_api = api = self._new_caller_api()
        self.caller_server = await async_serve(
            api.async_handle,
            host=host,
            port=port,
            limits=options.caller_limits,
            ssl_context=server_context(options),
            get_refusal_outcome=refusal_outcome,
        )
        host, port = split_address(options.operator_listen)
        operators = OperatorApi(self).async_handle
        self.operator_server = await async_serve(operators, host=host, port=port)
        self.fleet_sync = fleet_sync = self._new_fleet_sync()
        self.directory.attach_fleet_sync(fleet_sync)
        api.addresses = self._new_address_book()
        self._tasks.create_background_task(self._vm_list.async_run())
        self._tasks.add_periodic(FLEET_TICK_INTERVAL_MS, fleet_sync.tick)
        self._tasks.add_periodic(QUARANTINE_INTERVAL_MS, fleet_sync.gossip_quarantine)
        self._tasks.add_periodic(options.tick_interval_ms, self._tick)
        self._tasks.add_periodic_async(LIST_CONFIRM_INTERVAL_MS, self._pause_monitor.async_read)
        async_poll = self._load_poll.async_poll_due
        self._tasks.add_periodic_async(options.load_poll_interval_ms, async_poll)
        _LOGGER.info("Daemon: %s listens for callers at %s", self.vm_id, self.address)

    async def async_stop(self, grace_ms: int | None = None) -> bool:
        """Drain and stop; return whether all requests in progress completed within the grace time.

        While callers may still cache this VM's address, the VM keeps listening and refers them to
        other VMs; after that it closes its listener.
        """
        self.is_draining = True
        self.node.decider.start_draining()
        with isolated("announce the stop"):
            if self.fleet_sync is not None:
                self.fleet_sync.announce_leaving()
        if grace_ms is None:
            settings = self.view.settings
            grace_ms = settings.fleet.shutdown_grace_ms if settings is not None else 0
        deadline_ms = monotonic_ms() + grace_ms
        await asyncio.sleep(min(grace_ms, self._address_lifetime_ms()) / MS_PER_S)
        all_completed = True
        if self.caller_server is not None:
            all_completed = await self.caller_server.async_drain(
                max(0, deadline_ms - monotonic_ms())
            )
            await self.caller_server.async_close(
                interrupted=stopping_response(),
                unread=coded_response(ErrorCode.DRAINING, Outcome.NOT_RUN),
            )
        if self.caller_api is not None:
            left_ms = max(0, deadline_ms - monotonic_ms())
            all_completed = await self.caller_api.async_wait_for_once(left_ms) and all_completed
        await self._async_close()
        _LOGGER.info("Daemon: %s stopped, all requests completed: %s", self.vm_id, all_completed)
        return all_completed

    async def _async_close(self) -> None:
        """Stop the background work and close all sockets."""
        with isolated("stop the periodic tasks"):
            await self._tasks.async_stop()
        with isolated("leave the fleet"):
            if self.fleet_sync is not None:
                await self.fleet_sync.async_shutdown()
        with isolated("close the operators' socket"):
            if self.operator_server is not None:
                await self.operator_server.async_close()
        clients = (self._client, self._peer_client)
        for item in (self._load_poll, self.findings, self.link, *clients, self.tracing):
            item.close()

    def _new_caller_api(self) -> CallerApi:
        ticket_issuer = TicketIssuer(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            secret=self._secrets[0],
            previous_secrets=self._secrets[1:],
        )
        numbers = count(1)
        classifier = Classifier(
            settings=lambda: self.view.settings,
            ticket_issuer=ticket_issuer,
            next_id=lambda: RequestId(f"{self.vm_id}-{self.incarnation:x}-{next(numbers):x}"),
        )
        forwarder = Forwarder(
            self._peer_client,
            vm_id=self.vm_id,
            secrets=self._secrets,
            address_of=self.directory.address_of,
            silence_timeout_ms=self._silence_timeout_ms,
        )
        return CallerApi(
            node=self.node,
            upstream=self.upstream,
            forwarder=forwarder,
            classifier=classifier,
            ticket_issuer=ticket_issuer,
            addresses=None,
            metrics=self.metrics,
            telemetry_factory=TelemetryFactory(
                self.metrics, self.request_log, self.usage, self.tracing
            ),
            settings=lambda: self.view.settings,
            is_ready=lambda: self.is_ready,
            answer_configuration=self._answer_configuration,
            on_revision=self._observe_revision,
            has_crashed=self._load_poll.async_has_crashed,
        )

    def _new_fleet_sync(self) -> FleetSync:
        identity = Identity(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            failure_domain_id=FailureDomainId(self.options.failure_domain),
            address=self.address,
            peer_address=self.peer_address,
        )
        return FleetSync(
            identity,
            seed=new_seed(),
            send=self.link.send,
            node=self.node,
            view=self.view,
            service=self._service,
            stream=self._stream,
            on_superseded=self.stopping.set,
        )

    def _receive(self, message: Message, authenticated: AuthenticatedMessage, address: str) -> None:
        """Process a peer's message that is not a lease message."""
        self.findings.receive(message, authenticated, address, monotonic_ms())
        if self.fleet_sync is not None:
            self.fleet_sync.receive(message, authenticated, address)

    def _apply_vm_list(self, vm_list: VmList) -> None:
        """Apply the platform's list of VMs and endpoints."""
        self.view.apply_published(vm_list.entry_vms, vm_list.endpoints, vm_list.version)
        self.load_cache.retain(self.view.endpoints)
        if self.fleet_sync is not None:
            self.fleet_sync.update_published(vm_list.entry_vms)

    def _observe_revision(self, revision: Revision) -> None:
        """Pass on a revision named in a request header, so that a newer one is fetched."""
        if self.fleet_sync is not None:
            self.fleet_sync.observe_revision(revision)

    def _answer_configuration(self, request: Request) -> Response:
        """Return the response to a peer's configuration request."""
        if self.fleet_sync is None:
            return coded_response(ErrorCode.NOT_READY, Outcome.NOT_RUN)
        configuration = self.fleet_sync.configuration
        return self._stream.answer(
            request,
            lambda content_request, sender: configuration.answer_content_request(
                content_request, monotonic_ms(), sender=sender
            ),
        )

    def _new_address_book(self) -> AddressBook:
        assert self.fleet_sync is not None
        return AddressBook(
            own_address=self.address,
            failure_domain_id=FailureDomainId(self.options.failure_domain),
            summaries=self.fleet_sync.summaries,
            view=self.view,
            lifetime_ms=self._address_lifetime_ms,
        )

    def _apply_fleet_policy(self, policy: FleetPolicy) -> None:
        """Accept bodies slightly above the settings' limit, to refuse them with a code."""
        if self.caller_server is not None:
            self.caller_server.set_max_body_bytes(policy.max_body_bytes + BODY_MARGIN_BYTES)

    def _silence_timeout_ms(self) -> int:
        """Return the read time-out within a peer's answer."""
        settings = self.view.settings
        return settings.fleet.silence_timeout_ms if settings is not None else _DEFAULT_SILENCE_MS

    def _quota_share(self, key: ClassKey, quota: int, now_ms: int) -> int:
        """Return this VM's share of a quota."""
        if self.fleet_sync is None:
            return quota
        return self.fleet_sync.summaries.quota_share(key, quota, now_ms)

    def _trace_sample_share(self) -> float:
        """Return the fraction of requests that are traced."""
        settings = self.view.settings
        return settings.fleet.trace_sample_share if settings is not None else 0.0

    def _address_lifetime_ms(self) -> int:
        """Return how long callers may cache an address answer."""
        settings = self.view.settings
        if settings is None:
            return _DEFAULT_ADDRESS_LIFETIME_MS
        return settings.fleet.address_lifetime_ms

    def _tick(self) -> None:
        """Run the decider's periodic work and update the gauge of held requests."""
        run_steps(
            monotonic_ms(),
            lambda now_ms: self._pause_monitor.tick(),
            self.findings.tick,
            lambda now_ms: self.node.tick(),
        )
        self.metrics.held.set({}, self.node.held_count)
