"""What one process of the gateway is told at its start."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import FailureDomainId, VmId


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetBounds:
    """What all VMs together must keep."""

    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    cold_overage: float
    cold_slack: float
    address_lifetime_s: float
    """The longest time for which callers may keep an address answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayOptions:
    """Addresses as host:port, and what binds the process."""

    vm_id: VmId
    failure_domain_id: FailureDomainId
    listen: str
    """Where callers are served."""
    ready_listen: str | None
    """Where the platform asks whether callers may come."""
    directory_listen: str | None
    """Where callers ask which addresses to use."""
    view_listen: str
    """Where peers fetch this VM's view."""
    metrics_listen: str | None
    peer_listen: str
    """Where peers' datagrams arrive."""
    seeds: tuple[str, ...]
    """Peer addresses of some VMs, which may be gone."""
    weight: int
    """How much this VM carries beside others."""
    max_connections: int
    grace_ms: int
    fleet_secret: bytes
    log_level: str
    bounds: FleetBounds
