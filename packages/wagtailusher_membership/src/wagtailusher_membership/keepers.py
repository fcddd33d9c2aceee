"""Which VM keeps a class's quota, and since when."""

from __future__ import annotations

from collections.abc import Mapping

from wagtailusher_core import ClassKey, VmId, first_by_rendezvous, rank_by_rendezvous
from wagtailusher_membership.member import Member

_CANDIDATES = 4


class Keepers:
    """The first running one of each class's candidates by the platform's list."""

    def __init__(self, *, vm_id: VmId, members: Mapping[VmId, Member]) -> None:
        """Create a view on live members."""
        self._vm_id = vm_id
        self._members = members
        self._previous: tuple[VmId, ...] = ()
        self._listed: tuple[VmId, ...] = ()
        self._changed_ms: int | None = None
        self._started_ms: int | None = None
        self._candidates: dict[ClassKey, tuple[VmId, ...]] = {}
        self._running = 0

    @property
    def listed(self) -> tuple[VmId, ...]:
        """Return the platform's list as of the last refresh."""
        return self._listed

    def refresh(self, now_ms: int) -> None:
        """Look at the platform's list; candidates are worked out anew when it changes."""
        if self._started_ms is None:
            self._started_ms = now_ms
        listed_members = [m for m in self._members.values() if m.is_listed]
        listed = tuple(sorted(m.vm_id for m in listed_members))
        self._running = sum(not m.is_gone or m.vm_id == self._vm_id for m in listed_members)
        if listed != self._listed:
            self._previous, self._listed = self._listed, listed
            self._changed_ms = now_ms
            self._candidates.clear()

    def keeper(self, key: ClassKey) -> VmId | None:
        """Return the VM that keeps a class's quota now."""
        for vm_id in self._ranked(key):
            member = self._members.get(vm_id)
            if vm_id == self._vm_id or (member is not None and not member.is_gone):
                return vm_id
        return None

    def part_of(self, quota: int) -> int:
        """Return the part of a quota that goes with the listed VMs believed to run.

        The other VMs may run on the far side of a partition, with a keeper of their own.
        """
        if not self._listed:
            return quota
        return max(min(quota, 1), quota * self._running // len(self._listed))

    def took_over(self, key: ClassKey, since_ms: int) -> bool:
        """Return whether this VM may have become the keeper only after a time."""
        if self._started_ms is None or self._started_ms > since_ms:
            return True
        is_new_list = self._changed_ms is not None and self._changed_ms > since_ms
        if is_new_list and first_by_rendezvous(_name(key), self._previous) != self._vm_id:
            return True
        for vm_id in self._ranked(key):
            if vm_id == self._vm_id:
                return False
            member = self._members.get(vm_id)
            if member is not None and member.is_gone and member.state_since_ms > since_ms:
                return True
        return False

    def _ranked(self, key: ClassKey) -> tuple[VmId, ...]:
        """Return a class's candidates, best first."""
        ranked = self._candidates.get(key)
        if ranked is None:
            best = rank_by_rendezvous(_name(key), self._listed)
            ranked = self._candidates[key] = tuple(map(VmId, best[:_CANDIDATES]))
        return ranked


def _name(key: ClassKey) -> str:
    """Return the name that candidates are ranked for."""
    return "quota\0" + "\0".join(key)
