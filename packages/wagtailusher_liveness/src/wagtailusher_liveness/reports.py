"""What VMs tell each other about endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from wagtailusher_core import EndpointId, VmId


class Liveness(StrEnum):
    """What a VM believes about an endpoint."""

    RESPONSIVE = "responsive"
    SUSPECTED = "suspected"
    """Silent, or reported by a peer, and not yet checked."""
    UNRESPONSIVE = "unresponsive"
    """It did not accept this VM's connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LivenessReport:
    """States that an endpoint did not, or does again, accept the sender's connections."""

    endpoint_id: EndpointId
    incarnation: int
    """Start of the endpoint's process."""
    is_responsive: bool
    silent_ms: int
    """Time since the sender began to wait in vain for a sign of life."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LivenessChange:
    """A change of what this VM believes, for its log."""

    endpoint_id: EndpointId
    state: Liveness
    silent_ms: int
    in_flight: int
    told_by: VmId | None
    """Peer whose report made the endpoint suspected, or None for own evidence."""
