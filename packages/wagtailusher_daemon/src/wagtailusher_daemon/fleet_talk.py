"""Membership, configuration spread and quarantine among the VMs' processes."""

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
from wagtailusher_daemon.conversion import pool_demand, quarantine_message, quarantine_summary
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_daemon.node import RouterNode
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
    """Who this process is in the fleet; addresses are `host:port`."""

    vm_id: VmId
    incarnation: Incarnation
    failure_domain_id: FailureDomainId
    address: str
    peer_address: str


class FleetTalk:
    """Owns the deciders of membership and configuration."""

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
        superseded: Callable[[], None],
    ) -> None:
        """Start alone and without a configuration."""
        self._send = send
        self._node = node
        self._view = view
        self._service = service
        self._stream = stream
        self._superseded = superseded
        self._generator = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_isolated = False
        self.membership = _new_membership(identity, seed)
        members = self.membership.members()
        self.configuration = ConfigurationDecider(
            vm_id=identity.vm_id,
            failure_domain_id=identity.failure_domain_id,
            members=members,
            validate=view.gate.validate,
            seed=seed + 1,
        )
        self.summaries = _new_summaries(identity, members, seed + 2)

    def members(self) -> tuple[Member, ...]:
        """Return the members, this process among them."""
        return tuple(self.membership.members().values())

    def member_address(self, vm_id: VmId) -> str | None:
        """Return the address at which a member serves callers."""
        member = self.membership.members().get(vm_id)
        return member.address if member is not None and member.address else None

    def peer_address(self, vm_id: VmId) -> str | None:
        """Return the address at which a member receives datagrams."""
        member = self.membership.members().get(vm_id)
        return member.peer_address if member is not None and member.peer_address else None

    def _hears_nobody(self, now_ms: int) -> bool:
        """Tell whether this VM hears neither the service nor any of several listed peers.

        With a single peer listed, its silence more likely means that it is gone.
        """
        own_id = self.membership.own_member.vm_id
        others = sum(item.is_listed and item.vm_id != own_id for item in self.members())
        if others < MIN_PEERS_FOR_ISOLATION:
            return False
        return self.configuration.time_since_contact_ms(now_ms) > ISOLATION_MS

    @callback
    def update_published(self, vms: Iterable[PublishedVm]) -> None:
        """Take the platform's list in."""
        self._carry_out(self.membership.update_published(vms, monotonic_ms()))

    @callback
    def tick(self) -> None:
        """Let time pass."""
        now_ms = monotonic_ms()
        self._carry_out(self.membership.tick(now_ms))
        self._carry_out(self.configuration.tick(now_ms))
        self.is_isolated = self._hears_nobody(now_ms)
        self._node.decider.set_isolated(self.is_isolated)
        if now_ms >= self.summaries.next_due_ms(now_ms):
            self.summaries.set_room(self._node.decider.spare_credits(now_ms))
            self.summaries.set_demand(map(pool_demand, self._node.decider.load_by_pool()))
            self._carry_out(self.summaries.tick(now_ms))

    @callback
    def spread_quarantine(self) -> None:
        """Tell a few members about requests that crash endpoints."""
        summary = self._node.decider.quarantine_summary(monotonic_ms())
        if not summary.entries:
            return
        message = quarantine_message(summary)
        own_id = self.membership.own_member.vm_id
        others = [
            member for member in self.members() if member.vm_id != own_id and not member.is_gone
        ]
        for member in self._generator.sample(others, min(QUARANTINE_FANOUT, len(others))):
            self._send(member.peer_address, message)

    @callback
    def receive(self, message: Message, authenticated: AuthenticatedMessage, address: str) -> None:
        """Take a peer's message in."""
        now_ms = monotonic_ms()
        if isinstance(message, QuarantineSummary):
            self._node.decider.merge_quarantine(quarantine_summary(message), now_ms)
            return
        if isinstance(message, SummaryGossip | QuotaClaims | QuotaGrants):
            self._carry_out(self.summaries.handle(message, now_ms, sender=authenticated.vm_id))
            return
        if isinstance(message, ConfigurationAnnounce | ConfigurationQuery):
            effects = self.configuration.handle(
                message, now_ms, sender=authenticated.vm_id, address=address
            )
            self._carry_out(effects)
            return
        self._carry_out(
            self.membership.handle(message, now_ms, sender=authenticated.vm_id, address=address)
        )

    @callback
    def observe_revision(self, revision: Revision) -> None:
        """Take in a revision that a caller brought along."""
        self._carry_out(self.configuration.observe_revision(revision, monotonic_ms()))

    @callback
    def announce_leaving(self) -> None:
        """Tell the fleet that this process takes no new work."""
        self._carry_out(self.membership.announce_leaving(monotonic_ms()))

    async def async_end(self) -> None:
        """Tell the fleet that this process ends, and stop what is under way."""
        self._carry_out(self.membership.announce_left(monotonic_ms()))
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @callback
    def _carry_out(self, effects: Iterable[Effect | ConfigurationEffect]) -> None:
        """Do what the deciders ask."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                self._send(effect.address, effect.message)
            elif isinstance(effect, ApplyConfiguration):
                self._view.gate.apply(effect.content)
                self.membership.set_revision(effect.revision)
            elif isinstance(effect, ReadService):
                self._spawn(self._async_read_service())
            elif isinstance(effect, FetchContent):
                self._spawn(self._async_fetch(effect))
            elif isinstance(effect, RevisionHint):
                hints = self.configuration.observe_revision(
                    effect.revision, monotonic_ms(), sender=effect.vm_id
                )
                self._carry_out(hints)
            elif isinstance(effect, Superseded):
                _LOGGER.error("Fleet: a newer process of this VM is at work; this one ends")
                self._superseded()
            else:
                _log_effect(effect)

    async def _async_read_service(self) -> None:
        """Watch the configuration service once."""
        try:
            found = await self._service.async_wait_for_change()
        except WagtailusherError as err:
            _LOGGER.info("Configuration: the service gave nothing: %s", err.code)
            self.configuration.handle_service_failure(monotonic_ms())
            return
        if found is None:
            self.configuration.handle_service_unchanged(monotonic_ms())
            return
        await self._view.gate.async_prepare(found.content)
        self._carry_out(
            self.configuration.handle_service_content(found.revision, found.content, monotonic_ms())
        )

    async def _async_fetch(self, fetch: FetchContent) -> None:
        """Ask a peer for content."""
        address = self.member_address(fetch.vm_id)
        try:
            answer = await self._stream.async_fetch(address, fetch.request)
        except WagtailusherError as err:
            _LOGGER.info("Configuration: %s gave nothing: %s", fetch.vm_id, err.code)
            self._carry_out(
                self.configuration.handle_fetch_failure(fetch.request.sequence, monotonic_ms())
            )
            return
        self._carry_out(
            self.configuration.handle_fetch_result(answer, monotonic_ms(), sender=fetch.vm_id)
        )

    @callback
    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a piece of work in a task of its own."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _new_membership(identity: Identity, seed: int) -> MembershipDecider:
    """Return the decider of who is in the fleet."""
    return MembershipDecider(
        vm_id=identity.vm_id,
        address=identity.address,
        peer_address=identity.peer_address,
        failure_domain_id=identity.failure_domain_id,
        incarnation=identity.incarnation,
        seed=seed,
    )


def _new_summaries(identity: Identity, members: Mapping[VmId, Member], seed: int) -> SummaryDecider:
    """Return the decider of room, quotas and address answers."""
    return SummaryDecider(
        vm_id=identity.vm_id,
        failure_domain_id=identity.failure_domain_id,
        incarnation=identity.incarnation,
        members=members,
        seed=seed,
    )


def _log_effect(effect: object) -> None:
    """Log what only operators need to know."""
    if isinstance(effect, MemberChanged):
        member = effect.member
        state = "removed" if effect.removed else str(member.state)
        _LOGGER.info("Fleet: %s is %s", member.vm_id, state)
    elif isinstance(effect, ConfigurationRefused):
        _LOGGER.warning("Configuration: %s refused: %s", effect.revision, effect.reason)
    elif isinstance(effect, ServiceBehind):
        _LOGGER.warning(
            "Configuration: the service offers %s but %s is in force", effect.offered, effect.held
        )
    elif isinstance(effect, ConfigurationConflict):
        _LOGGER.warning("Configuration: two contents of revision %s", effect.revision)
    elif isinstance(effect, StartupSyncCompleted):
        _LOGGER.info("Configuration: settled, confirmed by a peer: %s", effect.confirmed)
