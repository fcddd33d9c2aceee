"""SWIM-style membership of the fleet as one node knows it."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from wagtailusher_core import FailureDomainId, Incarnation, PublishedVm, Revision, VmId
from wagtailusher_membership.broadcast import select_fitting
from wagtailusher_membership.core import MembershipCore, new_own_member
from wagtailusher_membership.limits import MembershipLimits
from wagtailusher_membership.member import Member
from wagtailusher_membership.membership_effects import Effect, MemberChanged, RevisionHint
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

_LEAVE_FANOUT = 8
_NO_SENDER = VmId("")


class MembershipDecider:
    """Probes members, suspects and refutes, and gossips updates, bounded in size and rate."""

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
        """Start without peers; they are added from the platform's list or from messages."""
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
            Ping: self._handle_ping,
            Ack: self._handle_ack,
            Nack: self._handle_nack,
            IndirectPing: self._handle_indirect_ping,
            Gossip: self._handle_gossip,
            Leave: self._handle_leave,
            TableDigest: self._handle_digest,
        }

    def members(self) -> Mapping[VmId, Member]:
        """Return a live view of the members, including this node."""
        return self._core.table.view

    @property
    def own_member(self) -> Member:
        """Return this node's own entry in the member table."""
        return self._core.own_member

    @property
    def local_health(self) -> int:
        """Return the local health score: 0 is healthy, higher is slower."""
        return self._core.health.score

    @property
    def queued_update_count(self) -> int:
        """Return the number of updates queued for dissemination."""
        return len(self._core.queue)

    @property
    def is_list_suspected_truncated(self) -> bool:
        """Return whether the platform's last list dropped most alive members at once."""
        return self._core.table.is_list_suspected_truncated

    def set_revision(self, revision: Revision) -> None:
        """Set the configuration's revision that pings and acknowledgements carry."""
        self._core.revision = revision

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time in milliseconds of the next tick."""
        return min(now_ms + self._limits.gossip_interval_ms // 2, max(now_ms, self._gossip_at_ms))

    def tick(self, now_ms: int) -> tuple[Effect, ...]:
        """Run the probes, timers, gossip and table synchronization that are due."""
        self._check_for_pause(now_ms)
        if self._core.own_member.state is MemberState.LEFT:
            return self._core.pop_effects()
        self._prober.tick(now_ms)
        self._expire_suspicions(now_ms)
        if now_ms >= self._gossip_at_ms:
            self._gossip_at_ms = now_ms + self._limits.gossip_interval_ms
            self._send_gossip()
        if now_ms >= self._sync_at_ms:
            self._sync_at_ms = now_ms + self._jittered(self._limits.sync_interval_ms)
            self._send_digest()
        if now_ms >= self._reconnect_at_ms:
            self._reconnect_at_ms = now_ms + self._jittered(self._limits.reconnect_interval_ms)
            self._reconnect()
            self._retire_unlisted(now_ms)
        return self._core.pop_effects()

    def handle(
        self, message: Message, now_ms: int, *, sender: VmId = _NO_SENDER, address: str = ""
    ) -> tuple[Effect, ...]:
        """Handle a message; sender and address are those of the authenticated datagram."""
        self._check_for_pause(now_ms)
        handler = self._handlers.get(type(message))
        if handler is not None and self._core.own_member.state is not MemberState.LEFT:
            handler(message, sender, address, now_ms)
        return self._core.pop_effects()

    def update_published(self, vms: Iterable[PublishedVm], now_ms: int) -> tuple[Effect, ...]:
        """Merge the platform's list.

        It adds members that are unknown and starts the removal of those that it drops.
        """
        known = set(self._core.table.view)
        for member in self._core.table.merge_published(vms, now_ms):
            if member.vm_id not in known:
                self._core.probe_order.add(member.vm_id)
            self._core.emit(MemberChanged(member=member))
        return self._core.pop_effects()

    def announce_leaving(self, now_ms: int) -> tuple[Effect, ...]:
        """Announce that this node accepts no new requests; it stays a member."""
        self._check_for_pause(now_ms)
        own = self._core.own_member
        if not own.leaving and own.state is not MemberState.LEFT:
            self._announce_departure(MemberState.LEAVING)
        return self._core.pop_effects()

    def announce_left(self, now_ms: int) -> tuple[Effect, ...]:
        """Announce that this process ends now."""
        self._check_for_pause(now_ms)
        if self._core.own_member.state is not MemberState.LEFT:
            self._announce_departure(MemberState.LEFT)
        return self._core.pop_effects()

    def _announce_departure(self, state: MemberState) -> None:
        """Set and queue the own state, and send it to some members directly."""
        core = self._core
        core.update_own_state(state=state, leaving=True, version=core.own_member.version + 1)
        core.emit(MemberChanged(member=core.own_member))
        for member in core.sample(_LEAVE_FANOUT):
            core.send(member, Leave(update=core.own_member.to_update()))

    def _check_for_pause(self, now_ms: int) -> None:
        """Check whether this process was paused; missing answers then prove nothing.

        Suspicion deadlines move by the pause and the open probe is dropped.
        """
        last_ms, self._last_ms = self._last_ms, now_ms
        if last_ms is None or now_ms - last_ms < self._limits.pause_threshold_ms:
            return
        self._core.health.degrade()
        self._prober.abandon_round()
        for suspicion in self._core.suspicions.values():
            suspicion.start_ms += now_ms - last_ms
        self._sync_at_ms = now_ms

    def _jittered(self, interval_ms: int) -> int:
        """Return the interval with jitter of a quarter, so that nodes don't synchronize."""
        return interval_ms + self._core.rng.randint(-interval_ms // 4, interval_ms // 4)

    def _expire_suspicions(self, now_ms: int) -> None:
        """Declare suspected members dead whose deadline has passed."""
        for vm_id, suspicion in list(self._core.suspicions.items()):
            if now_ms >= suspicion.deadline_ms():
                self._core.declare_dead(vm_id, now_ms)

    def _send_gossip(self) -> None:
        """Send queued updates to random members."""
        if not len(self._core.queue):
            return
        for member in self._core.sample(self._limits.gossip_fanout):
            updates = self._core.updates_for(member.vm_id)
            if updates:
                self._core.send(member, Gossip(updates=updates))

    def _send_digest(self) -> None:
        """Send the table's digest to a random member, which replies with differences."""
        for member in self._core.sample(1):
            self._core.send(member, TableDigest(hashes=self._core.table.digest()))

    def _reconnect(self) -> None:
        """Ping a listed member considered dead or left, as a partition may have healed."""
        core = self._core
        candidates = [
            member for member in core.table.view.values() if member.is_listed and member.is_gone
        ]
        if not candidates:
            return
        member = core.rng.choice(candidates)
        ping = Ping(
            sequence=core.next_sequence(),
            target=member.vm_id,
            revision=core.revision,
            updates=(member.to_update(), core.own_member.to_update()),
        )
        core.send(member, ping)

    def _retire_unlisted(self, now_ms: int) -> None:
        """Mark as leaving, or remove, members that are no longer in the platform's list."""
        changes = self._core.table.retire(
            now_ms, grace_ms=self._limits.unlisted_grace_ms, forget_ms=self._limits.forget_ms
        )
        for member, removed in changes:
            self._core.emit(MemberChanged(member=member, removed=removed))

    def _emit_revision_hint(self, sender: VmId, revision: Revision) -> None:
        """Emit a peer's configuration revision if it differs from this node's."""
        if sender and revision not in (NO_REVISION, self._core.revision):
            self._core.emit(RevisionHint(vm_id=sender, revision=revision))

    def _handle_ping(self, message: Ping, sender: VmId, address: str, now_ms: int) -> None:
        self._core.merge_updates(message.updates, now_ms)
        self._emit_revision_hint(sender, message.revision)
        self._prober.handle_ping(message, sender, address)

    def _handle_ack(self, message: Ack, sender: VmId, address: str, now_ms: int) -> None:
        self._core.merge_updates(message.updates, now_ms)
        self._emit_revision_hint(sender, message.revision)
        self._prober.handle_ack(message)

    def _handle_nack(self, message: Nack, sender: VmId, address: str, now_ms: int) -> None:
        self._prober.handle_nack(message)

    def _handle_indirect_ping(
        self, message: IndirectPing, sender: VmId, address: str, now_ms: int
    ) -> None:
        self._core.merge_updates(message.updates, now_ms)
        self._prober.handle_indirect_ping(message, sender, address, now_ms)

    def _handle_gossip(self, message: Gossip, sender: VmId, address: str, now_ms: int) -> None:
        self._core.merge_updates(message.updates, now_ms)

    def _handle_leave(self, message: Leave, sender: VmId, address: str, now_ms: int) -> None:
        """Merge a leave announcement, which only the member itself may send."""
        if message.update.vm_id == sender:
            self._core.merge_update(message.update, now_ms)

    def _handle_digest(self, message: TableDigest, sender: VmId, address: str, now_ms: int) -> None:
        """Reply with the members of differing buckets, and with the own digest if requested."""
        core = self._core
        differing = list(core.table.differing_members(message.hashes))
        if not differing:
            return
        core.rng.shuffle(differing)
        remaining = [member.to_update() for member in differing if member.incarnation]
        for _ in range(self._limits.sync_datagrams):
            updates = tuple(select_fitting(remaining, self._limits.updates_bytes))
            if not updates:
                break
            remaining = remaining[len(updates) :]
            core.send_to(sender, address, Gossip(updates=updates))
        if message.answer:
            digest = TableDigest(hashes=core.table.digest(), answer=False)
            core.send_to(sender, address, digest)
