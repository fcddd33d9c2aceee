"""Divides a quota by claims: every node with the same view finds the same division."""

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
    left = quota - sum(shares.values())
    ranks = {name: rank for rank, name in enumerate(rank_by_rendezvous(key, claims))}
    order = sorted(claims, key=lambda vm_id: (-(quota * claims[vm_id] % total), ranks[vm_id]))
    for vm_id in order[:left]:
        shares[vm_id] += 1
    return shares


def base_share(key: str, quota: int, vm_id: VmId, listed: Iterable[VmId]) -> int:
    """Return a node's part of an even division over the platform's list."""
    names = set(listed)
    if vm_id not in names:
        return 0
    whole, left = divmod(quota, len(names))
    if not left:
        return whole
    return whole + (vm_id in rank_by_rendezvous(key, names)[:left])
