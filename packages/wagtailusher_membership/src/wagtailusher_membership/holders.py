"""Which peers hold which configuration, and whom content is being fetched from."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wagtailusher_core import FailureDomainId, Revision, VmId
from wagtailusher_membership.member import Member
from wagtailusher_wire import NO_REVISION


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingFetch:
    """A fetch that is under way."""

    vm_id: VmId
    sequence: int
    ends_at_ms: int


class Holders:
    """Remembers the highest revision that each peer told."""

    def __init__(self, rng: Random, *, floor: Revision) -> None:
        """Start knowing only a floor."""
        self._rng = rng
        self._floor = floor
        self._revisions: dict[VmId, Revision] = {}
        self._failed: set[VmId] = set()
        self.pending: PendingFetch | None = None
        self.highest = floor

    def note(self, vm_id: VmId, revision: Revision) -> None:
        """Note what a peer holds."""
        if revision > self._revisions.get(vm_id, NO_REVISION):
            self._revisions[vm_id] = revision
            self._failed.discard(vm_id)
        self.highest = max(self.highest, revision)

    def restarted(self, vm_id: VmId) -> None:
        """Forget what an earlier process of a peer held; the highest stays."""
        self._revisions.pop(vm_id, None)

    def revision_of(self, vm_id: VmId) -> Revision:
        """Return what a peer is known to hold."""
        return self._revisions.get(vm_id, NO_REVISION)

    def forget_refused(self, refused: frozenset[Revision]) -> None:
        """Take the highest revision from those that this node didn't refuse."""
        known = [revision for revision in self._revisions.values() if revision not in refused]
        self.highest = max([self._floor, *known])

    def keep_only(self, members: Mapping[VmId, Member]) -> None:
        """Forget peers that are no members any more."""
        for vm_id in [name for name in self._revisions if name not in members]:
            del self._revisions[vm_id]

    def count(self, revision: Revision) -> int:
        """Return how many peers hold a revision or a higher one."""
        return sum(known >= revision for known in self._revisions.values())

    def choose(
        self,
        above: Revision,
        members: Mapping[VmId, Member],
        near: FailureDomainId,
        refused: frozenset[Revision],
    ) -> Member | None:
        """Return a peer to fetch from: of the highest revision, near where there is one."""
        offers = {
            vm_id: revision
            for vm_id, revision in self._revisions.items()
            if revision > above and revision not in refused and self._is_usable(vm_id, members)
        }
        if not offers:
            self._failed.clear()
            return None
        best = max(offers.values())
        candidates = [members[vm_id] for vm_id, revision in offers.items() if revision == best]
        close = [member for member in candidates if member.failure_domain_id == near]
        return self._rng.choice(close or candidates)

    def failed(self, vm_id: VmId) -> None:
        """Note that a fetch from a peer failed; others are tried first."""
        self._failed.add(vm_id)
        self.pending = None

    def _is_usable(self, vm_id: VmId, members: Mapping[VmId, Member]) -> bool:
        """Return whether a peer may be asked."""
        return vm_id in members and not members[vm_id].is_gone and vm_id not in self._failed
