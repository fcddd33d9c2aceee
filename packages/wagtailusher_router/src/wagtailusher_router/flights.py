"""The state of each request that a node holds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from wagtailusher_admission import PendingRequest
from wagtailusher_core import EndpointId, Outcome, RequestId
from wagtailusher_placement import Choice
from wagtailusher_router.classified_request import ClassifiedRequest


class Phase(StrEnum):
    """Where a request is."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    SENT = "sent"


@dataclass(slots=True, kw_only=True)
class Flight:
    """A request from its arrival to its end."""

    arrival: ClassifiedRequest
    pending: PendingRequest
    ticket_id: str | None = None
    phase: Phase = Phase.QUEUED
    attempt: int = 0
    choice: Choice | None = None
    excluded: frozenset[EndpointId] = frozenset()
    ever_sent: bool = False
    relayed_events: int = 0
    resumes: int = 0
    caller_left: bool = False
    is_barred: bool = False
    stranded_at_ms: int | None = None
    followers: list[RequestId] = field(default_factory=list)

    @property
    def request_id(self) -> RequestId:
        """Return the request's identifier."""
        return self.arrival.request_id

    @property
    def may_repeat(self) -> bool:
        """Tell whether the request may be sent again after a byte of it was."""
        return self.arrival.policy.repeatable

    @property
    def outcome(self) -> Outcome:
        """Return what may truthfully be said when the request ends now without an answer."""
        return Outcome.UNKNOWN if self.ever_sent else Outcome.NOT_RUN
