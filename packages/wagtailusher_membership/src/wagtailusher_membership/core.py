"""State shared by the membership components: member table, update queue and effects."""

from __future__ import annotations

from dataclasses import replace
from math import ceil, log2
from random import Random

from wagtailusher_core import FailureDomainId, Incarnation, Revision, VmId
from wagtailusher_membership.broadcast import BroadcastQueue, estimate_bytes
from wagtailusher_membership.limits import MembershipLimits
from wagtailusher_membership.member import Member
from wagtailusher_membership.membership_effects import (
    Effect,
    MemberChanged,
    SendDatagram,
    Superseded,
)
from wagtailusher_membership.probes import ProbeOrder, sample
from wagtailusher_membership.suspicion import LocalHealth, Suspicion
from wagtailusher_membership.table import MemberTable
from wagtailusher_wire import NO_REVISION, MemberState, MemberUpdate, Message


class MembershipCore:
    """One node's membership state; received and own updates change the table through it."""

    def __init__(self, *, own: Member, seed: int, limits: MembershipLimits) -> None:
        """Start with this node as the only member."""
        self.own_id = own.vm_id
        self.limits = limits
        self.rng = Random(seed)
        self.table = MemberTable(max_members=limits.max_members, buckets=limits.sync_buckets)
        self.queue = BroadcastQueue(max_updates=limits.max_queued_updates)
        self.probe_order = ProbeOrder(self.rng)
        self.health = LocalHealth(limits.max_local_health)
        self.suspicions: dict[VmId, Suspicion] = {}
        self.revision: Revision = NO_REVISION
        self._superseded_by: Incarnation | None = None
        self._effects: list[Effect] = []
        self._sequence = 0
        self.table.put(own)
        self.queue.add(own.to_update())

    @property
    def own_member(self) -> Member:
        """Return this node's own entry in the member table."""
        return self.table.view[self.own_id]

    def pop_effects(self) -> tuple[Effect, ...]:
        """Return and clear the effects since the last call."""
        effects = tuple(self._effects)
        self._effects.clear()
        return effects

    def emit(self, effect: Effect) -> None:
        """Append an effect for the daemon."""
        self._effects.append(effect)

    def send(self, member: Member, message: Message) -> None:
        """Queue a datagram to a member's peer address."""
        self.send_to(member.vm_id, member.peer_address, message)

    def send_to(self, vm_id: VmId, address: str, message: Message) -> None:
        """Queue a datagram to an address; none is queued without an address or to this node."""
        if address and vm_id != self.own_id:
            self._effects.append(SendDatagram(vm_id=vm_id, address=address, message=message))

    def next_sequence(self) -> int:
        """Return a new sequence number for a probe."""
        self._sequence += 1
        return self._sequence

    def sample(self, count: int, *excluded: VmId) -> list[Member]:
        """Return random alive members other than this node and the excluded ones."""
        return sample(
            self.rng, self.table.view, count, excluded=frozenset((self.own_id, *excluded))
        )

    def updates_for(self, vm_id: VmId) -> tuple[MemberUpdate, ...]:
        """Return updates to piggyback; a suspicion or death of the receiver goes first.

        So the receiver can refute it.
        """
        budget = self.limits.updates_bytes
        first: tuple[MemberUpdate, ...] = ()
        member = self.table.view.get(vm_id)
        if member is not None and member.state in (MemberState.SUSPECT, MemberState.DEAD):
            first = (member.to_update(),)
            budget -= estimate_bytes(first[0])
        max_sends = self.limits.retransmit_factor * ceil(log2(len(self.table.view) + 1))
        dequeued = self.queue.dequeue(max_bytes=budget, max_sends=max_sends)
        return first + tuple(update for update in dequeued if update.vm_id != vm_id or not first)

    def merge_updates(self, updates: tuple[MemberUpdate, ...], now_ms: int) -> None:
        """Merge the updates of a received message."""
        for update in updates:
            self.merge_update(update, now_ms)

    def merge_update(self, update: MemberUpdate, now_ms: int) -> None:
        """Merge one update, refute it if it is about this VM, or count it as a confirmation."""
        if update.vm_id == self.own_id:
            self._handle_own_update(update)
            return
        known = update.vm_id in self.table.view
        member = self.table.merge(update, now_ms)
        if member is None:
            self._confirm(update)
            return
        if not known:
            self.probe_order.add(member.vm_id)
        self._update_suspicion(member, update, now_ms)
        self.queue.add(replace(member.to_update(), accuser=update.accuser))
        self.emit(MemberChanged(member=member))

    def update_own_state(self, *, state: MemberState, leaving: bool, version: int) -> None:
        """Store and queue a new version of this node's own entry."""
        own = self.table.put(
            replace(self.own_member, state=state, leaving=leaving, version=version)
        )
        self.queue.add(own.to_update())

    def suspect(self, vm_id: VmId, now_ms: int) -> None:
        """Mark a member that didn't answer a probe as suspected."""
        member = self.table.view.get(vm_id)
        if member is None or member.is_gone:
            return
        update = replace(member.to_update(), state=MemberState.SUSPECT, accuser=self.own_id)
        self.merge_update(update, now_ms)

    def declare_dead(self, vm_id: VmId, now_ms: int) -> None:
        """Mark a suspected member as dead, once its time to refute has passed."""
        member = self.table.view.get(vm_id)
        if member is not None and member.state is MemberState.SUSPECT:
            self.merge_update(replace(member.to_update(), state=MemberState.DEAD), now_ms)

    def _handle_own_update(self, update: MemberUpdate) -> None:
        """Handle an update about this VM: refute a suspicion or death.

        A higher incarnation means that a newer process of this VM replaced this one.
        """
        own = self.own_member
        if update.incarnation > own.incarnation:
            if self._superseded_by is None or update.incarnation > self._superseded_by:
                self._superseded_by = update.incarnation
                self.emit(Superseded(incarnation=update.incarnation))
            return
        if own.state is MemberState.LEFT or update.incarnation < own.incarnation:
            return
        needs_refutation = update.state in (MemberState.SUSPECT, MemberState.DEAD)
        if needs_refutation and update.version >= own.version:
            self.health.degrade()
            self.update_own_state(state=own.state, leaving=own.leaving, version=update.version + 1)

    def _confirm(self, update: MemberUpdate) -> None:
        """Count another member that suspects a suspected one, and disseminate its suspicion."""
        suspicion = self.suspicions.get(update.vm_id)
        if suspicion is None or update.state is not MemberState.SUSPECT or not update.accuser:
            return
        if suspicion.version == update.version and suspicion.confirm(update.accuser):
            self.queue.add(update)

    def _update_suspicion(self, member: Member, update: MemberUpdate, now_ms: int) -> None:
        """Start or end the suspicion timer of a member that changed."""
        self.suspicions.pop(member.vm_id, None)
        if member.state is not MemberState.SUSPECT:
            return
        suspicion = Suspicion(version=member.version, start_ms=now_ms, limits=self.limits)
        if update.accuser:
            suspicion.confirm(update.accuser)
        self.suspicions[member.vm_id] = suspicion


def new_own_member(
    *,
    vm_id: VmId,
    address: str,
    peer_address: str,
    failure_domain_id: FailureDomainId,
    incarnation: Incarnation,
) -> Member:
    """Return a starting node's own entry for the member table."""
    return Member(
        vm_id=vm_id,
        incarnation=incarnation,
        version=1,
        state=MemberState.ALIVE,
        leaving=False,
        address=address,
        peer_address=peer_address,
        failure_domain_id=failure_domain_id,
        state_since_ms=0,
    )
