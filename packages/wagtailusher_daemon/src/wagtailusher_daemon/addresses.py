"""Tells callers which entry VMs to use."""

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
    """The entry VMs that callers may use: weighed by room, near ones first, leaving ones never."""

    own_address: str
    failure_domain_id: FailureDomainId
    summaries: SummaryDecider
    view: FleetView
    lifetime_ms: Callable[[], int]

    def answer(self, pool_id: PoolId | None = None) -> dict[str, Any]:
        """Return the address answer with the time for which it may be kept.

        Callers of a small pool are sent to a few VMs only, so that its credits are not split
        among too many.
        """
        chosen = self._entry_points(pool_id) if pool_id is not None else ()
        if not chosen:
            chosen = self._choose(MAX_ADDRESSES)
        return {
            "addresses": [{"vm_id": item.vm_id, "address": item.address} for item in chosen],
            "lifetime_ms": self.lifetime_ms(),
        }

    def _entry_points(self, pool_id: PoolId) -> tuple[AddressChoice, ...]:
        """Return the VMs for a pool that take new work."""
        published = self.view.published
        limit = sum(
            info.concurrency_limit
            for info in self.view.endpoints.values()
            if pool_id in info.pool_ids
        )
        if not limit:
            return ()
        meant = {vm.vm_id for vm in entry_points(pool_id, limit, published)}
        usable = self._choose(len(published))
        return tuple(item for item in usable if item.vm_id in meant)[:MAX_ADDRESSES]

    def _choose(self, count: int) -> tuple[AddressChoice, ...]:
        """Return VMs that take new work, those with room first."""
        return self.summaries.addresses(monotonic_ms(), self.failure_domain_id, count)
