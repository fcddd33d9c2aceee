"""Table of the members that one node knows."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import replace
from types import MappingProxyType

from xxhash import xxh3_64_intdigest

from wagtailusher_core import Incarnation, PublishedState, PublishedVm, VmId
from wagtailusher_membership.member import Member
from wagtailusher_wire import MemberState, MemberUpdate


class MemberTable:
    """Merges member updates with the platform's list."""

    def __init__(self, *, max_members: int, buckets: int) -> None:
        self._max_members = max_members
        self._buckets = buckets
        self._members: dict[VmId, Member] = {}
        self.is_list_suspected_truncated = False
        self.view: Mapping[VmId, Member] = MappingProxyType(self._members)

    def merge(self, update: MemberUpdate, now_ms: int) -> Member | None:
        """Merge an update; return the member if it changed, else None."""
        known = self._members.get(update.vm_id)
        if known is None:
            return self._add(update, now_ms)
        if known.supersedes(update):
            return None
        changed = replace(
            known,
            incarnation=update.incarnation,
            version=update.version,
            state=update.state,
            leaving=update.leaving,
            address=update.address or known.address,
            peer_address=update.peer_address or known.peer_address,
            failure_domain_id=update.failure_domain_id or known.failure_domain_id,
            state_since_ms=now_ms,
        )
        return self.put(changed)

    def put(self, member: Member) -> Member:
        """Store a member unconditionally."""
        self._members[member.vm_id] = member
        return member

    def merge_published(self, vms: Iterable[PublishedVm], now_ms: int) -> Iterator[Member]:
        """Merge the platform's list; yield members that it adds or changes.

        A list that drops most alive members at once is assumed to be truncated: it may add and
        change members, but drops only dead or left ones.
        """
        listed = {vm.vm_id: vm for vm in vms}
        dropped = [m for m in self._members.values() if m.is_listed and m.vm_id not in listed]
        self.is_list_suspected_truncated = self._drops_most_alive(dropped)
        for member in dropped:
            if member.is_gone or not self.is_list_suspected_truncated:
                yield self.put(replace(member, is_listed=False, unlisted_since_ms=now_ms))
        for vm in listed.values():
            changed = self._merge_published_vm(vm, now_ms)
            if changed is not None:
                yield changed

    def retire(
        self, now_ms: int, *, grace_ms: int, forget_ms: int
    ) -> Iterator[tuple[Member, bool]]:
        """Yield unlisted members and whether they were removed.

        They are marked as leaving after grace_ms, and removed once dead or left for forget_ms.
        """
        for member in list(self._members.values()):
            if member.is_listed:
                continue
            if member.is_gone and now_ms - member.state_since_ms >= forget_ms:
                del self._members[member.vm_id]
                yield member, True
            elif self._is_retired(member, now_ms - grace_ms):
                yield self.put(replace(member, listed_leaving=True)), False

    def digest(self) -> tuple[int, ...]:
        """Return a hash of the alive members per bucket."""
        hashes = [0] * self._buckets
        for member in self._members.values():
            if not member.is_gone:
                hashes[self._bucket(member.vm_id)] ^= _state_hash(member)
        return tuple(hashes)

    def differing_members(self, hashes: Sequence[int]) -> Iterator[Member]:
        """Yield the members of buckets whose hashes differ from a peer's."""
        if len(hashes) != self._buckets:
            return
        own = self.digest()
        for member in self._members.values():
            bucket = self._bucket(member.vm_id)
            if own[bucket] != hashes[bucket]:
                yield member

    def _add(self, update: MemberUpdate, now_ms: int) -> Member | None:
        """Add an unknown member if the update says that it is alive or leaving."""
        if update.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return None
        if len(self._members) >= self._max_members or not update.peer_address:
            return None
        return self.put(
            Member(
                vm_id=update.vm_id,
                incarnation=update.incarnation,
                version=update.version,
                state=update.state,
                leaving=update.leaving,
                address=update.address,
                peer_address=update.peer_address,
                failure_domain_id=update.failure_domain_id,
                state_since_ms=now_ms,
            )
        )

    def _merge_published_vm(self, vm: PublishedVm, now_ms: int) -> Member | None:
        """Merge one listed VM; self-reported state takes precedence over the list."""
        known = self._members.get(vm.vm_id)
        listed_leaving = vm.state is PublishedState.LEAVING
        if known is not None:
            merged = replace(
                known, is_listed=True, listed_leaving=listed_leaving, unlisted_since_ms=None
            )
            return self.put(merged) if merged != known else None
        if len(self._members) >= self._max_members:
            return None
        return self.put(
            Member(
                vm_id=vm.vm_id,
                incarnation=Incarnation(0),
                version=0,
                state=MemberState.ALIVE,
                leaving=False,
                address=vm.address,
                peer_address=vm.peer_address,
                failure_domain_id=vm.failure_domain_id,
                state_since_ms=now_ms,
                is_listed=True,
                listed_leaving=listed_leaving,
            )
        )

    def _drops_most_alive(self, dropped: list[Member]) -> bool:
        """Return whether more than half of the alive listed members are dropped."""
        alive_count = sum(
            member.is_listed and not member.is_gone for member in self._members.values()
        )
        return 2 * sum(not member.is_gone for member in dropped) > alive_count

    def _is_retired(self, member: Member, before_ms: int) -> bool:
        """Return whether a member is unlisted since before a time and not marked yet."""
        since_ms = member.unlisted_since_ms
        return since_ms is not None and since_ms <= before_ms and not member.listed_leaving

    def _bucket(self, vm_id: VmId) -> int:
        return xxh3_64_intdigest(vm_id.encode()) % self._buckets


def _state_hash(member: Member) -> int:
    """Return the hash of the state that all nodes must agree on."""
    text = f"{member.vm_id}\0{member.incarnation}\0{member.version}\0{member.state}"
    return xxh3_64_intdigest(text.encode())
