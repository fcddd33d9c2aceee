"""The entry daemon's parts, wired together."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from itertools import count
import logging
import secrets

from wagtailusher_admission import AdmissionDecider
from wagtailusher_core import (
    ClassKey,
    EndpointId,
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
from wagtailusher_daemon.caller_api import CallerApi
from wagtailusher_daemon.classify import Classifier
from wagtailusher_daemon.clock import monotonic_ms, wall_ms
from wagtailusher_daemon.configuration_stream import ConfigurationStream
from wagtailusher_daemon.const import (
    FLEET_TICK_INTERVAL_MS,
    MS_PER_S,
    QUARANTINE_INTERVAL_MS,
    RENEWALS_PER_LIFETIME,
)
from wagtailusher_daemon.fleet_talk import FleetTalk, Identity
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_daemon.forwarding import Forwarder
from wagtailusher_daemon.journal import Journal
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.observation import Observer
from wagtailusher_daemon.operator_api import OperatorApi
from wagtailusher_daemon.options import EntryOptions
from wagtailusher_daemon.peer_link import PeerLink
from wagtailusher_daemon.peers import Peers
from wagtailusher_daemon.tls import peer_context, server_context
from wagtailusher_daemon.tracing import Tracing
from wagtailusher_daemon.upstream import Upstream
from wagtailusher_http import HttpClient, HttpServer, Request, Response, async_serve
from wagtailusher_integrations.config_service import ConfigServiceCoordinator
from wagtailusher_integrations.vm_list import VmList, VmListCoordinator
from wagtailusher_once import OnceDecider, QuarantineDecider, TicketMint
from wagtailusher_placement import LeaseLimits, PlacementDecider, StewardDecider
from wagtailusher_router import Cancel, RouterDecider, RouterParts
from wagtailusher_wire import Message, Sealed, Sealer

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
        self.tracing = Tracing(
            self.vm_id,
            trace_file=options.trace_file,
            otlp_address=options.otlp_address,
            seed=_new_seed(),
            sample_share=self._trace_sample_share,
        )
        self.is_draining = False
        self._client = HttpClient()
        self._peer_client = HttpClient(ssl_context=peer_context(options))
        self._secrets = _secrets_of(options)
        self.upstream = Upstream(self._client, self._address_of_cancel)
        self.peers = Peers(self._peer_address_of, self._receive)
        self.node = RouterNode(
            self._new_decider(), send_peer=self.peers.send, cancel=self.upstream.cancel
        )
        self.view = FleetView(self.node, self.metrics)
        self.link = self._new_link()
        self.caller_server: HttpServer | None = None
        self.operator_server: HttpServer | None = None
        self.caller_api: CallerApi | None = None
        self.talk: FleetTalk | None = None
        self.stopping = asyncio.Event()
        self._stream = ConfigurationStream(
            self._peer_client, vm_id=self.vm_id, incarnation=self.incarnation, secrets=self._secrets
        )
        self._service = ConfigServiceCoordinator(
            self._client, options.config_service, seed=_new_seed()
        )
        self._vm_list = VmListCoordinator(
            self._client, options.vm_list, seed=_new_seed(), on_list=self._take_list
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _new_decider(self) -> RouterDecider:
        """Return the decider of this VM."""
        limits = _lease_limits(self.options)
        parts = RouterParts(
            vm_id=self.vm_id,
            admission=AdmissionDecider(),
            placement=PlacementDecider(
                vm_id=self.vm_id,
                failure_domain_id=FailureDomainId(self.options.failure_domain),
                seed=_new_seed(),
                limits=limits,
                incarnation=self.incarnation,
            ),
            steward=StewardDecider(vm_id=self.vm_id, limits=limits, incarnation=self.incarnation),
            once=OnceDecider(vm_id=self.vm_id, incarnation=self.incarnation),
            quarantine=QuarantineDecider(),
            quota_share=self._quota_share,
        )
        return RouterDecider(parts)

    def _new_link(self) -> PeerLink:
        """Return the socket to the peers."""
        sealer = Sealer(self._secrets[0], other_secrets=self._secrets[1:])
        link = PeerLink(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            sealer=sealer,
            receive=self.peers.receive,
            metrics=self.metrics,
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
        return self.talk.configuration.is_settled

    async def async_start(self) -> None:
        """Listen and start the periodic tasks."""
        options = self.options
        self.peer_address = await self.link.async_bind(*_split(options.peer_listen))
        host, port = _split(options.listen)
        api = self._new_caller_api()
        self.caller_api = api
        self.caller_server = await async_serve(
            api.async_handle, host=host, port=port, ssl_context=server_context(options)
        )
        operator_host, operator_port = _split(options.operator_listen)
        self.operator_server = await async_serve(
            OperatorApi(self).async_handle, host=operator_host, port=operator_port
        )
        self.talk = self._new_talk()
        api.addresses = self._new_address_book()
        self._tasks.append(asyncio.create_task(self._vm_list.async_run()))
        self._every(FLEET_TICK_INTERVAL_MS, self._async_tick_fleet)
        self._every(QUARANTINE_INTERVAL_MS, self._async_spread_quarantine)
        self._every(options.tick_interval_ms, self._async_tick)
        self._every(options.load_poll_interval_ms, self._async_poll_load)
        _LOGGER.info("Daemon: %s serves callers at %s", self.vm_id, self.address)

    async def async_stop(self, grace_ms: int | None = None) -> bool:
        """Leave: refuse new work, let work in progress end; return whether all did."""
        self.is_draining = True
        self.node.decider.start_draining()
        if self.talk is not None:
            self.talk.leave()
        if grace_ms is None:
            settings = self.view.settings
            grace_ms = settings.fleet.shutdown_grace_ms if settings is not None else 0
        clean = True
        if self.caller_server is not None:
            clean = await self.caller_server.async_drain(grace_ms)
            await self.caller_server.async_close()
        clean = await self._async_finish_once(grace_ms) and clean
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
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
        mint = TicketMint(vm_id=self.vm_id, incarnation=self.incarnation, secret=self._secrets[0])
        numbers = count(1)
        classifier = Classifier(
            settings=lambda: self.view.settings,
            mint=mint,
            next_id=lambda: RequestId(f"{self.vm_id}-{self.incarnation:x}-{next(numbers):x}"),
        )
        forwarder = Forwarder(
            self._peer_client,
            vm_id=self.vm_id,
            secrets=self._secrets,
            address_of=self._address_of_vm,
            silence_timeout_ms=self._silence_timeout_ms,
        )
        return CallerApi(
            node=self.node,
            upstream=self.upstream,
            forwarder=forwarder,
            classifier=classifier,
            mint=mint,
            addresses=None,
            metrics=self.metrics,
            observer=Observer(self.metrics, self.journal, self.books, self.tracing),
            settings=lambda: self.view.settings,
            is_ready=lambda: self.is_ready,
            answer_configuration=self._answer_configuration,
            hint=self._hint,
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
            seed=_new_seed(),
            send=self.link.send,
            node=self.node,
            view=self.view,
            service=self._service,
            stream=self._stream,
            superseded=self.stopping.set,
        )

    def _receive(self, message: Message, sealed: Sealed, address: str) -> None:
        """Take a message that is not about leases."""
        if self.talk is not None:
            self.talk.receive(message, sealed, address)

    def _take_list(self, vm_list: VmList) -> None:
        """Take the platform's list in."""
        self.view.offer_published(vm_list.entry_vms, vm_list.endpoints, vm_list.version)
        if self.talk is not None:
            self.talk.update_published(vm_list.entry_vms)

    def _address_of_vm(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM serves callers."""
        own = self.talk.member_address(vm_id) if self.talk is not None else None
        return own or self.view.address_of_vm(vm_id)

    def _peer_address_of(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM's process receives datagrams."""
        own = self.talk.peer_address(vm_id) if self.talk is not None else None
        return own or self.view.peer_address_of(vm_id)

    def _hint(self, revision: Revision) -> None:
        """Take in a revision that a caller heard of elsewhere."""
        if self.talk is not None:
            self.talk.hint(revision)

    def _answer_configuration(self, request: Request) -> Response:
        """Answer a peer that asks for a configuration."""
        if self.talk is None:
            return coded_response(ErrorCode.NOT_READY, Outcome.NOT_RUN)
        configuration = self.talk.configuration
        return self._stream.answer(
            request,
            lambda asked, sender: configuration.answer(asked, monotonic_ms(), sender=sender),
        )

    def _new_address_book(self) -> AddressBook:
        """Return the answerer of address questions."""
        assert self.talk is not None
        return AddressBook(
            own_address=self.address,
            failure_domain_id=FailureDomainId(self.options.failure_domain),
            summaries=self.talk.summaries,
            lifetime_ms=self._address_lifetime_ms,
        )

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

    def _address_of_cancel(self, action: Cancel) -> str | None:
        """Return the address of the engine that a cancellation goes to."""
        info = self.view.endpoints.get(EndpointId(action.endpoint_id))
        return None if info is None else info.address

    def _every(self, interval_ms: int, action: Callable[[], Awaitable[None]]) -> None:
        """Start a task that repeats an action until the daemon stops."""
        self._tasks.append(asyncio.create_task(_async_repeat(interval_ms, action)))

    async def _async_tick(self) -> None:
        """Let the decider see the time."""
        self.node.tick()
        self.metrics.held.set({}, self.node.held_count)

    async def _async_tick_fleet(self) -> None:
        """Let the fleet's deciders see the time."""
        assert self.talk is not None
        self.talk.tick()

    async def _async_spread_quarantine(self) -> None:
        """Tell peers about requests that crash endpoints."""
        assert self.talk is not None
        self.talk.spread_quarantine()

    async def _async_poll_load(self) -> None:
        """Poll the engines' load."""
        reports = await self.upstream.engines.async_poll(self.view.engines, monotonic_ms)
        self.node.observe_reports(reports)


def _new_seed() -> int:
    """Return a seed for a decider of this process."""
    return secrets.randbits(_SEED_BITS)


async def _async_repeat(interval_ms: int, action: Callable[[], Awaitable[None]]) -> None:
    """Repeat an action; an unforeseen error is logged and the next turn is tried."""
    while True:
        try:
            await action()
        except Exception:
            _LOGGER.exception("Daemon: a periodic task failed")
        await asyncio.sleep(interval_ms / MS_PER_S)


def _split(address: str) -> tuple[str, int]:
    """Return the host and port of a checked address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _secrets_of(options: EntryOptions) -> tuple[bytes, ...]:
    """Return the fleet's secrets, the present one first."""
    texts = (options.fleet_secret, options.previous_fleet_secret)
    return tuple(text.encode() for text in texts if text)


def _lease_limits(options: EntryOptions) -> LeaseLimits:
    """Return the times of leases."""
    return LeaseLimits(
        lifetime_ms=options.lease_lifetime_ms,
        renewal_ms=options.lease_lifetime_ms // RENEWALS_PER_LIFETIME,
        list_lag_ms=options.list_lag_ms,
        pause_tolerance_ms=options.pause_tolerance_ms,
    )
