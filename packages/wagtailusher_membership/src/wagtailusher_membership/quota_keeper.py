"""Divides the quotas that this VM keeps among the VMs that claim them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from wagtailusher_core import ClassKey, Incarnation, VmId
from wagtailusher_membership.apportion import apportion
from wagtailusher_membership.keepers import Keepers
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_wire import QuotaClaim, QuotaClaims, QuotaGrant, QuotaGrants


@dataclass(slots=True, kw_only=True)
class _Holder:
    """One VM's claim on a class, and the most that it may be using until a time."""

    incarnation: Incarnation
    sequence: int
    quota: int
    claim: int
    most: int = 0
    most_until_ms: int = 0
    granted_sequence: int = 0


@dataclass(slots=True, kw_only=True)
class _Book:
    """One class's holders."""

    holders: dict[VmId, _Holder] = field(default_factory=dict)
    renews_until_ms: int = 0


class QuotaKeeper:
    """Keeps the sum of what VMs may be using at or under each quota.

    A lowered share counts at its old size until the VM confirms the lower one or the old one
    has run out. A keeper that took over only renews what VMs say they hold until the earlier
    keeper's grants have run out. While listed VMs are believed gone their part is kept back.
    """

    def __init__(self, *, vm_id: VmId, keepers: Keepers, limits: QuotaLimits) -> None:
        """Start without books."""
        self._vm_id = vm_id
        self._keepers = keepers
        self._limits = limits
        self._books: OrderedDict[ClassKey, _Book] = OrderedDict()

    def answer(self, message: QuotaClaims, now_ms: int) -> QuotaGrants:
        """Return grants for claims on the quotas that are kept here."""
        grants = []
        for claim in message.claims:
            key = ClassKey(claim.workspace_id, claim.class_id)
            is_kept_here = self._keepers.keeper(key) == self._vm_id
            share = self._grant(key, claim, message, now_ms) if is_kept_here else None
            if share is not None:
                grants.append(QuotaGrant(workspace_id=key[0], class_id=key[1], share=share))
        return QuotaGrants(
            keeper_id=self._vm_id,
            sequence=message.sequence,
            lifetime_ms=self._limits.lifetime_ms,
            grants=tuple(grants),
        )

    def _grant(
        self, key: ClassKey, claim: QuotaClaim, message: QuotaClaims, now_ms: int
    ) -> int | None:
        """Take one claim in and return the share; None for a claim that is out of date."""
        book = self._book(key)
        self._expire(book, now_ms)
        if not book.holders and (claim.held or self._took_over(key, now_ms)):
            book.renews_until_ms = now_ms + self._limits.lifetime_ms
        holder = self._update(book, claim, message)
        if holder is None:
            return None
        wanted = self._target(key, book, message.node_id)
        if now_ms < book.renews_until_ms:
            wanted = min(wanted, claim.held)
        share = max(0, min(wanted, self._free(book, message.node_id)))
        holder.most = max(holder.most, share)
        holder.most_until_ms = now_ms + self._limits.lifetime_ms
        holder.granted_sequence = message.sequence
        return share

    def _took_over(self, key: ClassKey, now_ms: int) -> bool:
        """Return whether an earlier keeper's grants may still be in use."""
        return self._keepers.took_over(key, now_ms - self._limits.lifetime_ms)

    def _book(self, key: ClassKey) -> _Book:
        """Return a class's book; the least recently claimed goes when there are too many."""
        book = self._books.setdefault(key, _Book())
        self._books.move_to_end(key)
        if len(self._books) > self._limits.max_books:
            self._books.popitem(last=False)
        return book

    def _expire(self, book: _Book, now_ms: int) -> None:
        """Forget holders whose grants have run out."""
        for vm_id, holder in list(book.holders.items()):
            if now_ms >= holder.most_until_ms:
                del book.holders[vm_id]

    def _update(self, book: _Book, claim: QuotaClaim, message: QuotaClaims) -> _Holder | None:
        """Store a claim; return None when a later one was seen."""
        known = book.holders.get(message.node_id)
        order = (message.incarnation, message.sequence)
        if known is not None and (known.incarnation, known.sequence) >= order:
            return None
        holder = _Holder(
            incarnation=message.incarnation,
            sequence=message.sequence,
            quota=claim.quota,
            claim=claim.claim,
            most=claim.held,
        )
        if known is not None and not self._confirms(known, claim, message):
            holder.most = max(known.most, claim.held)
        book.holders[message.node_id] = holder
        return holder

    def _confirms(self, known: _Holder, claim: QuotaClaim, message: QuotaClaims) -> bool:
        """Return whether a VM took the last grant in, so that only what it holds counts."""
        is_same = known.incarnation == message.incarnation
        return is_same and known.granted_sequence == claim.grant_sequence

    def _target(self, key: ClassKey, book: _Book, node_id: VmId) -> int:
        """Return a VM's part by claims, and of what nobody claims."""
        quota = self._quota(book)
        claims = {vm_id: h.claim for vm_id, h in book.holders.items() if h.claim}
        if node_id not in claims:
            return 0
        unclaimed = max(0, quota - sum(claims.values()))
        share = apportion("\0".join(key), quota, claims)[node_id]
        return share + unclaimed // (len(claims) + 1)

    def _free(self, book: _Book, node_id: VmId) -> int:
        """Return the quota less what all others may be using."""
        return self._quota(book) - sum(
            h.most for vm_id, h in book.holders.items() if vm_id != node_id
        )

    def _quota(self, book: _Book) -> int:
        """Return what this keeper may hand out: its part of the least quota that is claimed for."""
        return self._keepers.part_of(min(holder.quota for holder in book.holders.values()))
