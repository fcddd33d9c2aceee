"""Divides a quota by claims; nodes with the same inputs compute the same division."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wagtailusher_core import VmId, rank_by_rendezvous


def apportion(key: str, quota: int, claims: Mapping[VmId, int]) -> dict[VmId, int]:
    """Return shares in proportion to claims, none above its claim; the largest remainders first.

    The shares add up to the quota, or to all claims where those are less.
    """
    total = sum(claims.values())
    if total <= quota:
        return dict(claims)
    shares = {vm_id: quota * claim // total for vm_id, claim in claims.items()}
    remainder = quota - sum(shares.values())
    ranks = {name: rank for rank, name in enumerate(rank_by_rendezvous(key, claims))}
    order = sorted(claims, key=lambda vm_id: (-(quota * claims[vm_id] % total), ranks[vm_id]))
    for vm_id in order[:remainder]:
        shares[vm_id] += 1
    return shares


def base_share(key: str, quota: int, vm_id: VmId, listed: Iterable[VmId]) -> int:
    """Return a VM's share of an even division over the listed VMs, 0 when it isn't listed."""
    vm_ids = set(listed)
    if vm_id not in vm_ids:
        return 0
    whole, remainder = divmod(quota, len(vm_ids))
    if not remainder:
        return whole
    return whole + (vm_id in rank_by_rendezvous(key, vm_ids)[:remainder])
