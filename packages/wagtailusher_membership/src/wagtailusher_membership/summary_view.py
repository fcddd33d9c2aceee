"""The latest summaries of all VMs, with their age."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from wagtailusher_core import ClassKey, VmId
from wagtailusher_wire import DemandSummary, RoomSummary

SummaryT = TypeVar("SummaryT", RoomSummary, DemandSummary)


@dataclass(frozen=True, slots=True, kw_only=True)
class Aged(Generic[SummaryT]):
    """A summary and the time at which it was true, by this node's clock."""

    summary: SummaryT
    true_at_ms: int

    def current(self, now_ms: int) -> SummaryT:
        """Return the summary with its age now."""
        return replace(self.summary, age_ms=max(0, now_ms - self.true_at_ms))


class LatestSummaries(Generic[SummaryT]):
    """Keeps the newest summary of each VM, by incarnation and sequence."""

    def __init__(self) -> None:
        """Start without summaries."""
        self._entries: dict[VmId, Aged[SummaryT]] = {}

    def merge(self, summary: SummaryT, now_ms: int) -> bool:
        """Take a summary in; return whether it was newer."""
        known = self._entries.get(summary.vm_id)
        if known is not None and _order(known.summary) >= _order(summary):
            return False
        self._entries[summary.vm_id] = Aged(summary=summary, true_at_ms=now_ms - summary.age_ms)
        return True

    def get(self, vm_id: VmId) -> Aged[SummaryT] | None:
        """Return one VM's summary."""
        return self._entries.get(vm_id)

    def values(self) -> Iterator[Aged[SummaryT]]:
        """Yield the entries."""
        yield from self._entries.values()

    def names(self) -> list[VmId]:
        """Return the VMs with a summary."""
        return list(self._entries)

    def remove(self, vm_id: VmId) -> None:
        """Forget a VM's summary."""
        self._entries.pop(vm_id, None)


class ClaimIndex:
    """How much of each class every VM has queued and in flight."""

    def __init__(self) -> None:
        """Start without claims."""
        self._claims: dict[ClassKey, dict[VmId, int]] = {}
        self._keys: dict[VmId, frozenset[ClassKey]] = {}

    def put(self, summary: DemandSummary) -> None:
        """Replace a VM's claims."""
        self.remove(summary.vm_id)
        claims = claims_of(summary)
        self._keys[summary.vm_id] = frozenset(claims)
        for key, claim in claims.items():
            self._claims.setdefault(key, {})[summary.vm_id] = claim

    def remove(self, vm_id: VmId) -> None:
        """Forget a VM's claims."""
        for key in self._keys.pop(vm_id, frozenset()):
            claims = self._claims[key]
            del claims[vm_id]
            if not claims:
                del self._claims[key]

    def of(self, key: ClassKey) -> Mapping[VmId, int]:
        """Return the claims on a class."""
        return self._claims.get(key, {})


def claims_of(summary: DemandSummary) -> dict[ClassKey, int]:
    """Return a VM's claims by class, over all pools."""
    claims: dict[ClassKey, int] = {}
    for pool in summary.pools:
        for demand in pool.classes:
            key = ClassKey(demand.workspace_id, demand.class_id)
            claims[key] = claims.get(key, 0) + demand.queued + demand.in_flight
    return claims


def _order(summary: RoomSummary | DemandSummary) -> tuple[int, int]:
    """Return a summary's place among those of its VM."""
    return summary.incarnation, summary.sequence
