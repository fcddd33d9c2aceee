"""Division of an endpoint's credits among nodes by the tiers of their demand."""

from __future__ import annotations

from collections.abc import Mapping

from wagtailusher_core import VmId
from wagtailusher_placement.const import HELD_CREDIT_BONUS, TIER_COUNT


def apportion(
    limit: int,
    demands: Mapping[VmId, tuple[int, ...]],
    *,
    guaranteed_turn: int | None = None,
    held: Mapping[VmId, int] | None = None,
) -> dict[VmId, int]:
    """Return the credits of each node: strictly by tier, then the surplus evenly.

    Where parts are rounded, nodes that already hold more are rounded up first, since a credit is
    idle while it moves from node to node.

    With `guaranteed_turn`, one credit goes first to a tier that has demand, the lowest at turn 0.
    A caller that increments the turn over time thus lets every tier make progress.
    """
    credits = dict.fromkeys(sorted(demands), 0)
    held_before = held or {}
    left = max(0, limit)
    guaranteed = None
    if guaranteed_turn is not None and left > 0:
        guaranteed = _guaranteed_node(demands, guaranteed_turn)
    if guaranteed is not None:
        credits[guaranteed[0]] += 1
        left -= 1
    for tier in range(TIER_COUNT):
        wanted = {node: _demand(demands[node], tier) for node in credits}
        if guaranteed is not None and guaranteed[1] == tier:
            wanted[guaranteed[0]] -= 1
        excess_held = {node: held_before.get(node, 0) - credits[node] for node in credits}
        for node, part in split_by_weight(left, wanted, excess_held).items():
            credits[node] += part
            left -= part
    excess_held = {node: held_before.get(node, 0) - credits[node] for node in credits}
    even = split_by_weight(left, dict.fromkeys(credits, left), excess_held)
    return {node: amount + even[node] for node, amount in credits.items()}


def lacks_credits(
    node_id: VmId, credits: Mapping[VmId, int], demands: Mapping[VmId, tuple[int, ...]]
) -> bool:
    """Return whether a node lacks credits that another node holds idle or for a lower tier."""
    node_demand = demands.get(node_id, ())
    held = credits.get(node_id, 0)
    for tier in range(len(node_demand)):
        if sum(node_demand[: tier + 1]) > held:
            return any(
                amount > sum(demands.get(other_id, ())[: tier + 1])
                for other_id, amount in credits.items()
                if other_id != node_id
            )
    return False


def _guaranteed_node(demands: Mapping[VmId, tuple[int, ...]], turn: int) -> tuple[VmId, int] | None:
    """Return the node with the greatest demand in the tier whose turn it is, and that tier."""
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
    """Return each node's part, at most its wanted amount; a shortage is split in proportion."""
    total = sum(wanted.values())
    if total <= amount:
        return dict(wanted)
    parts = {node: amount * node_wanted // total for node, node_wanted in wanted.items()}
    left = amount - sum(parts.values())

    def rounding_order(node: VmId) -> tuple[float, VmId]:
        remainder = amount * wanted[node] % total
        is_held = remainder > 0 and held.get(node, 0) > parts[node]
        return (-(remainder / total + HELD_CREDIT_BONUS * is_held), node)

    for node in sorted(wanted, key=rounding_order)[:left]:
        parts[node] += 1
    return parts


def _demand(demand_by_tier: tuple[int, ...], tier: int) -> int:
    """Return a tier's demand, zero where the tuple is shorter."""
    return max(0, demand_by_tier[tier]) if tier < len(demand_by_tier) else 0
