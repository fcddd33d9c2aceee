"""Divides the quotas that this VM coordinates among the VMs that claim them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from wagtailusher_core import ClassKey, Incarnation, VmId
from wagtailusher_membership.apportion import apportion
from wagtailusher_membership.quota_coordinators import QuotaCoordinators
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_wire import QuotaClaim, QuotaClaims, QuotaGrant, QuotaGrants


@dataclass(slots=True, kw_only=True)
class _Claimant:
    """One VM's claim on a class, and its maximum possible usage until a time."""

    incarnation: Incarnation
    sequence: int
    quota: int
    claim: int
    max_usage: int = 0
    expires_ms: int = 0
    granted_sequence: int = 0


@dataclass(slots=True, kw_only=True)
class _Ledger:
    """The grants and claims of one class."""

    claimants: dict[VmId, _Claimant] = field(default_factory=dict)
    renew_only_until_ms: int = 0


class QuotaCoordinator:
    """Grants shares so that the possible usage of all VMs stays within each quota.

    A reduced share counts at its old size until the VM confirms the reduced one or the old one
    has expired. A new coordinator only renews the shares that VMs report to hold until the
    grants of the previous coordinator have expired. The share of listed VMs that are considered
    dead or left isn't granted.
    """

    def __init__(
        self, *, vm_id: VmId, coordinators: QuotaCoordinators, limits: QuotaLimits
    ) -> None:
        self._vm_id = vm_id
        self._coordinators = coordinators
        self._limits = limits
        self._ledgers: OrderedDict[ClassKey, _Ledger] = OrderedDict()

    def grant_claims(self, message: QuotaClaims, now_ms: int) -> QuotaGrants:
        """Return grants for the claims on quotas that this VM coordinates."""
        grants = []
        for claim in message.claims:
            key = ClassKey(claim.workspace_id, claim.class_id)
            is_coordinated_here = self._coordinators.coordinator_of(key) == self._vm_id
            share = self._grant(key, claim, message, now_ms) if is_coordinated_here else None
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
        """Apply one claim and return the granted share, None for an outdated claim."""
        ledger = self._ledger_of(key)
        self._expire(ledger, now_ms)
        if not ledger.claimants and (claim.held or self._is_new_coordinator(key, now_ms)):
            ledger.renew_only_until_ms = now_ms + self._limits.lifetime_ms
        claimant = self._store_claim(ledger, claim, message)
        if claimant is None:
            return None
        wanted = self._target_share(key, ledger, message.node_id)
        if now_ms < ledger.renew_only_until_ms:
            wanted = min(wanted, claim.held)
        share = max(0, min(wanted, self._available(ledger, message.node_id)))
        claimant.max_usage = max(claimant.max_usage, share)
        claimant.expires_ms = now_ms + self._limits.lifetime_ms
        claimant.granted_sequence = message.sequence
        return share

    def _is_new_coordinator(self, key: ClassKey, now_ms: int) -> bool:
        """Return whether grants of a previous coordinator may still be in use."""
        return self._coordinators.may_have_changed_since(key, now_ms - self._limits.lifetime_ms)

    def _ledger_of(self, key: ClassKey) -> _Ledger:
        """Return a class's ledger; above the limit the least recently claimed is evicted."""
        ledger = self._ledgers.setdefault(key, _Ledger())
        self._ledgers.move_to_end(key)
        if len(self._ledgers) > self._limits.max_tracked_classes:
            self._ledgers.popitem(last=False)
        return ledger

    def _expire(self, ledger: _Ledger, now_ms: int) -> None:
        """Remove claimants whose grants have expired."""
        for vm_id, claimant in list(ledger.claimants.items()):
            if now_ms >= claimant.expires_ms:
                del ledger.claimants[vm_id]

    def _store_claim(
        self, ledger: _Ledger, claim: QuotaClaim, message: QuotaClaims
    ) -> _Claimant | None:
        """Store a claim; return None when it isn't newer than the stored one."""
        known = ledger.claimants.get(message.node_id)
        order = (message.incarnation, message.sequence)
        if known is not None and (known.incarnation, known.sequence) >= order:
            return None
        claimant = _Claimant(
            incarnation=message.incarnation,
            sequence=message.sequence,
            quota=claim.quota,
            claim=claim.claim,
            max_usage=claim.held,
        )
        if known is not None and not self._confirms(known, claim, message):
            claimant.max_usage = max(known.max_usage, claim.held)
        ledger.claimants[message.node_id] = claimant
        return claimant

    def _confirms(self, known: _Claimant, claim: QuotaClaim, message: QuotaClaims) -> bool:
        """Return whether a VM applied the last grant, so that only what it holds counts."""
        is_same = known.incarnation == message.incarnation
        return is_same and known.granted_sequence == claim.grant_sequence

    def _target_share(self, key: ClassKey, ledger: _Ledger, node_id: VmId) -> int:
        """Return a VM's share by claims, with a part of the unclaimed quota."""
        quota = self._quota(ledger)
        claims = {
            vm_id: claimant.claim for vm_id, claimant in ledger.claimants.items() if claimant.claim
        }
        if node_id not in claims:
            return 0
        unclaimed = max(0, quota - sum(claims.values()))
        share = apportion("\0".join(key), quota, claims)[node_id]
        return share + unclaimed // (len(claims) + 1)

    def _available(self, ledger: _Ledger, node_id: VmId) -> int:
        """Return the quota less the possible usage of all other VMs."""
        return self._quota(ledger) - sum(
            claimant.max_usage for vm_id, claimant in ledger.claimants.items() if vm_id != node_id
        )

    def _quota(self, ledger: _Ledger) -> int:
        """Return the quota that may be granted: the reachable share of the lowest one claimed."""
        return self._coordinators.reachable_quota(
            min(claimant.quota for claimant in ledger.claimants.values())
        )
