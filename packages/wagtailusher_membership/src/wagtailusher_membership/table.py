"""The members that one node knows."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import replace
from types import MappingProxyType

from xxhash import xxh3_64_intdigest

from wagtailusher_core import Incarnation, PublishedState, PublishedVm, VmId
from wagtailusher_membership.member import Member
from wagtailusher_wire import MemberState, MemberUpdate


class MemberTable:
    """Merges statements about members with the platform's list."""

    def __init__(self, *, max_members: int, buckets: int) -> None:
        """Create an empty table."""
        self._max_members = max_members
        self._buckets = buckets
        self._members: dict[VmId, Member] = {}
        self.is_list_doubted = False
        self.view: Mapping[VmId, Member] = MappingProxyType(self._members)

    def merge(self, update: MemberUpdate, now_ms: int) -> Member | None:
        """Take an update in; return the member when it changed."""
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
        """Store a member as it is."""
        self._members[member.vm_id] = member
        return member

    def merge_published(self, vms: Iterable[PublishedVm], now_ms: int) -> Iterator[Member]:
        """Take the platform's list in; yield members that it adds or changes.

        A list that drops most of the living at once is taken for truncated: it may add and
        change members, but drops none that runs.
        """
        listed = {vm.vm_id: vm for vm in vms}
        dropped = [m for m in self._members.values() if m.is_listed and m.vm_id not in listed]
        self.is_list_doubted = self._drops_most(dropped)
        for member in dropped:
            if member.is_gone or not self.is_list_doubted:
                yield self.put(replace(member, is_listed=False, unlisted_since_ms=now_ms))
        for vm in listed.values():
            changed = self._publish_one(vm, now_ms)
            if changed is not None:
                yield changed

    def retire(
        self, now_ms: int, *, grace_ms: int, forget_ms: int
    ) -> Iterator[tuple[Member, bool]]:
        """Yield members that the list stopped naming: as leaving, or removed once gone."""
        for member in list(self._members.values()):
            if member.is_listed:
                continue
            if member.is_gone and now_ms - member.state_since_ms >= forget_ms:
                del self._members[member.vm_id]
                yield member, True
            elif self._is_retired(member, now_ms - grace_ms):
                yield self.put(replace(member, listed_leaving=True)), False

    def digest(self) -> tuple[int, ...]:
        """Return a hash of the living members by bucket."""
        hashes = [0] * self._buckets
        for member in self._members.values():
            if not member.is_gone:
                hashes[self._bucket(member.vm_id)] ^= _hash(member)
        return tuple(hashes)

    def differing(self, hashes: Sequence[int]) -> Iterator[Member]:
        """Yield the members of buckets whose hashes differ from a peer's."""
        if len(hashes) != self._buckets:
            return
        own = self.digest()
        for member in self._members.values():
            bucket = self._bucket(member.vm_id)
            if own[bucket] != hashes[bucket]:
                yield member

    def _add(self, update: MemberUpdate, now_ms: int) -> Member | None:
        """Add a living member that was unknown."""
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

    def _publish_one(self, vm: PublishedVm, now_ms: int) -> Member | None:
        """Take one listed VM in; what the VM says of itself goes before the list."""
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

    def _drops_most(self, dropped: list[Member]) -> bool:
        """Return whether most of the listed members that run are dropped."""
        living = sum(member.is_listed and not member.is_gone for member in self._members.values())
        return 2 * sum(not member.is_gone for member in dropped) > living

    def _is_retired(self, member: Member, before_ms: int) -> bool:
        """Return whether a member fell off the list before a time and isn't marked yet."""
        since_ms = member.unlisted_since_ms
        return since_ms is not None and since_ms <= before_ms and not member.listed_leaving

    def _bucket(self, vm_id: VmId) -> int:
        """Return a member's bucket."""
        return xxh3_64_intdigest(vm_id.encode()) % self._buckets


def _hash(member: Member) -> int:
    """Return the hash of what members are to agree on."""
    text = f"{member.vm_id}\0{member.incarnation}\0{member.version}\0{member.state}"
    return xxh3_64_intdigest(text.encode())
