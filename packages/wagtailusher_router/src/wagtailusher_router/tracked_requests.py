"""The state of each request that a node tracks."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from wagtailusher_admission import PendingRequest
from wagtailusher_core import EndpointId, Outcome, RequestId
from wagtailusher_placement import Choice
from wagtailusher_router.classified_request import ClassifiedRequest


class Phase(StrEnum):
    """Phase of a tracked request."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    SENT = "sent"


@dataclass(slots=True, kw_only=True)
class TrackedRequest:
    """A request that a node tracks from its arrival to its end."""

    classified: ClassifiedRequest
    pending: PendingRequest
    ticket_id: str | None = None
    phase: Phase = Phase.QUEUED
    attempt: int = 0
    choice: Choice | None = None
    excluded: frozenset[EndpointId] = frozenset()
    crashed: frozenset[EndpointId] = frozenset()
    """Those of the excluded endpoints that crashed under the request."""
    was_sent: bool = False
    relayed_events: int = 0
    needs_new_connection: bool = False
    """Whether a kept connection may be closed, as another one just was."""
    resume_count: int = 0
    caller_left: bool = False
    send_rejected: bool = False
    handover_tried_ms: int | None = None
    followers: list[RequestId] = field(default_factory=list)

    @property
    def request_id(self) -> RequestId:
        """Return the request's identifier."""
        return self.classified.request_id

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may be sent again after its first byte was sent."""
        return self.classified.policy.repeatable

    @property
    def outcome(self) -> Outcome:
        """Return the outcome to report if the request ends now without an answer."""
        return Outcome.UNKNOWN if self.was_sent else Outcome.NOT_RUN
