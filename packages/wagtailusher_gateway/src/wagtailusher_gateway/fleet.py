"""Fleet membership, built from seed addresses and the heartbeats of peers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
import random

from wagtailusher_core import FailureDomainId, Revision, VmId, first_by_rendezvous
from wagtailusher_gateway.const import (
    EARLY_HEARTBEAT_MAX_PEERS,
    GOSSIP_EVERY_HEARTBEATS,
    HEARTBEAT_INTERVAL_MS,
    HEARTBEATS_PER_S,
    MAX_HEARTBEAT_INTERVAL_MS,
    MAX_MISSED_HEARTBEATS,
    MAX_SILENCE_MS,
    MS_PER_S,
    PEER_RETENTION_MS,
    RELAY_MIN_PEERS,
    RELAYED_INTERVAL_MS,
)
from wagtailusher_gateway.member_reports import new_member
from wagtailusher_gateway.models import Member
from wagtailusher_gateway.peers import Peer, is_oldest
from wagtailusher_wire import NO_REVISION, Beat, BeatPeer

MAX_GOSSIP_PEERS = 12
"""Most peers in one heartbeat; these fit into a datagram together with the loads."""

SETTLE_MS = 1_000
"""Time without a new VM after which the fleet counts as fully known; five heartbeat intervals of a
small fleet."""

EXPIRY_CHECK_MS = 1_000
"""Interval of the check for peers to remove; a fraction of their retention."""

SETTLE_INTERVALS = 2
"""The same time in heartbeat intervals of a large fleet; tolerates one lost heartbeat."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DueHeartbeat:
    """A heartbeat that is to be sent now."""

    peer_address: str
    with_peers: bool
    """Whether it includes a sample of the known peers."""
    is_to_be_relayed: bool = False
    """Whether the receiver passes it on within its failure domain."""
    relay_since_ms: int | None = None
    """When a peer in this VM's failure domain got the last one, as this one passes on what has
    arrived since; None for other peers."""


