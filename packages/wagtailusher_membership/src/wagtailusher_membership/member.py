"""A member of the fleet and the precedence of updates about it."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import FailureDomainId, Incarnation, VmId
from wagtailusher_wire import MemberState, MemberUpdate

_ORDER = {
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
_GONE = frozenset((MemberState.DEAD, MemberState.LEFT))


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One VM's process in this node's view.

    A VM known only from the platform's list has incarnation 0. Leaving stays set while the
    member is suspected; unlisted_since_ms is set when the list no longer contains it.
    """

    vm_id: VmId
    incarnation: Incarnation
    version: int
    state: MemberState
    leaving: bool
    address: str
    peer_address: str
    failure_domain_id: FailureDomainId
    state_since_ms: int
    is_listed: bool = False
    listed_leaving: bool = False
    unlisted_since_ms: int | None = None

    @property
    def is_gone(self) -> bool:
        """Return whether the process is considered dead or has left."""
        return self.state in _GONE

    @property
    def accepts_requests(self) -> bool:
        """Return whether new requests may be sent to the member."""
        return self.state is MemberState.ALIVE and not self.leaving and not self.listed_leaving

    def supersedes(self, update: MemberUpdate) -> bool:
        """Return whether the known state takes precedence over an update or equals it."""
        if self.state is MemberState.LEFT and self.incarnation == update.incarnation:
            return True
        if update.state is MemberState.LEFT and self.incarnation == update.incarnation:
            return False
        known = (self.incarnation, self.version, _ORDER[self.state])
        return known >= (update.incarnation, update.version, _ORDER[update.state])

    def to_update(self) -> MemberUpdate:
        """Return the update to disseminate; only alive or leaving members carry addresses."""
        if self.is_gone or self.state is MemberState.SUSPECT:
            return MemberUpdate(
                vm_id=self.vm_id,
                incarnation=self.incarnation,
                version=self.version,
                state=self.state,
                leaving=self.leaving,
            )
        return MemberUpdate(
            vm_id=self.vm_id,
            incarnation=self.incarnation,
            version=self.version,
            state=self.state,
            leaving=self.leaving,
            address=self.address,
            peer_address=self.peer_address,
            failure_domain_id=self.failure_domain_id,
        )
