"""The deciders that a router is composed of."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from wagtailusher_admission import AdmissionDecider
from wagtailusher_core import ClassKey, FailureDomainId, VmId
from wagtailusher_once import OnceDecider
from wagtailusher_placement import PlacementDecider, StewardDecider
from wagtailusher_quarantine import QuarantineDecider

QuotaShare = Callable[[ClassKey, int, int], int]
"""Returns this node's part of a class's fleet-wide quota, given the current time."""


def unpartitioned_quota(key: ClassKey, quota: int, now_ms: int) -> int:
    """Return the whole quota, for a standalone node."""
    return quota


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterComponents:
    """The deciders that a router is composed of."""

    vm_id: VmId
    admission: AdmissionDecider
    placement: PlacementDecider
    steward: StewardDecider
    once: OnceDecider
    quarantine: QuarantineDecider
    quota_share: QuotaShare = unpartitioned_quota
    failure_domain_id: FailureDomainId = FailureDomainId("")
