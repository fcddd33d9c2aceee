"""Who is in the fleet, as one node knows it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from wagtailusher_core import FailureDomainId, Incarnation, PublishedVm, Revision, VmId
from wagtailusher_membership.broadcast import take_within
from wagtailusher_membership.core import MembershipCore, new_own_member
from wagtailusher_membership.effects import Effect, MemberChanged, RevisionHint
from wagtailusher_membership.limits import MembershipLimits
from wagtailusher_membership.member import Member
from wagtailusher_membership.prober import Prober
from wagtailusher_wire import (
    NO_REVISION,
    Ack,
    Gossip,
    IndirectPing,
    Leave,
    MemberState,
    Message,
    Nack,
    Ping,
    TableDigest,
)

_LEAVE_COPIES = 8
_NO_SENDER = VmId("")


class MembershipDecider:
    """Probes, suspects, refutes and gossips; keeps to bounds of size and rate."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        address: str,
        failure_domain_id: FailureDomainId,
        incarnation: Incarnation,
        seed: int,
        limits: MembershipLimits | None = None,
        peer_address: str | None = None,
    ) -> None:
        """Start alone; the platform's list or a message brings the others."""
        self._limits = limits or MembershipLimits()
        own = new_own_member(
            vm_id=vm_id,
            address=address,
            peer_address=address if peer_address is None else peer_address,
            failure_domain_id=failure_domain_id,
            incarnation=incarnation,
        )
        self._core = MembershipCore(own=own, seed=seed, limits=self._limits)
        self._prober = Prober(self._core)
        self._gossip_at_ms = self._sync_at_ms = self._reconnect_at_ms = 0
        self._last_ms: int | None = None
        self._handlers: dict[type, Callable[[Any, VmId, str, int], None]] = {
            Ping: self._on_ping,
            Ack: self._on_ack,
            Nack: self._on_nack,
            IndirectPing: self._on_indirect_ping,
            Gossip: self._on_gossip,
            Leave: self._on_leave,
            TableDigest: self._on_digest,
        }

    def members(self) -> Mapping[VmId, Member]:
        """Return a live view of the members, this node among them."""
        return self._core.table.view

    @property
    def own_member(self) -> Member:
        """Return the member that this node is."""
        return self._core.own_member

    @property
    def local_health(self) -> int:
        """Return how slow this node finds itself; 0 is healthy."""
        return self._core.health.score

    @property
    def queued_update_count(self) -> int:
        """Return how many updates wait to be passed on."""
        return len(self._core.queue)

    @property
    def is_list_doubted(self) -> bool:
        """Return whether the platform's last list dropped most running members at once."""
        return self._core.table.is_list_doubted

    def set_revision(self, revision: Revision) -> None:
        """Set the configuration's revision that pings and acknowledgements carry."""
        self._core.revision = revision

    def next_due_ms(self, now_ms: int) -> int:
        """Return when to tick next."""
        return min(now_ms + self._limits.gossip_interval_ms // 2, max(now_ms, self._gossip_at_ms))

    def tick(self, now_ms: int) -> tuple[Effect, ...]:
        """Do what is due."""
        self._note_time(now_ms)
        if self._core.own_member.state is MemberState.LEFT:
            return self._core.drain()
        self._prober.tick(now_ms)
        self._end_suspicions(now_ms)
        if now_ms >= self._gossip_at_ms:
            self._gossip_at_ms = now_ms + self._limits.gossip_interval_ms
            self._gossip()
        if now_ms >= self._sync_at_ms:
            self._sync_at_ms = now_ms + self._jittered(self._limits.sync_interval_ms)
            self._sync()
        if now_ms >= self._reconnect_at_ms:
            self._reconnect_at_ms = now_ms + self._jittered(self._limits.reconnect_interval_ms)
            self._reconnect()
            self._retire(now_ms)
        return self._core.drain()

    def handle(
        self, message: Message, now_ms: int, *, sender: VmId = _NO_SENDER, address: str = ""
    ) -> tuple[Effect, ...]:
        """Take a message in; sender and address are of the authenticated datagram."""
        self._note_time(now_ms)
        handler = self._handlers.get(type(message))
        if handler is not None and self._core.own_member.state is not MemberState.LEFT:
            handler(message, sender, address, now_ms)
        return self._core.drain()

    def update_published(self, vms: Iterable[PublishedVm], now_ms: int) -> tuple[Effect, ...]:
        """Take the platform's list in, as seeds and as the reason to forget."""
        known = set(self._core.table.view)
        for member in self._core.table.merge_published(vms, now_ms):
            if member.vm_id not in known:
                self._core.order.add(member.vm_id)
            self._core.emit(MemberChanged(member=member))
        return self._core.drain()

    def announce_leaving(self, now_ms: int) -> tuple[Effect, ...]:
        """Tell the fleet that this node takes no new work; it stays a member."""
        self._note_time(now_ms)
        own = self._core.own_member
        if not own.leaving and own.state is not MemberState.LEFT:
            self._restate(MemberState.LEAVING)
        return self._core.drain()

    def announce_left(self, now_ms: int) -> tuple[Effect, ...]:
        """Tell the fleet that this process ends now."""
        self._note_time(now_ms)
        if self._core.own_member.state is not MemberState.LEFT:
            self._restate(MemberState.LEFT)
        return self._core.drain()

    def _restate(self, state: MemberState) -> None:
        """State that this node leaves, to some members directly."""
        core = self._core
        core.restate(state=state, leaving=True, version=core.own_member.version + 1)
        core.emit(MemberChanged(member=core.own_member))
        for member in core.sample(_LEAVE_COPIES):
            core.send(member, Leave(update=core.own_member.to_update()))

    def _note_time(self, now_ms: int) -> None:
        """Notice that this process was paused: then others' silence proves nothing."""
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None or now_ms - last_ms < self._limits.pause_threshold_ms:
            return
        self._core.health.worse()
        self._prober.forget_round()
        for suspicion in self._core.suspicions.values():
            suspicion.start_ms += now_ms - last_ms
        self._sync_at_ms = now_ms

    def _jittered(self, interval_ms: int) -> int:
        """Return an interval that varies by a quarter, so that nodes don't fall into step."""
        return interval_ms + self._core.rng.randint(-interval_ms // 4, interval_ms // 4)

    def _end_suspicions(self, now_ms: int) -> None:
        """Declare suspects dead whose time is over."""
        for vm_id, suspicion in list(self._core.suspicions.items()):
            if now_ms >= suspicion.deadline_ms():
                self._core.declare_dead(vm_id, now_ms)

    def _gossip(self) -> None:
        """Pass waiting updates on."""
        if not len(self._core.queue):
            return
        for member in self._core.sample(self._limits.gossip_fanout):
            updates = self._core.updates_for(member.vm_id)
            if updates:
                self._core.send(member, Gossip(updates=updates))

    def _sync(self) -> None:
        """Compare tables with one member."""
        for member in self._core.sample(1):
            self._core.send(member, TableDigest(hashes=self._core.table.digest()))

    def _reconnect(self) -> None:
        """Ping one listed member that is believed gone: a partition may have healed."""
        core = self._core
        gone = [
            member for member in core.table.view.values() if member.is_listed and member.is_gone
        ]
        if not gone:
            return
        member = core.rng.choice(gone)
        ping = Ping(
            sequence=core.next_sequence(),
            target=member.vm_id,
            revision=core.revision,
            updates=(member.to_update(), core.own_member.to_update()),
        )
        core.send(member, ping)

    def _retire(self, now_ms: int) -> None:
        """Mark or remove members that the platform's list stopped naming."""
        changes = self._core.table.retire(
            now_ms, grace_ms=self._limits.unlisted_grace_ms, forget_ms=self._limits.forget_ms
        )
        for member, removed in changes:
            self._core.emit(MemberChanged(member=member, removed=removed))

    def _hint(self, sender: VmId, revision: Revision) -> None:
        """Tell which configuration a peer holds, where it isn't this node's."""
        if sender and revision not in (NO_REVISION, self._core.revision):
            self._core.emit(RevisionHint(vm_id=sender, revision=revision))

    def _on_ping(self, message: Ping, sender: VmId, address: str, now_ms: int) -> None:
        """Merge, then answer."""
        self._core.take_updates(message.updates, now_ms)
        self._hint(sender, message.revision)
        self._prober.ping(message, sender, address)

    def _on_ack(self, message: Ack, sender: VmId, address: str, now_ms: int) -> None:
        """Merge and note the answer."""
        self._core.take_updates(message.updates, now_ms)
        self._hint(sender, message.revision)
        self._prober.ack(message)

    def _on_nack(self, message: Nack, sender: VmId, address: str, now_ms: int) -> None:
        """Note that a relay lives."""
        self._prober.nack(message)

    def _on_indirect_ping(
        self, message: IndirectPing, sender: VmId, address: str, now_ms: int
    ) -> None:
        """Merge, then ping on the sender's behalf."""
        self._core.take_updates(message.updates, now_ms)
        self._prober.indirect_ping(message, sender, address, now_ms)

    def _on_gossip(self, message: Gossip, sender: VmId, address: str, now_ms: int) -> None:
        """Merge."""
        self._core.take_updates(message.updates, now_ms)

    def _on_leave(self, message: Leave, sender: VmId, address: str, now_ms: int) -> None:
        """Merge what a member says of itself."""
        if message.update.vm_id == sender:
            self._core.take_update(message.update, now_ms)

    def _on_digest(self, message: TableDigest, sender: VmId, address: str, now_ms: int) -> None:
        """Answer with members of the buckets that differ, and once with own hashes."""
        core = self._core
        differing = list(core.table.differing(message.hashes))
        if not differing:
            return
        core.rng.shuffle(differing)
        waiting = [member.to_update() for member in differing if member.incarnation]
        for _ in range(self._limits.sync_datagrams):
            updates = tuple(take_within(waiting, self._limits.updates_bytes))
            if not updates:
                break
            waiting = waiting[len(updates) :]
            core.send_to(sender, address, Gossip(updates=updates))
        if message.answer:
            digest = TableDigest(hashes=core.table.digest(), answer=False)
            core.send_to(sender, address, digest)
