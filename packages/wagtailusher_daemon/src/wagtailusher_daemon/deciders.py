"""Builds the router decider of one VM from its options."""

from __future__ import annotations

from dataclasses import dataclass
import secrets

from wagtailusher_admission import AdmissionDecider
from wagtailusher_availability import AvailabilityDecider
from wagtailusher_core import FailureDomainId, Incarnation, VmId
from wagtailusher_daemon.const import RENEWALS_PER_LIFETIME
from wagtailusher_daemon.options import EntryOptions
from wagtailusher_liveness import LivenessDecider
from wagtailusher_once import OnceDecider
from wagtailusher_placement import LeaseLimits, PlacementDecider, StewardDecider
from wagtailusher_quarantine import QuarantineDecider
from wagtailusher_rate_limits import RateLimitDecider
from wagtailusher_router import QuotaShare, RouterComponents, RouterDecider

_SEED_BITS = 63


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointDeciders:
    """What this VM and its peers found of endpoints."""

    liveness: LivenessDecider
    rate_limits: RateLimitDecider
    availability: AvailabilityDecider


def new_decider(
    options: EntryOptions,
    incarnation: Incarnation,
    quota_share: QuotaShare,
    endpoints: EndpointDeciders,
) -> RouterDecider:
    """Return the router decider with its admission, placement and execution deciders."""
    vm_id = VmId(options.vm_id)
    limits = _lease_limits(options)
    placement = PlacementDecider(
        vm_id=vm_id,
        failure_domain_id=FailureDomainId(options.failure_domain),
        seed=new_seed(),
        limits=limits,
        incarnation=incarnation,
        liveness=endpoints.liveness,
        rate_limits=endpoints.rate_limits,
        availability=endpoints.availability,
    )
    components = RouterComponents(
        vm_id=vm_id,
        admission=AdmissionDecider(),
        placement=placement,
        steward=StewardDecider(vm_id=vm_id, limits=limits, incarnation=incarnation),
        once=OnceDecider(vm_id=vm_id, incarnation=incarnation),
        quarantine=QuarantineDecider(),
        quota_share=quota_share,
        failure_domain_id=FailureDomainId(options.failure_domain),
    )
    return RouterDecider(components)


def new_seed() -> int:
    """Return a random seed for a decider."""
    return secrets.randbits(_SEED_BITS)


def _lease_limits(options: EntryOptions) -> LeaseLimits:
    return LeaseLimits(
        lifetime_ms=options.lease_lifetime_ms,
        renewal_ms=options.lease_lifetime_ms // RENEWALS_PER_LIFETIME,
        list_lag_ms=options.list_lag_ms,
        pause_tolerance_ms=options.pause_tolerance_ms,
    )
