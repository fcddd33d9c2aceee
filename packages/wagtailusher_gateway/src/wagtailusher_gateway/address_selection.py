"""Selects the VM addresses that are returned to callers."""

from __future__ import annotations

from collections.abc import Sequence
import random

from wagtailusher_gateway.const import MAX_ADDRESSES, RESOLVE_LIFETIME_S
from wagtailusher_gateway.http_mapping import AddressAnswer
from wagtailusher_gateway.models import Member


def select_addresses(
    members: Sequence[Member], lifetime_s: float, rng: random.Random
) -> AddressAnswer:
    """Return addresses in random order; of a large fleet a sample in proportion to the weights."""
    if len(members) <= MAX_ADDRESSES:
        selected = list(members)
    else:
        weighted = sorted(
            members, key=lambda member: rng.random() ** (1 / max(1, member.weight)), reverse=True
        )
        selected = weighted[:MAX_ADDRESSES]
    rng.shuffle(selected)
    return AddressAnswer(
        addresses=tuple(member.address for member in selected),
        lifetime_s=min(lifetime_s, RESOLVE_LIFETIME_S),
    )
