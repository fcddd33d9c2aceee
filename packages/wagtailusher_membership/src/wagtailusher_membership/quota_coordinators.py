"""Determines which VM coordinates a class's quota, and since when."""

from __future__ import annotations

from collections.abc import Mapping

from wagtailusher_core import ClassKey, VmId, first_by_rendezvous, rank_by_rendezvous
from wagtailusher_membership.member import Member

_CANDIDATES = 4


class QuotaCoordinators:
    """The first alive candidate of each class, ranked over the platform's list."""

    def __init__(self, *, vm_id: VmId, members: Mapping[VmId, Member]) -> None:
        """Use a live view of the members."""
        self._vm_id = vm_id
        self._members = members
        self._previous: tuple[VmId, ...] = ()
        self._listed: tuple[VmId, ...] = ()
        self._changed_ms: int | None = None
        self._started_ms: int | None = None
        self._candidates: dict[ClassKey, tuple[VmId, ...]] = {}
        self._alive_count = 0

    @property
    def listed(self) -> tuple[VmId, ...]:
        """Return the platform's list as of the last refresh."""
        return self._listed

    def refresh(self, now_ms: int) -> None:
        """Read the platform's list; candidates are recomputed when it has changed."""
        if self._started_ms is None:
            self._started_ms = now_ms
        listed_members = [m for m in self._members.values() if m.is_listed]
        listed = tuple(sorted(m.vm_id for m in listed_members))
        self._alive_count = sum(not m.is_gone or m.vm_id == self._vm_id for m in listed_members)
        if listed != self._listed:
            self._previous, self._listed = self._listed, listed
            self._changed_ms = now_ms
            self._candidates.clear()

    def coordinator_of(self, key: ClassKey) -> VmId | None:
        """Return the VM that coordinates a class's quota now."""
        for vm_id in self._ranked(key):
            member = self._members.get(vm_id)
            if vm_id == self._vm_id or (member is not None and not member.is_gone):
                return vm_id
        return None

    def reachable_quota(self, quota: int) -> int:
        """Return the share of a quota in proportion to the listed VMs considered alive.

        The other VMs may run on the other side of a partition, with their own coordinator.
        """
        if not self._listed:
            return quota
        return max(min(quota, 1), quota * self._alive_count // len(self._listed))

    def may_have_changed_since(self, key: ClassKey, since_ms: int) -> bool:
        """Return whether this VM may have become the coordinator only after a time."""
        if self._started_ms is None or self._started_ms > since_ms:
            return True
        is_new_list = self._changed_ms is not None and self._changed_ms > since_ms
        if is_new_list and first_by_rendezvous(_rendezvous_key(key), self._previous) != self._vm_id:
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
            best = rank_by_rendezvous(_rendezvous_key(key), self._listed)
            ranked = self._candidates[key] = tuple(map(VmId, best[:_CANDIDATES]))
        return ranked


def _rendezvous_key(key: ClassKey) -> str:
    """Return the rendezvous key of a class."""
    return "quota\0" + "\0".join(key)
