"""The latest summaries of all VMs, with their age."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from wagtailusher_core import VmId
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


def _order(summary: RoomSummary | DemandSummary) -> tuple[int, int]:
    """Return a summary's place among those of its VM."""
    return summary.incarnation, summary.sequence
