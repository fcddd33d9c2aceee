"""Who is told of a new configuration, and when."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from random import Random

from wagtailusher_core import FailureDomainId, Revision, VmId
from wagtailusher_membership.configuration_limits import ConfigurationLimits
from wagtailusher_membership.holders import Holders
from wagtailusher_membership.member import Member
from wagtailusher_membership.probes import sample


class Announcer:
    """Tells a few random members in rounds; a reader also its whole failure domain."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        failure_domain_id: FailureDomainId,
        members: Mapping[VmId, Member],
        rng: Random,
        limits: ConfigurationLimits,
    ) -> None:
        """Start with nothing to tell."""
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._members = members
        self._rng = rng
        self._limits = limits
        self._rounds = 0
        self._next_ms = 0
        self._entropy_at_ms = 0

    def begin(self, now_ms: int) -> None:
        """Start to tell of a new configuration."""
        self._rounds = self._limits.announce_rounds
        self._next_ms = now_ms

    def targets(
        self, revision: Revision, holders: Holders, reads: bool, now_ms: int
    ) -> Iterator[Member]:
        """Yield whom to tell now."""
        if self._rounds and now_ms >= self._next_ms:
            self._rounds -= 1
            self._next_ms = now_ms + self._limits.announce_interval_ms
            yield from self._round(revision, holders, reads)
        elif now_ms >= self._entropy_at_ms:
            interval_ms = self._limits.entropy_interval_ms
            self._entropy_at_ms = now_ms + interval_ms + self._rng.randrange(interval_ms // 4)
            yield from self.sample(1)

    def sample(self, count: int, excluded: frozenset[VmId] = frozenset()) -> list[Member]:
        """Return random members other than oneself."""
        return sample(self._rng, self._members, count, excluded=excluded | {self._vm_id})

    def _round(self, revision: Revision, holders: Holders, reads: bool) -> Iterator[Member]:
        """Yield one round's targets, leaving out who holds it already."""
        chosen = {member.vm_id: member for member in self.sample(self._limits.announce_fanout)}
        if reads:
            chosen |= {
                member.vm_id: member
                for member in self._members.values()
                if member.failure_domain_id == self._failure_domain_id
                and member.vm_id != self._vm_id
                and not member.is_gone
            }
        for member in chosen.values():
            if holders.revision_of(member.vm_id) < revision:
                yield member
