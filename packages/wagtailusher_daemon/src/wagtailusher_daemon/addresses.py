"""Tells callers which entry VMs to use."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from wagtailusher_core import FailureDomainId
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.const import MAX_ADDRESSES
from wagtailusher_membership import SummaryDecider


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressBook:
    """The entry VMs that callers may use: weighed by room, near ones first, leaving ones never."""

    own_address: str
    failure_domain_id: FailureDomainId
    summaries: SummaryDecider
    lifetime_ms: Callable[[], int]

    def answer(self) -> dict[str, Any]:
        """Return the address answer with the time for which it may be kept."""
        chosen = self.summaries.addresses(monotonic_ms(), self.failure_domain_id, MAX_ADDRESSES)
        return {
            "addresses": [{"vm_id": item.vm_id, "address": item.address} for item in chosen],
            "lifetime_ms": self.lifetime_ms(),
        }
