"""Runs membership, configuration, summary and quarantine gossip between the VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping
from dataclasses import dataclass
import logging
import random

from wagtailusher_core import (
    FailureDomainId,
    Incarnation,
    PublishedVm,
    Revision,
    VmId,
    WagtailusherError,
    callback,
)
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.configuration_stream import ConfigurationStream
from wagtailusher_daemon.const import ISOLATION_MS, MIN_PEERS_FOR_ISOLATION, QUARANTINE_FANOUT
from wagtailusher_daemon.conversion import pool_demand
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.quarantine_messages import quarantine_message, quarantine_summary
from wagtailusher_daemon.steps import run_steps
from wagtailusher_integrations.config_service import ConfigServiceCoordinator
from wagtailusher_membership import (
    ApplyConfiguration,
    ConfigurationConflict,
    ConfigurationDecider,
    ConfigurationEffect,
    ConfigurationRefused,
    Effect,
    FetchContent,
    Member,
    MemberChanged,
    MembershipDecider,
    ReadService,
    RevisionHint,
    SendDatagram,
    ServiceBehind,
    StartupSyncCompleted,
    SummaryDecider,
    Superseded,
)
from wagtailusher_wire import (
    AuthenticatedMessage,
    ConfigurationAnnounce,
    ConfigurationQuery,
    Message,
    QuarantineSummary,
    QuotaClaims,
    QuotaGrants,
    SummaryGossip,
)

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identifies this process in the fleet; addresses are `host:port`."""

    vm_id: VmId
    incarnation: Incarnation
    failure_domain_id: FailureDomainId
    address: str
    peer_address: str


