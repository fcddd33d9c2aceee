"""Probe order, pending probes and relayed probes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wagtailusher_core import VmId
from wagtailusher_membership.member import Member


@dataclass(slots=True, kw_only=True)
class Probe:
    """The probe of one round."""

    target: VmId
    sequence: int
    direct_deadline_ms: int
    deadline_ms: int
    relays: int = 0
    nacks: int = 0
    answered: bool = False
    indirect_sent: bool = False

    @property
    def awaits_direct_answer(self) -> bool:
        """Return whether the direct answer is pending and no indirect probe was sent."""
        return not self.answered and not self.indirect_sent


@dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """A ping sent on another member's behalf."""

    requester: VmId
    requester_address: str
    requester_sequence: int
    target: VmId
    deadline_ms: int


class ProbeOrder:
    """Returns every alive member once per shuffled round."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._remaining: list[VmId] = []

    def add(self, vm_id: VmId) -> None:
        """Insert a new member at a random position of the current round."""
        self._remaining.insert(self._rng.randint(0, len(self._remaining)), vm_id)

    def next(self, members: Mapping[VmId, Member], own_id: VmId) -> Member | None:
        """Return the next member to probe."""
        for _ in range(2):
            while self._remaining:
                member = members.get(self._remaining.pop())
                if member is not None and not member.is_gone and member.vm_id != own_id:
                    return member
            self._remaining = [member.vm_id for member in members.values() if not member.is_gone]
            self._rng.shuffle(self._remaining)
        return None


def sample(
    rng: Random,
    members: Mapping[VmId, Member],
    count: int,
    *,
    excluded: frozenset[VmId],
) -> list[Member]:
    """Return up to count random alive members.

    They are drawn by index, at most four draws for each, which costs no pass over the table's
    members while few are dead or left.
    """
    vm_ids = list(members)
    chosen: dict[VmId, Member] = {}
    for _ in range(4 * count):
        if not vm_ids or len(chosen) >= count:
            break
        member = members[vm_ids[rng.randrange(len(vm_ids))]]
        if not member.is_gone and member.vm_id not in excluded:
            chosen[member.vm_id] = member
    return list(chosen.values())
