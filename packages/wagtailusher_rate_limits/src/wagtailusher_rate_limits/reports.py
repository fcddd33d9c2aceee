"""What VMs tell each other about the limits that endpoints name."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import EndpointId, VmId


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitReport:
    """The limit that an endpoint's answer named, or that an answer named none."""

    endpoint_id: EndpointId
    incarnation: int
    """Start of the endpoint's process."""
    limit_per_s: float | None
    """Requests a second from all VMs together, or None if the answer named no limit."""
    age_ms: int
    """Time since the answer arrived."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitChange:
    """A limit that this VM learned of, or whose end it learned of, for its log."""

    endpoint_id: EndpointId
    limit_per_s: float | None
    share_per_s: float
    """Part of the limit that this VM may use; 0 if it leaves it to others."""
    age_ms: int
    told_by: VmId | None
    """Peer that read the answer, or None for this VM."""
    answer_to: str
    """Request whose answer named it; empty if a peer read it."""
