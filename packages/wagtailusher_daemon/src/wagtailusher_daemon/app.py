"""The entry daemon's parts, wired together."""

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
from wagtailusher_daemon.answers import coded_response
from wagtailusher_daemon.books import Books
from wagtailusher_daemon.caller_api import CallerApi, outcome_of_refused
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
from wagtailusher_daemon.fleet_talk import FleetTalk, Identity
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_daemon.journal import Journal
from wagtailusher_daemon.list_check import ListCheck
from wagtailusher_daemon.load_watch import LoadWatch
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.observation import Observer
from wagtailusher_daemon.operator_api import OperatorApi
from wagtailusher_daemon.options import EntryOptions
from wagtailusher_daemon.peer_link import PeerLink
from wagtailusher_daemon.peers import Peers
from wagtailusher_daemon.periodic import PeriodicTasks
from wagtailusher_daemon.tls import peer_context, server_context
from wagtailusher_daemon.tracing import Tracing
from wagtailusher_daemon.upstream import Upstream
from wagtailusher_http import HttpClient, HttpServer, Request, Response, async_serve
from wagtailusher_integrations.config_service import ConfigServiceCoordinator
from wagtailusher_integrations.vm_list import VmList, VmListCoordinator
from wagtailusher_once import TicketIssuer
from wagtailusher_placement import EndpointKind
from wagtailusher_settings import FleetPolicy
from wagtailusher_wire import AuthenticatedMessage, Message, MessageAuthenticator

_LOGGER = logging.getLogger(__name__)

_SEED_BITS = 63
_DEFAULT_SILENCE_MS = 5_000
_DEFAULT_ADDRESS_LIFETIME_MS = 5_000


