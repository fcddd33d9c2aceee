"""Splits an endpoint's credits among nodes by the tiers of their demand."""

from __future__ import annotations

from collections.abc import Mapping

from wagtailusher_core import VmId
from wagtailusher_placement.const import KEEP_BONUS, TIER_COUNT


def apportion(
    limit: int,
    demands: Mapping[VmId, tuple[int, ...]],
    *,
    guaranteed_turn: int | None = None,
    held: Mapping[VmId, int] | None = None,
) -> dict[VmId, int]:
    """Return the credits of each node: strictly by tier, then the surplus evenly.

    Where parts are rounded, nodes that hold more by now are rounded up first, as each credit that
    moves idles on its way.

    With `guaranteed_turn` one credit goes first to a tier that has demand, the lowest at turn 0,
    so that callers that count turns over time let every tier move.
    """
    credits = dict.fromkeys(sorted(demands), 0)
    before = held or {}
    left = max(0, limit)
    advance = None
    if guaranteed_turn is not None and left > 0:
        advance = _guaranteed(demands, guaranteed_turn)
    if advance is not None:
        credits[advance[0]] += 1
        left -= 1
    for tier in range(TIER_COUNT):
        wanted = {node: _demand(demands[node], tier) for node in credits}
        if advance is not None and advance[1] == tier:
            wanted[advance[0]] -= 1
        above = {node: before.get(node, 0) - credits[node] for node in credits}
        for node, part in split_by_weight(left, wanted, above).items():
            credits[node] += part
            left -= part
    above = {node: before.get(node, 0) - credits[node] for node in credits}
    even = split_by_weight(left, dict.fromkeys(credits, left), above)
    return {node: amount + even[node] for node, amount in credits.items()}


def lacks_credits(
    node_id: VmId, credits: Mapping[VmId, int], demands: Mapping[VmId, tuple[int, ...]]
) -> bool:
    """Return whether a node lacks credits that another holds idle or for a lower tier."""
    own = demands.get(node_id, ())
    held = credits.get(node_id, 0)
    for tier in range(len(own)):
        if sum(own[: tier + 1]) > held:
            return any(
                amount > sum(demands.get(other, ())[: tier + 1])
                for other, amount in credits.items()
                if other != node_id
            )
    return False


def _guaranteed(demands: Mapping[VmId, tuple[int, ...]], turn: int) -> tuple[VmId, int] | None:
    """Return the tier whose turn it is and its node with the greatest demand."""
    tiers = [
        tier
        for tier in reversed(range(TIER_COUNT))
        if any(_demand(demand, tier) for demand in demands.values())
    ]
    if not tiers:
        return None
    tier = tiers[turn % len(tiers)]
    return max(sorted(demands), key=lambda node: _demand(demands[node], tier)), tier


def split_by_weight(
    amount: int, wanted: Mapping[VmId, int], held: Mapping[VmId, int]
) -> dict[VmId, int]:
    """Return each node's part, at most what it wants; scarcity is shared in proportion."""
    total = sum(wanted.values())
    if total <= amount:
        return dict(wanted)
    parts = {node: amount * want // total for node, want in wanted.items()}
    left = amount - sum(parts.values())

    def rounds_up(node: VmId) -> tuple[float, VmId]:
        remainder = amount * wanted[node] % total
        keeps = remainder > 0 and held.get(node, 0) > parts[node]
        return (-(remainder / total + KEEP_BONUS * keeps), node)

    for node in sorted(wanted, key=rounds_up)[:left]:
        parts[node] += 1
    return parts


def _demand(demand_by_tier: tuple[int, ...], tier: int) -> int:
    """Return a tier's demand, zero where the tuple is shorter."""
    return max(0, demand_by_tier[tier]) if tier < len(demand_by_tier) else 0
