"""Start options of one gateway process."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import FailureDomainId, VmId
from wagtailusher_gateway.const import (
    CONNECT_TIMEOUT_MS,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_PROBES,
    MAX_ANSWER_BYTES,
    UNACKED_TIMEOUT_MS,
)
from wagtailusher_gateway.models import Member
from wagtailusher_http import ClientLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetBounds:
    """Limits that all VMs keep together."""

    retry_ratio: float
    retry_slack: float
    retry_window_ms: int
    cold_overage: float
    cold_slack: float
    address_lifetime_s: float
    """Longest time for which callers may cache an address answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayOptions:
    """Identity, addresses as host:port, and limits of the process."""

    vm_id: VmId
    failure_domain_id: FailureDomainId
    listen: str
    """Address that serves callers."""
    ready_listen: str | None
    """Address of the platform's readiness check."""
    directory_listen: str | None
    """Address at which callers look up the VMs to use."""
    view_listen: str
    """Address at which peers fetch this VM's view."""
    metrics_listen: str | None
    peer_listen: str
    """Address that receives peers' datagrams, and the requests that they hand on if
    `takes_forwarded`."""
    takes_forwarded: bool
    """Whether peers may hand requests on to this VM."""
    is_first_start: bool
    """Whether the whole system starts for the first time."""
    seeds: tuple[str, ...]
    """Peer addresses of some VMs, which may no longer exist."""
    weight: int
    """Capacity of this VM relative to the others."""
    max_connections: int
    max_buffered_bytes: int
    """Bytes held for all endpoints' answers that are read whole."""
    max_held_bytes: int
    """Bytes held for all callers and peers: requests, and answers that are not sent yet."""
    grace_ms: int
    fleet_secret: bytes
    log_level: str
    bounds: FleetBounds

    @property
    def client_limits(self) -> ClientLimits:
        """Return the limits of connections to endpoints."""
        return ClientLimits(
            max_answer_bytes=MAX_ANSWER_BYTES,
            max_buffered_bytes=self.max_buffered_bytes,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            keepalive_idle_s=KEEPALIVE_IDLE_S,
            keepalive_probes=KEEPALIVE_PROBES,
            tcp_user_timeout_ms=UNACKED_TIMEOUT_MS,
            read_response_while_sending=True,
        )


def new_own_member(options: GatewayOptions, incarnation: int) -> Member:
    """Return this VM's member record at the start."""
    return Member(
        vm_id=options.vm_id,
        incarnation=incarnation,
        address=options.listen,
        peer_address=options.peer_listen,
        view_address=options.view_listen,
        failure_domain_id=options.failure_domain_id,
        weight=options.weight,
        is_leaving=False,
        is_ready=False,
        takes_forwarded=options.takes_forwarded,
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
