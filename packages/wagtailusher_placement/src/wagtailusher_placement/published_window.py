"""The published list of VMs over the time in which other VMs may still go by an older one."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from wagtailusher_core import PublishedVm, VmId


class PublishedWindow:
    """Remembers the lists of the last settling time."""

    def __init__(self, *, window_ms: int) -> None:
        """Start without a list."""
        self._window_ms = window_ms
        self._lists: deque[tuple[int, frozenset[VmId]]] = deque()
        self.seen_since_ms: dict[VmId, int] = {}

    def update(self, vms: Iterable[PublishedVm], now_ms: int) -> None:
        """Take over a list; an unchanged one only prolongs the newest."""
        ids = frozenset(vm.vm_id for vm in vms)
        if not self._lists or self._lists[-1][1] != ids:
            self._lists.append((now_ms, ids))
        self.seen_since_ms = {vm_id: self.seen_since_ms.get(vm_id, now_ms) for vm_id in ids}
        self.prune(now_ms)

    def prune(self, now_ms: int) -> bool:
        """Forget lists that were replaced before the window; return whether any was."""
        before = len(self._lists)
        while len(self._lists) > 1 and self._lists[1][0] <= now_ms - self._window_ms:
            self._lists.popleft()
        return len(self._lists) != before

    @property
    def vm_ids(self) -> frozenset[VmId]:
        """Return every VM of the window."""
        return frozenset().union(*(ids for _, ids in self._lists))

    @property
    def least_count(self) -> int:
        """Return the least number of VMs in a list of the window that had any."""
        return min((len(ids) for _, ids in self._lists if ids), default=0)

    @property
    def greatest_count(self) -> int:
        """Return the greatest number of VMs in the window."""
        return max((len(ids) for _, ids in self._lists), default=0)
