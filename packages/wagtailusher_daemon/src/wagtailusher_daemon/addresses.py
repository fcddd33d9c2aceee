"""Tells callers which entry VMs to use."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from wagtailusher_core import PublishedState, PublishedVm, VmId
from wagtailusher_daemon.const import MAX_ADDRESSES


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressBook:
    """The entry VMs that callers may use, near ones first."""

    vm_id: VmId
    own_address: str
    published: Callable[[], Iterable[PublishedVm]]
    lifetime_ms: Callable[[], int]

    def answer(self) -> dict[str, Any]:
        """Return the address answer with the time for which it may be kept."""
        live = [vm for vm in self.published() if vm.state is PublishedState.LIVE]
        ordered = sorted(live, key=lambda vm: vm.vm_id != self.vm_id)[:MAX_ADDRESSES]
        return {
            "addresses": [{"vm_id": vm.vm_id, "address": vm.address} for vm in ordered],
            "lifetime_ms": self.lifetime_ms(),
        }
