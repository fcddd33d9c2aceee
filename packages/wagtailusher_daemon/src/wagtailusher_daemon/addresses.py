"""Selects the entry VMs that callers should use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wagtailusher_admission import entry_points
from wagtailusher_core import FailureDomainId, PoolId
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.const import MAX_ADDRESSES
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_membership import AddressChoice, SummaryDecider


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressBook:
    """Selects entry VMs by spare credits and failure domain; VMs that are leaving are excluded."""

    own_address: str
    failure_domain_id: FailureDomainId
    summaries: SummaryDecider
    view: FleetView
    lifetime_ms: Callable[[], int]

    def answer(self, pool_id: PoolId | None = None) -> dict[str, Any]:
        """Return the address answer and the time in ms for which callers may cache it.

        Callers of a small pool get only a few VMs, so that the pool's credits are not split
        among too many of them.
        """
        chosen = self._entry_points(pool_id) if pool_id is not None else ()
        if not chosen:
            chosen = self._choose(MAX_ADDRESSES)
        return {
            "addresses": [{"vm_id": item.vm_id, "address": item.address} for item in chosen],
            "lifetime_ms": self.lifetime_ms(),
        }

    def _entry_points(self, pool_id: PoolId) -> tuple[AddressChoice, ...]:
        """Return the entry VMs of a pool that accept new work."""
        published = self.view.published
        limit = sum(
            info.concurrency_limit
            for info in self.view.endpoints.values()
            if pool_id in info.pool_ids
        )
        if not limit:
            return ()
        pool_vm_ids = {vm.vm_id for vm in entry_points(pool_id, limit, published)}
        usable = self._choose(len(published))
        return tuple(item for item in usable if item.vm_id in pool_vm_ids)[:MAX_ADDRESSES]

    def _choose(self, count: int) -> tuple[AddressChoice, ...]:
        """Return VMs that accept new work, those with spare credits first."""
        return self.summaries.addresses(monotonic_ms(), self.failure_domain_id, count)
