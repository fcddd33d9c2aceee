"""What VMs tell each other, and their logs, about what endpoints state."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from wagtailusher_core import EndpointId, VmId


class Statement(StrEnum):
    """What an endpoint states in its answers."""

    LEAVING = "leaving"
    """Its process ends soon; it wants no further requests."""
    WAITING = "waiting"
    """It wants no requests from this VM for a while."""
    BRITTLE = "brittle"
    """It falls over when it has to turn too many requests away."""
    FULL = "full"
    """While brittle it had no room for a request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementReport:
    """Tells a peer what one incarnation of an endpoint stated."""

    endpoint_id: EndpointId
    incarnation: int
    """Start of the endpoint's process."""
    statement: Statement
    age_ms: int
    """Time since the answer arrived that stated it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StatementChange:
    """A change of what this VM knows, for its log."""

    endpoint_id: EndpointId
    statement: Statement | None
    """None if nothing that the endpoint stated holds any longer."""
    incarnation: int = 0
    wait_ms: int | None = None
    """How long the endpoint wants no requests; None if it leaves."""
    age_ms: int = 0
    told_by: VmId | None = None
    """Peer that told it, or None for an answer to this VM."""
    answer_to: str = ""
    """Request whose answer stated it, if the answer came to this VM."""
