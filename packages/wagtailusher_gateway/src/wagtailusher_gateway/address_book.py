"""Which addresses callers are given; answers arrivals, restarts and VMs of unequal size."""

from __future__ import annotations

from collections.abc import Sequence
import random

from wagtailusher_gateway.const import MAX_ADDRESSES, RESOLVE_LIFETIME_S
from wagtailusher_gateway.http_mapping import AddressAnswer
from wagtailusher_gateway.models import Member


def answer_addresses(
    members: Sequence[Member], lifetime_s: float, chance: random.Random
) -> AddressAnswer:
    """Return the addresses of the VMs that take callers, more often those that carry more."""
    if len(members) <= MAX_ADDRESSES:
        chosen = list(members)
    else:
        keyed = sorted(
            members, key=lambda member: chance.random() ** (1 / max(1, member.weight)), reverse=True
        )
        chosen = keyed[:MAX_ADDRESSES]
    chance.shuffle(chosen)
    return AddressAnswer(
        addresses=tuple(member.address for member in chosen),
        lifetime_s=min(lifetime_s, RESOLVE_LIFETIME_S),
    )
