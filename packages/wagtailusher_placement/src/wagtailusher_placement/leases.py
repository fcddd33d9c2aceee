"""Messages between the holders of leases and an endpoint's steward."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId, VmId
from wagtailusher_placement.const import (
    DEFAULT_CLOCK_MARGIN_MS,
    DEFAULT_LEASE_LIFETIME_MS,
    DEFAULT_LEASE_RENEWAL_MS,
    DEFAULT_LEASE_REQUESTS_PER_SECOND,
    DEFAULT_LEFTOVER_WAIT_MS,
    DEFAULT_LIST_LAG_MS,
    DEFAULT_PAUSE_TOLERANCE_MS,
    DEFAULT_URGENT_RENEWAL_MS,
    SWEEP_INTERVAL_MS,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseLimits:
    """The times that leases depend on; every VM of a fleet uses the same.

    `list_lag_ms` bounds the age of the published list that a running VM goes by. With
    `max_list_age_ms`, a steward that did not read the list for so long lets cold endpoints wait.
    """

    lifetime_ms: int = DEFAULT_LEASE_LIFETIME_MS
    renewal_ms: int = DEFAULT_LEASE_RENEWAL_MS
    urgent_renewal_ms: int = DEFAULT_URGENT_RENEWAL_MS
    requests_per_second: int = DEFAULT_LEASE_REQUESTS_PER_SECOND
    list_lag_ms: int = DEFAULT_LIST_LAG_MS
    pause_tolerance_ms: int = DEFAULT_PAUSE_TOLERANCE_MS
    clock_margin_ms: int = DEFAULT_CLOCK_MARGIN_MS
    leftover_wait_ms: int = DEFAULT_LEFTOVER_WAIT_MS
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
    """A holder's renewal: what it holds, uses and could use at one endpoint.

    `confirms` is the sequence of the last grant that the holder applied. `list_version` is the
    version of the published list that the holder goes by, 0 where there is none.
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
    """A steward's answer; `sequence` is that of the request, from whose sending the lease runs."""

    steward_id: VmId
    endpoint_id: EndpointId
    credits: int
    lifetime_ms: int
    cold: bool
    sequence: int
    steward_epoch: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecall:
    """A steward's word that an endpoint turned cold: leases on it are void at once."""

    steward_id: VmId
    node_id: VmId
    endpoint_id: EndpointId
    steward_epoch: int
