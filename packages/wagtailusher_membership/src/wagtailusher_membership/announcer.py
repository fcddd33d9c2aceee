"""Selects the members that a new configuration is announced to, and when."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from random import Random

from wagtailusher_core import FailureDomainId, Revision, VmId
from wagtailusher_membership.configuration_limits import ConfigurationLimits
from wagtailusher_membership.member import Member
from wagtailusher_membership.peer_revisions import PeerRevisions
from wagtailusher_membership.probes import sample


class Announcer:
    """Announces to a few random members per round; a reader also to its whole failure domain."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        failure_domain_id: FailureDomainId,
        members: Mapping[VmId, Member],
        rng: Random,
        limits: ConfigurationLimits,
    ) -> None:
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._members = members
        self._rng = rng
        self._limits = limits
        self._remaining_rounds = 0
        self._next_round_ms = 0
        self._anti_entropy_at_ms = 0

    def start_rounds(self, now_ms: int) -> None:
        """Start the announcement rounds of a new configuration."""
        self._remaining_rounds = self._limits.announce_rounds
        self._next_round_ms = now_ms

    def targets(
        self, revision: Revision, peer_revisions: PeerRevisions, is_reader: bool, now_ms: int
    ) -> Iterator[Member]:
        """Yield the members to announce a revision to now.

        After the rounds one random member per anti-entropy interval is chosen.
        """
        if self._remaining_rounds and now_ms >= self._next_round_ms:
            self._remaining_rounds -= 1
            self._next_round_ms = now_ms + self._limits.announce_interval_ms
            yield from self._round_targets(revision, peer_revisions, is_reader)
        elif now_ms >= self._anti_entropy_at_ms:
            interval_ms = self._limits.anti_entropy_interval_ms
            self._anti_entropy_at_ms = now_ms + interval_ms + self._rng.randrange(interval_ms // 4)
            yield from self.sample(1)

    def sample(self, count: int, excluded: frozenset[VmId] = frozenset()) -> list[Member]:
        """Return random alive members other than this node."""
        return sample(self._rng, self._members, count, excluded=excluded | {self._vm_id})

    def _round_targets(
        self, revision: Revision, peer_revisions: PeerRevisions, is_reader: bool
    ) -> Iterator[Member]:
        """Yield one round's targets, except members that already hold the revision."""
        chosen = {member.vm_id: member for member in self.sample(self._limits.announce_fanout)}
        if is_reader:
            chosen |= {
                member.vm_id: member
                for member in self._members.values()
                if member.failure_domain_id == self._failure_domain_id
                and member.vm_id != self._vm_id
                and not member.is_gone
            }
        for member in chosen.values():
            if peer_revisions.revision_of(member.vm_id) < revision:
                yield member
