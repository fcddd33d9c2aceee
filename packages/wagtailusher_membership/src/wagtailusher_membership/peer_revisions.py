"""Tracks the configuration revision of each peer, and the pending content fetch."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wagtailusher_core import FailureDomainId, Revision, VmId
from wagtailusher_membership.member import Member
from wagtailusher_wire import NO_REVISION


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingFetch:
    """A content fetch that is in progress."""

    vm_id: VmId
    sequence: int
    deadline_ms: int


class PeerRevisions:
    """Stores the highest revision that each peer announced."""

    def __init__(self, rng: Random, *, minimum: Revision) -> None:
        """Start with a minimum revision, the highest that is known."""
        self._rng = rng
        self._minimum = minimum
        self._revisions: dict[VmId, Revision] = {}
        self._failed_peers: set[VmId] = set()
        self.pending: PendingFetch | None = None
        self.highest = minimum

    def record_revision(self, vm_id: VmId, revision: Revision) -> None:
        """Store the revision that a peer announced."""
        if revision > self._revisions.get(vm_id, NO_REVISION):
            self._revisions[vm_id] = revision
            self._failed_peers.discard(vm_id)
        self.highest = max(self.highest, revision)

    def forget_peer(self, vm_id: VmId) -> None:
        """Remove the revision of a peer's earlier process; the highest known revision stays."""
        self._revisions.pop(vm_id, None)

    def revision_of(self, vm_id: VmId) -> Revision:
        """Return the highest revision that a peer announced."""
        return self._revisions.get(vm_id, NO_REVISION)

    def forget_refused(self, refused: frozenset[Revision]) -> None:
        """Recompute the highest known revision without those that this node refused."""
        known = [revision for revision in self._revisions.values() if revision not in refused]
        self.highest = max([self._minimum, *known])

    def retain(self, members: Mapping[VmId, Member]) -> None:
        """Remove peers that are no longer members."""
        for vm_id in [name for name in self._revisions if name not in members]:
            del self._revisions[vm_id]

    def count_holding(self, revision: Revision) -> int:
        """Return the number of peers that hold a revision or a higher one."""
        return sum(known >= revision for known in self._revisions.values())

    def choose_fetch_source(
        self,
        above: Revision,
        members: Mapping[VmId, Member],
        near_domain: FailureDomainId,
        refused: frozenset[Revision],
    ) -> Member | None:
        """Return a peer of the highest revision to fetch from, if possible in the same domain.

        If there is none, None is returned and peers whose fetches failed may be chosen again.
        """
        fetchable = {
            vm_id: revision
            for vm_id, revision in self._revisions.items()
            if revision > above and revision not in refused and self._is_usable(vm_id, members)
        }
        if not fetchable:
            self._failed_peers.clear()
            return None
        highest_offered = max(fetchable.values())
        candidates = [
            members[vm_id] for vm_id, revision in fetchable.items() if revision == highest_offered
        ]
        same_domain = [member for member in candidates if member.failure_domain_id == near_domain]
        return self._rng.choice(same_domain or candidates)

    def record_fetch_failure(self, vm_id: VmId) -> None:
        """Record that a fetch from a peer failed; other peers are tried first."""
        self._failed_peers.add(vm_id)
        self.pending = None

    def _is_usable(self, vm_id: VmId, members: Mapping[VmId, Member]) -> bool:
        """Return whether content may be fetched from a peer."""
        return vm_id in members and not members[vm_id].is_gone and vm_id not in self._failed_peers