class EntryApp:
    """One process on one entry VM."""

    def __init__(self, options: EntryOptions) -> None:
        """Build the parts; nothing listens yet."""
        self.options = options
        self.vm_id = VmId(options.vm_id)
        self.incarnation = Incarnation(wall_ms())
        self.metrics = EntryMetrics()
        self.journal = Journal()
        self.books = Books(monotonic_ms())
        self.tracing = self._new_tracing()
        self.is_draining = False
        self.directory = Directory()
        self._client = HttpClient()
        self._peer_client = HttpClient(ssl_context=peer_context(options))
        self._secrets = _secrets_of(options)
        self.upstream = Upstream(self._client, self.directory.address_of_cancel)
        self.loads = LoadWatch(self.vm_id)
        self.peers = Peers(self.directory.peer_address_of, self._receive, self.loads)
        self.node = RouterNode(
            new_decider(options, self.incarnation, self._quota_share),
            send_peer=self.peers.send,
            cancel=self.upstream.cancel,
            loads=self.loads,
        )
        self.view = FleetView(self.node, self.metrics, self._apply_fleet_policy)
        self.directory.attach(self.view)
        self.link = self._new_link()
        self.caller_server: HttpServer | None = None
        self.operator_server: HttpServer | None = None
        self.caller_api: CallerApi | None = None
        self.talk: FleetTalk | None = None
        self.stopping = asyncio.Event()
        self._stream = self._new_stream()
        self._service = ConfigServiceCoordinator(
            self._client, options.config_service, seed=new_seed()
        )
        self._vm_list = VmListCoordinator(
            self._client, options.vm_list, seed=new_seed(), on_update=self._take_list
        )
        self._tasks = PeriodicTasks()
        self._list_check = ListCheck(self._vm_list, self.view, options.pause_tolerance_ms)

    def _new_tracing(self) -> Tracing:
        """Return the maker of spans."""
        return Tracing(
            self.vm_id,
            trace_file=self.options.trace_file,
            otlp_address=self.options.otlp_address,
            seed=new_seed(),
            sample_share=self._trace_sample_share,
        )

    def _new_stream(self) -> ConfigurationStream:
        """Return the exchange of whole configurations with peers."""
        return ConfigurationStream(
            self._peer_client, vm_id=self.vm_id, incarnation=self.incarnation, secrets=self._secrets
        )

    def _new_link(self) -> PeerLink:
        """Return the socket to the peers."""
        authenticator = MessageAuthenticator(self._secrets[0], other_secrets=self._secrets[1:])
        link = PeerLink(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            authenticator=authenticator,
            receive=self.peers.receive,
            count_error=lambda code: self.metrics.peer_errors.inc({"code": str(code)}),
        )
        self.peers.attach(link, self.node)
        return link

    @property
    def address(self) -> str:
        """Return the address for callers."""
        host, _, _ = self.options.listen.rpartition(":")
        assert self.caller_server is not None
        return f"{host}:{self.caller_server.port}"

    @property
    def operator_address(self) -> str:
        """Return the address for operators."""
        host, _, _ = self.options.operator_listen.rpartition(":")
        assert self.operator_server is not None
        return f"{host}:{self.operator_server.port}"

    @property
    def service_problem(self) -> str | None:
        """Return what is wrong with reading the configuration service."""
        return self._service.status.problem

    @property
    def is_ready(self) -> bool:
        """Tell whether requests are taken."""
        if self.is_draining or self.view.settings is None or self.talk is None:
            return False
        return self.talk.configuration.is_startup_synced and not self.talk.is_isolated

    async def async_start(self) -> None:
        """Listen and start the periodic tasks."""
        options = self.options
        self.peer_address = await self.link.async_bind(*_split(options.peer_listen))
        host, port = _split(options.listen)
        api = self._new_caller_api()
        self.caller_api = api
        self.caller_server = await async_serve(
            api.async_handle,
            host=host,
            port=port,
            ssl_context=server_context(options),
            get_refusal_outcome=outcome_of_refused,
        )
        operator_host, operator_port = _split(options.operator_listen)
        self.operator_server = await async_serve(
            OperatorApi(self).async_handle, host=operator_host, port=operator_port
        )
        self.talk = talk = self._new_talk()
        self.directory.attach_talk(talk)
        api.addresses = self._new_address_book()
        self._tasks.run(self._vm_list.async_run())
        self._tasks.add_periodic(FLEET_TICK_INTERVAL_MS, talk.tick)
        self._tasks.add_periodic(QUARANTINE_INTERVAL_MS, talk.spread_quarantine)
        self._tasks.add_periodic(options.tick_interval_ms, self._tick)
        self._tasks.add_periodic_async(LIST_CONFIRM_INTERVAL_MS, self._list_check.async_read)
        self._tasks.add_periodic_async(options.load_poll_interval_ms, self._async_poll_load)
        _LOGGER.info("Daemon: %s serves callers at %s", self.vm_id, self.address)

    async def async_stop(self, grace_ms: int | None = None) -> bool:
        """Leave: refuse new work, let work in progress end; return whether all did.

        For as long as callers may keep this VM's address, they are told to use another one;
        after that the VM listens no more.
        """
        self.is_draining = True
        self.node.decider.start_draining()
        if self.talk is not None:
            self.talk.announce_leaving()
        if grace_ms is None:
            settings = self.view.settings
            grace_ms = settings.fleet.shutdown_grace_ms if settings is not None else 0
        ends_ms = monotonic_ms() + grace_ms
        await asyncio.sleep(min(grace_ms, self._address_lifetime_ms()) / MS_PER_S)
        clean = True
        if self.caller_server is not None:
            clean = await self.caller_server.async_drain(max(0, ends_ms - monotonic_ms()))
            await self.caller_server.async_close()
        clean = await self._async_finish_once(max(0, ends_ms - monotonic_ms())) and clean
        await self._tasks.async_stop()
        if self.talk is not None:
            await self.talk.async_end()
        if self.operator_server is not None:
            await self.operator_server.async_close()
        self.link.close()
        self._client.close()
        self._peer_client.close()
        self.tracing.close()
        _LOGGER.info("Daemon: %s stopped, clean: %s", self.vm_id, clean)
        return clean

    async def _async_finish_once(self, grace_ms: int) -> bool:
        """Let requests that may not be repeated end, though their callers left."""
        tasks = self.caller_api.once_tasks if self.caller_api is not None else set()
        if not tasks:
            return True
        _, pending = await asyncio.wait(tuple(tasks), timeout=grace_ms / MS_PER_S)
        return not pending

    def _new_caller_api(self) -> CallerApi:
        """Return the interface for callers."""
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
            observer=Observer(self.metrics, self.journal, self.books, self.tracing),
            settings=lambda: self.view.settings,
            is_ready=lambda: self.is_ready,
            answer_configuration=self._answer_configuration,
            hint=self._observe_revision,
        )

    def _new_talk(self) -> FleetTalk:
        """Return the owner of the fleet's protocols."""
        identity = Identity(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            failure_domain_id=FailureDomainId(self.options.failure_domain),
            address=self.address,
            peer_address=self.peer_address,
        )
        return FleetTalk(
            identity,
            seed=new_seed(),
            send=self.link.send,
            node=self.node,
            view=self.view,
            service=self._service,
            stream=self._stream,
            superseded=self.stopping.set,
        )

    def _receive(self, message: Message, authenticated: AuthenticatedMessage, address: str) -> None:
        """Take a message that is not about leases."""
        if self.talk is not None:
            self.talk.receive(message, authenticated, address)

    def _take_list(self, vm_list: VmList) -> None:
        """Take the platform's list in."""
        self.view.offer_published(vm_list.entry_vms, vm_list.endpoints, vm_list.version)
        self.loads.keep_only(self.view.endpoints)
        if self.talk is not None:
            self.talk.update_published(vm_list.entry_vms)

    def _observe_revision(self, revision: Revision) -> None:
        """Take in a revision that a caller heard of elsewhere."""
        if self.talk is not None:
            self.talk.observe_revision(revision)

    def _answer_configuration(self, request: Request) -> Response:
        """Answer a peer that asks for a configuration."""
        if self.talk is None:
            return coded_response(ErrorCode.NOT_READY, Outcome.NOT_RUN)
        configuration = self.talk.configuration
        return self._stream.answer(
            request,
            lambda asked, sender: configuration.answer_content_request(
                asked, monotonic_ms(), sender=sender
            ),
        )

    def _new_address_book(self) -> AddressBook:
        """Return the answerer of address questions."""
        assert self.talk is not None
        return AddressBook(
            own_address=self.address,
            failure_domain_id=FailureDomainId(self.options.failure_domain),
            summaries=self.talk.summaries,
            view=self.view,
            lifetime_ms=self._address_lifetime_ms,
        )

    def _apply_fleet_policy(self, policy: FleetPolicy) -> None:
        """Let bodies in that are just too large for the settings, to be refused with a code."""
        if self.caller_server is not None:
            self.caller_server.set_max_body_bytes(policy.max_body_bytes + BODY_MARGIN_BYTES)

    def _silence_timeout_ms(self) -> int:
        """Return how long a peer may be silent within an answer."""
        settings = self.view.settings
        return settings.fleet.silence_timeout_ms if settings is not None else _DEFAULT_SILENCE_MS

    def _quota_share(self, key: ClassKey, quota: int, now_ms: int) -> int:
        """Return this VM's part of a quota."""
        if self.talk is None:
            return quota
        return self.talk.summaries.quota_share(key, quota, now_ms)

    def _trace_sample_share(self) -> float:
        """Return the share of requests that are traced."""
        settings = self.view.settings
        return settings.fleet.trace_sample_share if settings is not None else 0.0

    def _address_lifetime_ms(self) -> int:
        """Return how long callers may keep an address answer."""
        settings = self.view.settings
        if settings is None:
            return _DEFAULT_ADDRESS_LIFETIME_MS
        return settings.fleet.address_lifetime_ms

    def _tick(self) -> None:
        """Let the decider see the time."""
        self._list_check.tick()
        self.node.tick()
        self.metrics.held.set({}, self.node.held_count)

    async def _async_poll_load(self) -> None:
        """Poll the engines whose load is this VM's to know."""
        decider = self.node.decider
        engines = [info for info in decider.tracked_endpoints if info.kind is EndpointKind.ENGINE]
        stewards = {info.endpoint_id: decider.steward_id(info.endpoint_id) for info in engines}
        due = self.loads.due(engines, stewards, monotonic_ms())
        reports = await self.upstream.engines.async_poll_load(due, monotonic_ms)
        self.node.observe_reports(reports)


def _split(address: str) -> tuple[str, int]:
    """Return the host and port of a checked address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _secrets_of(options: EntryOptions) -> tuple[bytes, ...]:
    """Return the fleet's secrets, the present one first."""
    texts = (options.fleet_secret, options.previous_fleet_secret)
    return tuple(text.encode() for text in texts if text)
