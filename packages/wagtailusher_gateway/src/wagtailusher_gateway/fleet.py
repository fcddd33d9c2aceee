"""Which VMs belong to the fleet, found by seeds and beats alone."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
import random

from wagtailusher_core import VmId, first_by_rendezvous
from wagtailusher_gateway.const import (
    BEAT_INTERVAL_MS,
    BEATS_PER_S,
    FORGET_PEER_MS,
    HASTENED_FLEET,
    MAX_BEAT_INTERVAL_MS,
    MAX_SILENCE_MS,
    MISSED_BEATS,
    MS_PER_S,
    RUMOUR_BEATS,
)
from wagtailusher_gateway.models import Member
from wagtailusher_wire import Beat, BeatPeer

MAX_RUMOURS = 12
"""Peers named in one beat; as many fit a datagram beside the loads."""


SETTLE_MS = 1_000
"""Time without a new VM after which the fleet is taken to be known; five beats of a small one."""

SETTLE_INTERVALS = 2
"""Beat intervals of a large fleet for the same; one may be lost."""


@dataclass(slots=True, kw_only=True)
class _Peer:
    """A VM that was heard of."""

    peer_address: str
    heard_ms: int
    """When its last beat came, or when it was heard of."""
    due_ms: int = 0
    member: Member | None = None
    view_revision: int = 0
    view_confirmed_ms: int = 0


class FleetDecider:
    """One VM's view of the fleet; every VM beats to every other one.

    Beats come more slowly in a larger fleet, and slowest between failure domains, so that a VM's
    work for them stays bounded.
    """

    def __init__(self, own: Member, seeds: tuple[str, ...], started_ms: int, seed: int) -> None:
        """Start with the peer addresses of some VMs, which may be gone."""
        self.own = own
        self._seeds = tuple(address for address in seeds if address != own.peer_address)
        self._peers: dict[VmId, _Peer] = {}
        self._seeds_due_ms = started_ms
        self._beats = 0
        self._grown_ms = started_ms
        self._is_settled = False
        self._random = random.Random(seed)
        self.heard_revision = 0

    def set_own(self, *, is_ready: bool, is_leaving: bool) -> None:
        """Change what this VM says of itself."""
        self.own = replace(self.own, is_ready=is_ready, is_leaving=is_leaving)

    @property
    def near_interval_ms(self) -> int:
        """Return the time between beats to a peer of the own failure domain."""
        return _interval_ms(sum(self._is_near(peer) for peer in self._peers.values()))

    @property
    def far_interval_ms(self) -> int:
        """Return the time between beats to a peer of another failure domain."""
        return _interval_ms(len(self._peers))

    def _is_near(self, peer: _Peer) -> bool:
        """Tell whether a peer is of the own failure domain."""
        member = peer.member
        return member is not None and member.failure_domain_id == self.own.failure_domain_id

    def _heard(self, now_ms: int) -> Iterator[tuple[_Peer, Member]]:
        """Yield the peers whose beats arrive."""
        near_ms = min(MAX_SILENCE_MS, self.near_interval_ms * MISSED_BEATS)
        far_ms = min(MAX_SILENCE_MS, self.far_interval_ms * MISSED_BEATS)
        for peer in self._peers.values():
            limit_ms = near_ms if self._is_near(peer) else far_ms
            if peer.member is not None and now_ms - peer.heard_ms <= limit_ms:
                yield peer, peer.member

    def receive(self, vm_id: VmId, incarnation: int, beat: Beat, source: str, now_ms: int) -> bool:
        """Take a beat in; return whether its sender is new or has restarted."""
        if vm_id == self.own.vm_id:
            return False
        known = self._peers.get(vm_id)
        if known is None:
            self._grown_ms = now_ms
        before = known.member if known is not None else None
        if before is not None and before.incarnation > incarnation:
            return False
        member = Member(
            vm_id=vm_id,
            incarnation=incarnation,
            address=beat.address,
            peer_address=source,
            view_address=beat.view_address,
            failure_domain_id=beat.failure_domain_id,
            weight=beat.weight,
            is_leaving=beat.is_leaving,
            is_ready=beat.is_ready,
        )
        self._peers[vm_id] = _Peer(
            peer_address=source,
            heard_ms=now_ms,
            due_ms=known.due_ms if known is not None else now_ms,
            member=member,
            view_revision=beat.view_revision,
            view_confirmed_ms=now_ms - beat.view_age_ms,
        )
        self.heard_revision = max(self.heard_revision, beat.view_revision)
        for rumour in beat.peers:
            self._hear_of(rumour, now_ms)
        return before is None or before.incarnation < incarnation

    def _hear_of(self, rumour: BeatPeer, now_ms: int) -> None:
        """Note a VM that a peer knows."""
        if rumour.vm_id == self.own.vm_id or rumour.vm_id in self._peers:
            return
        self._grown_ms = now_ms
        self._peers[rumour.vm_id] = _Peer(
            peer_address=rumour.peer_address, heard_ms=now_ms, due_ms=now_ms
        )

    def _forget_silent(self, now_ms: int) -> None:
        """Forget peers that fell silent long ago; whoever forgets all was suspended or cut off."""
        for vm_id, peer in tuple(self._peers.items()):
            if now_ms - peer.heard_ms > FORGET_PEER_MS:
                del self._peers[vm_id]
                if not self._peers:
                    self._is_settled = False
                    self._grown_ms = now_ms

    def due(self, now_ms: int) -> list[tuple[str, bool]]:
        """Return whom to send a beat now, and whether it names the known peers."""
        self._forget_silent(now_ms)
        due = [peer for peer in self._peers.values() if peer.due_ms <= now_ms]
        near_ms, far_ms = self.near_interval_ms, self.far_interval_ms
        addresses = []
        for peer in due:
            self._beats += 1
            peer.due_ms = now_ms + (near_ms if self._is_near(peer) else far_ms)
            unheard = peer.member is None
            addresses.append((peer.peer_address, unheard or self._beats % RUMOUR_BEATS == 0))
        if self._seeds_due_ms <= now_ms:
            self._seeds_due_ms = now_ms + far_ms * RUMOUR_BEATS
            known = {peer.peer_address for peer in self._peers.values() if peer.member is not None}
            addresses.extend((address, True) for address in self._seeds if address not in known)
        return addresses

    def rumours(self) -> tuple[BeatPeer, ...]:
        """Return some of the peers that were heard themselves."""
        heard = [
            BeatPeer(vm_id=vm_id, peer_address=peer.peer_address)
            for vm_id, peer in self._peers.items()
            if peer.member is not None
        ]
        return tuple(self._random.sample(heard, min(MAX_RUMOURS, len(heard))))

    def heard_members(self, now_ms: int) -> tuple[Member, ...]:
        """Return the peers whose beats arrive."""
        return tuple(member for _, member in self._heard(now_ms))

    def hastened(self, now_ms: int) -> tuple[Member, ...]:
        """Return the peers that hear at once of a long prompt that was placed."""
        members = self.heard_members(now_ms)
        if len(members) <= HASTENED_FLEET:
            return members
        domain_id = self.own.failure_domain_id
        return tuple(member for member in members if member.failure_domain_id == domain_id)

    def callable_members(self, now_ms: int) -> tuple[Member, ...]:
        """Return the VMs that callers may be sent to, this one included if it is ready."""
        members = (*self.heard_members(now_ms), self.own)
        return tuple(member for member in members if member.is_ready and not member.is_leaving)

    def is_reader(self, now_ms: int) -> bool:
        """Tell whether this VM is the one of its failure domain that reads the platform."""
        domain_id = self.own.failure_domain_id
        candidates = [
            member.vm_id
            for member in self.heard_members(now_ms)
            if member.failure_domain_id == domain_id and not member.is_leaving
        ]
        first = first_by_rendezvous(domain_id, (*candidates, self.own.vm_id))
        return first == self.own.vm_id and not self.own.is_leaving

    def is_settled(self, now_ms: int) -> bool:
        """Tell whether this VM has found its fleet, and may take its part of what all share.

        Right after its start a VM knows too few others, and its part would be too large. Once
        it has heard of nobody new for a while, it stays settled: later ones make its part smaller.
        """
        pause_ms = max(SETTLE_MS, SETTLE_INTERVALS * self.far_interval_ms)
        if now_ms - self._grown_ms >= pause_ms:
            self._is_settled = True
        return self._is_settled

    def all_vm_ids(self) -> tuple[VmId, ...]:
        """Return every VM that may still send work: the heard, the silent and this one."""
        return (self.own.vm_id, *self._peers)

    def freshest_view(self, now_ms: int) -> tuple[Member, int, int] | None:
        """Return the heard peer whose view was confirmed last, its revision and that time."""
        freshest = max(
            self._heard(now_ms), key=lambda item: item[0].view_confirmed_ms, default=None
        )
        if freshest is None:
            return None
        peer, member = freshest
        return member, peer.view_revision, peer.view_confirmed_ms


def _interval_ms(peer_count: int) -> int:
    """Return the time between beats to each of so many peers."""
    interval_ms = peer_count * MS_PER_S // BEATS_PER_S
    return min(MAX_BEAT_INTERVAL_MS, max(BEAT_INTERVAL_MS, interval_ms))
