"""Selects the nodes that read the configuration service."""

from __future__ import annotations

from collections.abc import Mapping

from wagtailusher_core import FailureDomainId, VmId, rank_by_rendezvous
from wagtailusher_membership.configuration_limits import ConfigurationLimits
from wagtailusher_membership.member import Member

_READER_KEY = "configuration-readers"
_RANK_LIFETIME_MS = 1_000


class Readers:
    """The reader candidates of a failure domain, ranked over the platform's list.

    All nodes with the same list compute the same candidates, on both sides of a partition; only
    the number that reads depends on which of them are considered alive.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        failure_domain_id: FailureDomainId,
        members: Mapping[VmId, Member],
        limits: ConfigurationLimits,
    ) -> None:
        """Use a live view of the members."""
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._members = members
        self._limits = limits
        self._ranked: tuple[VmId, ...] = ()
        self._ranked_until_ms: int | None = None

    def ranked(self, now_ms: int) -> tuple[VmId, ...]:
        """Return the candidates, best first."""
        if self._ranked_until_ms is None or now_ms >= self._ranked_until_ms:
            self._ranked_until_ms = now_ms + _RANK_LIFETIME_MS
            vm_ids = [
                member.vm_id
                for member in self._members.values()
                if member.is_listed and member.failure_domain_id == self._failure_domain_id
            ]
            best = rank_by_rendezvous(_READER_KEY, vm_ids)[: self._limits.max_reader_rank]
            self._ranked = tuple(map(VmId, best))
        return self._ranked

    def is_reader(self, now_ms: int) -> bool:
        """Return whether this node reads, as too few better candidates are considered alive."""
        ranked = self.ranked(now_ms)
        if self._vm_id not in ranked:
            return False
        better = map(self._members.get, ranked[: ranked.index(self._vm_id)])
        alive_count = sum(member is not None and not member.is_gone for member in better)
        return alive_count < self._limits.readers_per_domain

    def alive_candidates(self, now_ms: int) -> list[Member]:
        """Return the other candidates that are considered alive."""
        ranked = map(self._members.get, self.ranked(now_ms))
        return [
            member
            for member in ranked
            if member is not None and member.vm_id != self._vm_id and not member.is_gone
        ]
