"""What a VM knows of its peers, and which of them to ask for their view of the platform."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass

from wagtailusher_core import Revision, VmId, first_by_rendezvous
from wagtailusher_gateway.models import Member
from wagtailusher_wire import NO_REVISION

STARTED_TOGETHER_MS = 1_000
"""VMs that start within this time start together; all that are restarted at once do."""


@dataclass(slots=True, kw_only=True)
class Peer:
    """A known VM; `member` is None until its first heartbeat arrives."""

    peer_address: str
    last_seen_ms: int
    """When its last heartbeat arrived, or when it was learned of through gossip."""
    due_ms: int = 0
    sent_ms: int = 0
    """When the last regular heartbeat was sent to it."""
    member: Member | None = None
    is_local: bool = False
    """Whether it is in this VM's failure domain."""
    view_revision: Revision = NO_REVISION
    view_confirmed_ms: int = 0


Peers = Iterable[tuple[Peer, Member]]
"""Peers with what they tell of themselves."""


def freshest_view(peers: Peers) -> tuple[Member, Revision, int] | None:
    """Return the peer whose view was confirmed last, with its revision and that time."""
    freshest = max(peers, key=lambda item: item[0].view_confirmed_ms, default=None)
    if freshest is None:
        return None
    peer, member = freshest
    return member, peer.view_revision, peer.view_confirmed_ms


def newest_configuration(peers: Peers, own_id: VmId) -> Member | None:
    """Return a peer with the newest configuration, None if there are no peers.

    Different VMs choose different ones, as many may be behind at the same time.
    """
    members = [member for _, member in peers]
    newest = max((member.configuration_version for member in members), default=0)
    by_id = {item.vm_id: item for item in members if item.configuration_version == newest}
    chosen = first_by_rendezvous(own_id, list(by_id))
    return by_id[VmId(chosen)] if chosen is not None else None


def best_informed(peers: Peers, own_member: Member, excluded: Set[VmId]) -> Member | None:
    """Return a peer with a view that knows the most, None if there is none.

    Those that started together with this VM know no more than the store. Of those with the newest
    configuration and epoch it is one of the half that has run the longest; different VMs choose
    different ones, as many may start at the same time.
    """
    informed = [
        (member.configuration_version, peer.view_revision.epoch, member)
        for peer, member in peers
        if peer.view_revision.number
        and member.vm_id not in excluded
        and not _started_together(member, own_member)
    ]
    best = max((item[:2] for item in informed), default=None)
    members = sorted((item[2] for item in informed if item[:2] == best), key=_started_ms)
    longest = {member.vm_id: member for member in members[: (len(members) + 1) // 2]}
    chosen = first_by_rendezvous(own_member.vm_id, list(longest))
    return longest[VmId(chosen)] if chosen is not None else None


def all_started_together(peers: Peers, own_member: Member) -> bool:
    """Return whether peers were heard, all of which started together with this VM."""
    together = [_started_together(member, own_member) for _, member in peers]
    return bool(together) and all(together)


def is_oldest(peers: Peers, own_member: Member) -> bool:
    """Return whether no peer started before this VM and those that started together with it."""
    return all(_started_together(member, own_member) for _, member in peers)


def _started_together(member: Member, own_member: Member) -> bool:
    return member.incarnation + STARTED_TOGETHER_MS > own_member.incarnation


def _started_ms(member: Member) -> int:
    return member.incarnation
