"""The latest summary of each VM, with its age."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Generic, TypeVar

from wagtailusher_core import VmId
from wagtailusher_wire import DemandSummary, RoomSummary

SummaryT = TypeVar("SummaryT", RoomSummary, DemandSummary)


@dataclass(frozen=True, slots=True, kw_only=True)
class TimedSummary(Generic[SummaryT]):
    """A summary and the time at which it was made, by this node's clock."""

    summary: SummaryT
    measured_ms: int

    def current(self, now_ms: int) -> SummaryT:
        """Return the summary with its age at now_ms."""
        return replace(self.summary, age_ms=max(0, now_ms - self.measured_ms))


class LatestSummaries(Generic[SummaryT]):
    """Stores the newest summary of each VM, by incarnation and sequence."""

    def __init__(self) -> None:
        self._entries: dict[VmId, TimedSummary[SummaryT]] = {}

    def merge(self, summary: SummaryT, now_ms: int) -> bool:
        """Store a summary if it is newer; return whether it was."""
        known = self._entries.get(summary.vm_id)
        if known is not None and _order(known.summary) >= _order(summary):
            return False
        self._entries[summary.vm_id] = TimedSummary(
            summary=summary, measured_ms=now_ms - summary.age_ms
        )
        return True

    def get(self, vm_id: VmId) -> TimedSummary[SummaryT] | None:
        """Return a VM's summary, None when there is none."""
        return self._entries.get(vm_id)

    def values(self) -> Iterator[TimedSummary[SummaryT]]:
        """Yield the entries."""
        yield from self._entries.values()

    def vm_ids(self) -> list[VmId]:
        """Return the VMs that have a summary."""
        return list(self._entries)

    def remove(self, vm_id: VmId) -> None:
        """Remove a VM's summary."""
        self._entries.pop(vm_id, None)


def _order(summary: RoomSummary | DemandSummary) -> tuple[int, int]:
    """Return the sort key of summaries of one VM."""
    return summary.incarnation, summary.sequence
