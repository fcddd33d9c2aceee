"""Entries of the VM list that the platform publishes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from wagtailusher_core.identifiers import FailureDomainId, VmId


class PublishedState(StrEnum):
    """A VM's state in the platform's list, which is updated with a delay."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedVm:
    """An entry VM in the platform's list; addresses are `host:port`."""

    vm_id: VmId
    address: str
    peer_address: str
    failure_domain_id: FailureDomainId
    state: PublishedState = PublishedState.LIVE