class FleetSync:
    """Owns the membership, configuration and summary deciders and executes their effects."""

    def __init__(
        self,
        identity: Identity,
        *,
        seed: int,
        send: Callable[[str, Message], None],
        node: RouterNode,
        view: FleetView,
        service: ConfigServiceCoordinator,
        stream: ConfigurationStream,
        on_superseded: Callable[[], None],
    ) -> None:
        """Start with this VM as the only member and without a configuration."""
        self._send = send
        self._node = node
        self._view = view
        self._service = service
        self._stream = stream
        self._on_superseded = on_superseded
        self._generator = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_isolated = False
        self.membership = _new_membership(identity, seed)
        members = self.membership.members()
        self.configuration = ConfigurationDecider(
            vm_id=identity.vm_id,
            failure_domain_id=identity.failure_domain_id,
            members=members,
            validate=view.validator.validate,
            seed=seed + 1,
        )
        self.summaries = _new_summaries(identity, members, seed + 2)

    def members(self) -> tuple[Member, ...]:
        """Return the members, including this VM."""
        return tuple(self.membership.members().values())

    def live_peers(self) -> list[Member]:
        """Return the members that are not gone, without this VM."""
        own_id = self.membership.own_member.vm_id
        return [m for m in self.members() if m.vm_id != own_id and not m.is_gone]

    def member_address(self, vm_id: VmId) -> str | None:
        """Return the address at which a member serves callers, or None when it is unknown."""
        member = self.membership.members().get(vm_id)
        return member.address if member is not None and member.address else None

    def peer_address(self, vm_id: VmId) -> str | None:
        """Return the address at which a member receives datagrams, or None when it is unknown."""
        member = self.membership.members().get(vm_id)
        return member.peer_address if member is not None and member.peer_address else None

    def _has_lost_contact(self, now_ms: int) -> bool:
        """Return whether there was no contact with the service or any peer for ISOLATION_MS.

        False when fewer than MIN_PEERS_FOR_ISOLATION other VMs are listed: with a single one, a
        loss of contact more likely means that the peer is gone.
        """
        own_id = self.membership.own_member.vm_id
        peers = sum(item.is_listed and item.vm_id != own_id for item in self.members())
        if peers < MIN_PEERS_FOR_ISOLATION:
            return False
        return self.configuration.time_since_contact_ms(now_ms) > ISOLATION_MS

    @callback
    def update_published(self, vms: Iterable[PublishedVm]) -> None:
        """Apply the platform's list of entry VMs to the membership."""
        self._execute(self.membership.update_published(vms, monotonic_ms()))

    @callback
    def tick(self) -> None:
        """Run the deciders' periodic work."""
        run_steps(
            monotonic_ms(),
            lambda now_ms: self._execute(self.membership.tick(now_ms)),
            lambda now_ms: self._execute(self.configuration.tick(now_ms)),
            self._update_isolation,
            self._tick_summaries,
        )

    def _update_isolation(self, now_ms: int) -> None:
        self.is_isolated = self._has_lost_contact(now_ms)
        self._node.decider.set_isolated(self.is_isolated)

    def _tick_summaries(self, now_ms: int) -> None:
        if now_ms >= self.summaries.next_due_ms(now_ms):
            self.summaries.set_room(self._node.decider.spare_credits(now_ms))
            self.summaries.set_demand(map(pool_demand, self._node.decider.load_by_pool()))
            self._execute(self.summaries.tick(now_ms))

    @callback
    def gossip_quarantine(self) -> None:
        """Send the fingerprints of requests that crash endpoints to a few random members."""
        summary = self._node.decider.quarantine_summary(monotonic_ms())
        if not summary.entries:
            return
        message = quarantine_message(summary)
        peers = self.live_peers()
        for member in self._generator.sample(peers, min(QUARANTINE_FANOUT, len(peers))):
            self._send(member.peer_address, message)

    @callback
    def receive(self, message: Message, authenticated: AuthenticatedMessage, address: str) -> None:
        """Pass a verified message from a peer to the decider that handles it."""
        now_ms = monotonic_ms()
        if isinstance(message, QuarantineSummary):
            self._node.decider.merge_quarantine(quarantine_summary(message), now_ms)
            return
        if isinstance(message, SummaryGossip | QuotaClaims | QuotaGrants):
            self._execute(self.summaries.handle(message, now_ms, sender=authenticated.vm_id))
            return
        if isinstance(message, ConfigurationAnnounce | ConfigurationQuery):
            effects = self.configuration.handle(
                message, now_ms, sender=authenticated.vm_id, address=address
            )
            self._execute(effects)
            return
        self._execute(
            self.membership.handle(message, now_ms, sender=authenticated.vm_id, address=address)
        )

    @callback
    def observe_revision(self, revision: Revision) -> None:
        """Handle a settings revision named by a caller; a newer one is fetched."""
        self._execute(self.configuration.observe_revision(revision, monotonic_ms()))

    @callback
    def announce_leaving(self) -> None:
        """Announce to the fleet that this VM accepts no new work."""
        self._execute(self.membership.announce_leaving(monotonic_ms()))

    async def async_shutdown(self) -> None:
        """Announce to the fleet that this process ends, and cancel its tasks."""
        self._execute(self.membership.announce_left(monotonic_ms()))
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @callback
    def _execute(self, effects: Iterable[Effect | ConfigurationEffect]) -> None:
        """Execute the deciders' effects."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect.address, effect.message)
            elif isinstance(effect, ApplyConfiguration):
                self._view.validator.apply(effect.content)
                self.membership.set_revision(effect.revision)
            elif isinstance(effect, ReadService):
                self._create_task(self._async_read_service())
            elif isinstance(effect, FetchContent):
                self._create_task(self._async_fetch(effect))
            elif isinstance(effect, RevisionHint):
                hints = self.configuration.observe_revision(
                    effect.revision, monotonic_ms(), sender=effect.vm_id
                )
                self._execute(hints)
            elif isinstance(effect, Superseded):
                _LOGGER.error("Fleet: a newer process of this VM is running; stopping this one")
                self._on_superseded()
            else:
                _log_effect(effect)

    async def _async_read_service(self) -> None:
        """Wait once for a change at the configuration service."""
        try:
            service_content = await self._service.async_wait_for_change()
        except WagtailusherError as err:
            _LOGGER.info("Configuration: could not read the service: %s", err.code)
            self.configuration.handle_service_failure(monotonic_ms())
            return
        if service_content is None:
            self.configuration.handle_service_unchanged(monotonic_ms())
            return
        await self._view.validator.async_prepare(service_content.content)
        self._execute(
            self.configuration.handle_service_content(
                service_content.revision, service_content.content, monotonic_ms()
            )
        )

    async def _async_fetch(self, fetch: FetchContent) -> None:
        """Fetch configuration content from a peer."""
        address = self.member_address(fetch.vm_id)
        try:
            answer = await self._stream.async_fetch(address, fetch.request)
        except WagtailusherError as err:
            _LOGGER.info(
                "Configuration: could not fetch content from %s: %s", fetch.vm_id, err.code
            )
            self._execute(
                self.configuration.handle_fetch_failure(fetch.request.sequence, monotonic_ms())
            )
            return
        self._execute(
            self.configuration.handle_fetch_result(answer, monotonic_ms(), sender=fetch.vm_id)
        )

    @callback
    def _create_task(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine in a task that `async_shutdown` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _new_membership(identity: Identity, seed: int) -> MembershipDecider:
    return MembershipDecider(
        vm_id=identity.vm_id,
        address=identity.address,
        peer_address=identity.peer_address,
        failure_domain_id=identity.failure_domain_id,
        incarnation=identity.incarnation,
        seed=seed,
    )


def _new_summaries(identity: Identity, members: Mapping[VmId, Member], seed: int) -> SummaryDecider:
    return SummaryDecider(
        vm_id=identity.vm_id,
        failure_domain_id=identity.failure_domain_id,
        incarnation=identity.incarnation,
        members=members,
        seed=seed,
    )


def _log_effect(effect: object) -> None:
    """Log an effect that needs no action."""
    if isinstance(effect, MemberChanged):
        member = effect.member
        state = "removed" if effect.removed else str(member.state)
        _LOGGER.info("Fleet: %s is %s", member.vm_id, state)
    elif isinstance(effect, ConfigurationRefused):
        _LOGGER.warning("Configuration: revision %s rejected: %s", effect.revision, effect.reason)
    elif isinstance(effect, ServiceBehind):
        _LOGGER.warning(
            "Configuration: the service returned revision %s, older than the current %s; ignored",
            effect.offered,
            effect.held,
        )
    elif isinstance(effect, ConfigurationConflict):
        _LOGGER.warning("Configuration: revision %s has two different contents", effect.revision)
    elif isinstance(effect, StartupSyncCompleted):
        _LOGGER.info(
            "Configuration: start-up synchronization completed, confirmed by a peer: %s",
            effect.confirmed,
        )