class FleetDecider:
    """One VM's view of the fleet, from the heartbeats of all others.

    In a small fleet every VM sends them to every other one. In a large one it does so in its own
    failure domain only, and sends them to one VM of each other domain at a time, which passes them
    on. So the number of heartbeats that a VM sends does not grow with the fleet.
    """

    def __init__(
        self, own_member: Member, seeds: tuple[str, ...], started_ms: int, seed: int
    ) -> None:
        """Start from `seeds`: peer addresses of some VMs, which may no longer exist."""
        self.own_member = own_member
        self._seeds: tuple[str, ...] = ()
        self._has_heard_peer = False
        self._peers: dict[VmId, Peer] = {}
        self._silent_ids: set[VmId] = set()
        """Removed peers that did not announce that they leave; they may still send requests."""
        self._seeds_due_ms = started_ms
        self._relays_due_ms = started_ms
        self._expiry_due_ms = started_ms
        self._heartbeats_sent = 0
        self._last_growth_ms = started_ms
        self._is_settled = False
        self._random = random.Random(seed)
        self.max_peer_revision = NO_REVISION
        self.unreaching_ids: frozenset[VmId] = frozenset()
        """Peers that reach no endpoint of some service, by their last heartbeats."""
        self._local_count = 0
        """Number of peers in this VM's failure domain."""
        self.set_seeds(seeds, started_ms)

    def set_seeds(self, seeds: tuple[str, ...], now_ms: int) -> None:
        """Replace the addresses of VMs that this one tells of itself until it hears of them."""
        self._seeds = tuple(item for item in seeds if item != self.own_member.peer_address)
        self._seeds_due_ms = now_ms
        if not self._has_heard_peer:
            self._last_growth_ms = now_ms

    @property
    def knows_fleet(self) -> bool:
        """Return whether a peer was ever heard, or there should be none.

        A VM that starts while it is cut off, or with seeds that are gone, can't tell how many
        others use the fleet-wide limits, so it uses nothing of them.
        """
        return self._has_heard_peer or not self._seeds

    def set_own_state(
        self, *, is_ready: bool, is_leaving: bool, unreached_services: tuple[str, ...] = ()
    ) -> None:
        """Set the state that this VM announces in its heartbeats."""
        self.own_member = replace(
            self.own_member,
            is_ready=is_ready,
            is_leaving=is_leaving,
            unreached_services=unreached_services,
        )

    @property
    def local_interval_ms(self) -> int:
        """Return the heartbeat interval for peers in this VM's failure domain."""
        return _interval_ms(self._local_count)

    @property
    def remote_interval_ms(self) -> int:
        """Return the longest time between two heartbeats of a peer in another failure domain."""
        if self.uses_relays:
            return RELAYED_INTERVAL_MS + self.local_interval_ms
        return _interval_ms(len(self._peers))

    @property
    def uses_relays(self) -> bool:
        """Return whether heartbeats between failure domains are passed on by one VM of each."""
        return len(self._peers) > RELAY_MIN_PEERS

    def live_peers(self, now_ms: int) -> Iterator[tuple[Peer, Member]]:
        """Yield the peers that have not missed too many heartbeats, and what they told."""
        local_ms = min(MAX_SILENCE_MS, self.local_interval_ms * MAX_MISSED_HEARTBEATS)
        remote_ms = min(MAX_SILENCE_MS, self.remote_interval_ms * MAX_MISSED_HEARTBEATS)
        for peer in self._peers.values():
            limit_ms = local_ms if peer.is_local else remote_ms
            if peer.member is not None and now_ms - peer.last_seen_ms <= limit_ms:
                yield peer, peer.member

    def is_news(self, vm_id: VmId, incarnation: int, sent_ms: int) -> bool:
        """Return whether a relayed heartbeat is newer than the last one known of its VM."""
        if vm_id == self.own_member.vm_id:
            return False
        peer = self._peers.get(vm_id)
        if peer is None or peer.member is None or incarnation > peer.member.incarnation:
            return True
        return incarnation == peer.member.incarnation and sent_ms > peer.last_seen_ms

    def receive(
        self, vm_id: VmId, incarnation: int, heartbeat: Beat, source: str, now_ms: int
    ) -> bool:
        """Process a heartbeat; return whether its sender is new or has restarted.

        `now_ms` is when it arrived here, or at the VM that relayed it.
        """
        if vm_id == self.own_member.vm_id:
            return False
        existing = self._peers.get(vm_id)
        if existing is None:
            self._last_growth_ms = now_ms
        previous_member = existing.member if existing is not None else None
        if previous_member is not None and previous_member.incarnation > incarnation:
            return False
        member = new_member(vm_id, incarnation, heartbeat, source)
        view_revision = Revision(epoch=heartbeat.view_epoch, number=heartbeat.view_revision)
        self._silent_ids.discard(vm_id)
        self._has_heard_peer = True
        if bool(member.unreached_services) != (vm_id in self.unreaching_ids):
            self.unreaching_ids ^= {vm_id}
        is_local = member.failure_domain_id == self.own_member.failure_domain_id
        self._local_count += is_local - (existing is not None and existing.is_local)
        self._peers[vm_id] = Peer(
            peer_address=source,
            last_seen_ms=now_ms,
            due_ms=existing.due_ms if existing is not None else now_ms,
            sent_ms=existing.sent_ms if existing is not None else 0,
            member=member,
            is_local=is_local,
            view_revision=view_revision,
            view_confirmed_ms=now_ms - heartbeat.view_age_ms,
        )
        self.max_peer_revision = max(self.max_peer_revision, view_revision)
        for gossip_peer in heartbeat.peers:
            self._add_gossip_peer(gossip_peer, now_ms)
        return previous_member is None or previous_member.incarnation < incarnation

    def _add_gossip_peer(self, gossip_peer: BeatPeer, now_ms: int) -> None:
        """Add a VM that is known only through gossip."""
        if gossip_peer.vm_id == self.own_member.vm_id or gossip_peer.vm_id in self._peers:
            return
        self._last_growth_ms = now_ms
        self._silent_ids.discard(gossip_peer.vm_id)
        self._peers[gossip_peer.vm_id] = Peer(
            peer_address=gossip_peer.peer_address, last_seen_ms=now_ms, due_ms=now_ms
        )

    def _remove_expired(self, now_ms: int) -> None:
        """Remove peers without recent heartbeats.

        A VM that loses its last peer was suspended or cut off, and has to settle again.
        """
        for vm_id, peer in tuple(self._peers.items()):
            if now_ms - peer.last_seen_ms > PEER_RETENTION_MS:
                del self._peers[vm_id]
                self._local_count -= peer.is_local
                if peer.member is None or not peer.member.is_leaving:
                    self._silent_ids.add(vm_id)
                if not self._peers:
                    self._is_settled = False
                    self._last_growth_ms = now_ms

    def collect_due_heartbeats(self, now_ms: int) -> list[DueHeartbeat]:
        """Return the heartbeats to send now, and advance their schedule."""
        if self._expiry_due_ms <= now_ms:
            self._expiry_due_ms = now_ms + EXPIRY_CHECK_MS
            self._remove_expired(now_ms)
        local_ms, remote_ms = self.local_interval_ms, self.remote_interval_ms
        due = []
        for peer in self._peers.values():
            if peer.due_ms > now_ms:
                continue
            peer.due_ms = now_ms + (local_ms if peer.is_local else remote_ms)
            if not self._is_relayed_to(peer):
                due.append(self._new_due(peer, now_ms))
        if self.uses_relays and self._relays_due_ms <= now_ms:
            self._relays_due_ms = now_ms + RELAYED_INTERVAL_MS
            due.extend(
                replace(self._new_due(peer, now_ms), is_to_be_relayed=True)
                for peer in self._choose_relays(now_ms)
            )
        if self._seeds_due_ms <= now_ms:
            is_alone = all(peer.member is None for peer in self._peers.values())
            self._seeds_due_ms = now_ms + (
                HEARTBEAT_INTERVAL_MS if is_alone else remote_ms * GOSSIP_EVERY_HEARTBEATS
            )
            due.extend(self._due_to_seeds())
        return due

    def _new_due(self, peer: Peer, now_ms: int) -> DueHeartbeat:
        self._heartbeats_sent += 1
        since_ms, peer.sent_ms = peer.sent_ms, now_ms
        is_gossip_only = peer.member is None
        return DueHeartbeat(
            peer_address=peer.peer_address,
            with_peers=is_gossip_only or self._heartbeats_sent % GOSSIP_EVERY_HEARTBEATS == 0,
            relay_since_ms=(
                max(since_ms, now_ms - self.local_interval_ms - HEARTBEAT_INTERVAL_MS)
                if peer.is_local
                else None
            ),
        )

    def _due_to_seeds(self) -> Iterator[DueHeartbeat]:
        known_addresses = {
            peer.peer_address for peer in self._peers.values() if peer.member is not None
        }
        for address in self._seeds:
            if address not in known_addresses:
                yield DueHeartbeat(peer_address=address, with_peers=True)

    def _is_relayed_to(self, peer: Peer) -> bool:
        """Return whether a peer gets this VM's heartbeats from others in its failure domain.

        VMs of builds that do not relay get them directly.
        """
        has_relays = peer.member is not None and peer.member.relays
        return self.uses_relays and has_relays and not peer.is_local

    def _choose_relays(self, now_ms: int) -> Iterator[Peer]:
        """Yield a random VM of each other failure domain, a live one if there is any."""
        by_domain: dict[FailureDomainId, list[Peer]] = {}
        for peer in self._peers.values():
            if peer.member is not None and self._is_relayed_to(peer):
                by_domain.setdefault(peer.member.failure_domain_id, []).append(peer)
        for peers in by_domain.values():
            live = [
                peer
                for peer in peers
                if now_ms - peer.last_seen_ms <= MAX_SILENCE_MS
                and peer.member is not None
                and not peer.member.is_leaving
            ]
            yield self._random.choice(live or peers)

    def sample_peers(self) -> tuple[BeatPeer, ...]:
        """Return a random sample of the peers from which a heartbeat was received."""
        heard = [item for item in self._peers.items() if item[1].member is not None]
        sampled = self._random.sample(heard, min(MAX_GOSSIP_PEERS, len(heard)))
        return tuple(
            BeatPeer(vm_id=vm_id, peer_address=peer.peer_address) for vm_id, peer in sampled
        )

    def live_members(self, now_ms: int) -> tuple[Member, ...]:
        """Return the peers that have not missed too many heartbeats."""
        return tuple(member for _, member in self.live_peers(now_ms))

    def early_heartbeat_members(self, now_ms: int) -> tuple[Member, ...]:
        """Return the peers that get an early heartbeat after a long prompt was placed."""
        members = self.live_members(now_ms)
        if len(members) <= EARLY_HEARTBEAT_MAX_PEERS:
            return members
        return self.local_members(now_ms)

    def local_members(self, now_ms: int) -> tuple[Member, ...]:
        """Return the live peers in this VM's failure domain."""
        limit_ms = min(MAX_SILENCE_MS, self.local_interval_ms * MAX_MISSED_HEARTBEATS)
        return tuple(
            peer.member
            for peer in self._peers.values()
            if peer.is_local and peer.member is not None and now_ms - peer.last_seen_ms <= limit_ms
        )

    def gets_early_heartbeats_from(self, failure_domain_id: FailureDomainId) -> bool:
        """Return whether peers in a failure domain report a long prompt to this VM at once."""
        is_small = len(self._peers) <= EARLY_HEARTBEAT_MAX_PEERS
        return is_small or failure_domain_id == self.own_member.failure_domain_id

    def serving_members(self, now_ms: int) -> tuple[Member, ...]:
        """Return the VMs that callers may be sent to, including this one if it is ready."""
        members = (*self.live_members(now_ms), self.own_member)
        return tuple(member for member in members if member.is_ready and not member.is_leaving)

    def is_reader(self, now_ms: int) -> bool:
        """Return whether this VM is the one in its failure domain that reads the store."""
        domain_id = self.own_member.failure_domain_id
        candidates = [
            member.vm_id for member in self.local_members(now_ms) if not member.is_leaving
        ]
        first = first_by_rendezvous(domain_id, (*candidates, self.own_member.vm_id))
        return first == self.own_member.vm_id and not self.own_member.is_leaving

    def is_first_for(self, key: str, now_ms: int) -> bool:
        """Return whether this VM is the one of the live members that a key's hash selects."""
        return self.first_peer_for(key, now_ms) is None

    def first_peer_for(self, key: str, now_ms: int) -> str | None:
        """Return the peer address of the VM that a key's hash selects, or None for this one.

        VMs that reach no endpoint of a service are selected only if all are such.
        """
        live_members = self.live_members(now_ms)
        addresses = {item.vm_id: item.peer_address for item in live_members}
        members = (self.own_member, *live_members)
        reaching = [item for item in members if not item.unreached_services] or members
        first = first_by_rendezvous(key, [item.vm_id for item in reaching])
        return addresses.get(VmId(first)) if first is not None else None

    def is_settled(self, now_ms: int) -> bool:
        """Return whether this VM knows its fleet well enough to use its share of fleet-wide limits.

        Right after its start a VM knows too few others, or none, so its share would be too large.
        Once no new VM was found for a while, it stays settled: VMs that join later make its share
        smaller.
        """
        settle_ms = max(SETTLE_MS, SETTLE_INTERVALS * self.remote_interval_ms)
        if self.knows_fleet and now_ms - self._last_growth_ms >= settle_ms:
            self._is_settled = True
        return self._is_settled

    def is_oldest(self) -> bool:
        """Return whether no known VM started before this one and those together with it."""
        return is_oldest(
            ((peer, peer.member) for peer in self._peers.values() if peer.member is not None),
            self.own_member,
        )

    def has_current_views(self, now_ms: int, max_age_ms: int) -> bool:
        """Return whether every VM ever learned of has a view confirmed within `max_age_ms`."""
        return not self._silent_ids and all(
            now_ms - peer.view_confirmed_ms <= max_age_ms for peer in self._peers.values()
        )

    def all_vm_ids(self) -> tuple[VmId, ...]:
        """Return every VM that may still send requests.

        A peer that fell silent may be cut off from this VM only, so it counts until it is known to
        have left.
        """
        return (self.own_member.vm_id, *self._peers, *self._silent_ids)

    def awaits_peers(self) -> bool:
        """Return whether there are VMs from which no heartbeat has arrived yet."""
        heard = {peer.peer_address for peer in self._peers.values() if peer.member is not None}
        known = (*self._seeds, *(peer.peer_address for peer in self._peers.values()))
        return any(address not in heard for address in known)


def _interval_ms(peer_count: int) -> int:
    interval_ms = peer_count * MS_PER_S // HEARTBEATS_PER_S
    return min(MAX_HEARTBEAT_INTERVAL_MS, max(HEARTBEAT_INTERVAL_MS, interval_ms))
