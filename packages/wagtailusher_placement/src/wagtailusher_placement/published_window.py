"""Recent versions of the published list of VMs that other VMs may still use."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from wagtailusher_core import PublishedVm, VmId


class PublishedWindow:
    """Keeps the lists of VMs that were current within the last settling time."""

    def __init__(self, *, window_ms: int) -> None:
        self._window_ms = window_ms
        self._lists: deque[tuple[int, frozenset[VmId]]] = deque()
        self.seen_since_ms: dict[VmId, int] = {}

    def update(self, vms: Iterable[PublishedVm], now_ms: int) -> None:
        """Add a list; an unchanged one only extends the newest."""
        ids = frozenset(vm.vm_id for vm in vms)
        if not self._lists or self._lists[-1][1] != ids:
            self._lists.append((now_ms, ids))
        self.seen_since_ms = {vm_id: self.seen_since_ms.get(vm_id, now_ms) for vm_id in ids}
        self.prune(now_ms)

    def prune(self, now_ms: int) -> bool:
        """Drop lists that were replaced before the window; return whether any was dropped."""
        before = len(self._lists)
        while len(self._lists) > 1 and self._lists[1][0] <= now_ms - self._window_ms:
            self._lists.popleft()
        return len(self._lists) != before

    @property
    def vm_ids(self) -> frozenset[VmId]:
        """Return the ids of all VMs in the lists of the window."""
        return frozenset().union(*(ids for _, ids in self._lists))

    @property
    def min_count(self) -> int:
        """Return the least number of VMs in a non-empty list of the window, 0 if all are empty."""
        return min((len(ids) for _, ids in self._lists if ids), default=0)

    @property
    def max_count(self) -> int:
        """Return the greatest number of VMs in a list of the window, 0 without a list."""
        return max((len(ids) for _, ids in self._lists), default=0)
