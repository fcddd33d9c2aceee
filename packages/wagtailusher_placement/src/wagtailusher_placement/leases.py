"""Lease messages between holders and an endpoint's steward, and the lease timings."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId, VmId
from wagtailusher_placement.const import (
    DEFAULT_CLOCK_MARGIN_MS,
    DEFAULT_LEASE_LIFETIME_MS,
    DEFAULT_LEASE_RENEWAL_MS,
    DEFAULT_LEASE_REQUESTS_PER_SECOND,
    DEFAULT_LIST_LAG_MS,
    DEFAULT_PAUSE_TOLERANCE_MS,
    DEFAULT_RESIDUAL_WAIT_MS,
    DEFAULT_URGENT_RENEWAL_MS,
    SWEEP_INTERVAL_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseLimits:
    """Lease timings; every VM of a fleet must use the same.

    `list_lag_ms` bounds the age of the published list that a running VM uses. A steward that has
    not read the list for `max_list_age_ms`, if set, grants nothing on cold endpoints.
    """

    lifetime_ms: int = DEFAULT_LEASE_LIFETIME_MS
    renewal_ms: int = DEFAULT_LEASE_RENEWAL_MS
    urgent_renewal_ms: int = DEFAULT_URGENT_RENEWAL_MS
    requests_per_second: int = DEFAULT_LEASE_REQUESTS_PER_SECOND
    list_lag_ms: int = DEFAULT_LIST_LAG_MS
    pause_tolerance_ms: int = DEFAULT_PAUSE_TOLERANCE_MS
    clock_margin_ms: int = DEFAULT_CLOCK_MARGIN_MS
    residual_wait_ms: int = DEFAULT_RESIDUAL_WAIT_MS
    max_list_age_ms: int | None = None

    @property
    def settling_ms(self) -> int:
        """Return the time after which no lease of an earlier steward can be valid."""
        return self.list_lag_ms + self.pause_tolerance_ms + self.lifetime_ms + self.clock_margin_ms

    @property
    def fallback_ms(self) -> int:
        """Return how long a holder waits after a grant before it uses the local share."""
        return 2 * self.lifetime_ms + SWEEP_INTERVAL_MS + self.clock_margin_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRequest:
    """A holder's renewal: the credits it holds, uses and could use at one endpoint.

    `confirms` is the sequence of the last grant that the holder applied. `list_version` is the
    version of the published list that the holder uses, 0 if it has no version.
    """

    node_id: VmId
    endpoint_id: EndpointId
    held: int
    in_flight: int
    demand_by_tier: tuple[int, ...]
    sequence: int
    confirms: int = 0
    suspects_cold: bool = False
    good_first_tokens: int = 0
    list_version: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseGrant:
    """A steward's answer.

    `sequence` is that of the request; the lease runs from the time the request was sent.
    """

    steward_id: VmId
    endpoint_id: EndpointId
    credits: int
    lifetime_ms: int
    cold: bool
    sequence: int
    steward_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecall:
    """A steward's notice that an endpoint became cold: leases on it are void at once."""

    steward_id: VmId
    node_id: VmId
    endpoint_id: EndpointId
    steward_epoch: int
