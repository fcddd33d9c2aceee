"""Which member is probed now, and what has been asked on behalf of others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wagtailusher_core import VmId
from wagtailusher_membership.member import Member


@dataclass(slots=True, kw_only=True)
class Probe:
    """One round's probe."""

    target: VmId
    sequence: int
    indirect_at_ms: int
    ends_at_ms: int
    relays: int = 0
    nacks: int = 0
    answered: bool = False
    indirect_sent: bool = False

    @property
    def waits(self) -> bool:
        """Return whether only the direct answer is awaited."""
        return not self.answered and not self.indirect_sent


@dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """A ping sent on another member's behalf."""

    requester: VmId
    requester_address: str
    requester_sequence: int
    target: VmId
    ends_at_ms: int


class ProbeOrder:
    """Visits every living member once in a shuffled round."""

    def __init__(self, rng: Random) -> None:
        """Start with no members."""
        self._rng = rng
        self._waiting: list[VmId] = []

    def add(self, vm_id: VmId) -> None:
        """Visit a new member at a random place of this round."""
        self._waiting.insert(self._rng.randint(0, len(self._waiting)), vm_id)

    def next(self, members: Mapping[VmId, Member], own_id: VmId) -> Member | None:
        """Return the next member to probe."""
        for _ in range(2):
            while self._waiting:
                member = members.get(self._waiting.pop())
                if member is not None and not member.is_gone and member.vm_id != own_id:
                    return member
            self._waiting = [member.vm_id for member in members.values() if not member.is_gone]
            self._rng.shuffle(self._waiting)
        return None


def sample(
    rng: Random,
    members: Mapping[VmId, Member],
    count: int,
    *,
    excluded: frozenset[VmId],
) -> list[Member]:
    """Return random living members; the draw costs no pass over the table where few are gone."""
    names = list(members)
    chosen: dict[VmId, Member] = {}
    for _ in range(4 * count):
        if not names or len(chosen) >= count:
            break
        member = members[names[rng.randrange(len(names))]]
        if not member.is_gone and member.vm_id not in excluded:
            chosen[member.vm_id] = member
    return list(chosen.values())
