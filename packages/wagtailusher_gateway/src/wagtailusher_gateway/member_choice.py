"""Chooses among the VMs of the fleet by which services each of them reaches."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from wagtailusher_core import FailureDomainId
from wagtailusher_gateway.models import Member

MIN_NAMED_SHARE = 0.25
"""Least share of the fleet's weight that is named to callers without the VMs that reach fewer
services."""

LOCAL_PREFERENCE = 3
"""How much more often a request is handed on within the failure domain than to another one."""


def named_members(serving_members: Sequence[Member]) -> Sequence[Member]:
    """Return the VMs to name to callers: those that reach the most services.

    If these are few, all are named, as the others hand their callers' requests on.
    """
    fewest = min((len(member.unreached_services) for member in serving_members), default=0)
    reaching = [item for item in serving_members if len(item.unreached_services) == fewest]
    weight, all_weight = (
        sum(item.weight for item in members) for members in (reaching, serving_members)
    )
    return reaching if weight >= MIN_NAMED_SHARE * all_weight else serving_members


def order_for_forwarding(
    live_members: Sequence[Member],
    service: str,
    failure_domain_id: FailureDomainId,
    generator: Random,
) -> list[Member]:
    """Return the peers that take a request handed on, in random order by weight.

    They reach endpoints of its service; those in the same failure domain come first more often.
    """

    def key(member: Member) -> float:
        is_local = member.failure_domain_id == failure_domain_id
        weight = max(1, member.weight) * (LOCAL_PREFERENCE if is_local else 1)
        return float(generator.random() ** (1 / weight))

    takers = (
        member
        for member in live_members
        if member.takes_forwarded
        and member.is_ready
        and not member.is_leaving
        and service not in member.unreached_services
    )
    return sorted(takers, key=key, reverse=True)
