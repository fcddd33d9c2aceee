"""At-most-once execution by ticket and home VM, and quarantine of requests, without I/O."""

from __future__ import annotations

from wagtailusher_once.decider import OnceDecider
from wagtailusher_once.errors import OnceError, TicketExpiredError, TicketInvalidError
from wagtailusher_once.evidence import QuarantineStatus
from wagtailusher_once.limits import OnceLimits
from wagtailusher_once.quarantine import QuarantineDecider, QuarantineLimits
from wagtailusher_once.quarantine_summary import QuarantineEntry, QuarantineSummary
from wagtailusher_once.submission_results import (
    AlreadyRefused,
    AnswerEvicted,
    BodyConflict,
    ForwardTo,
    InProgress,
    OutcomeUnknown,
    Replay,
    RunHere,
    StoredAnswer,
    Submission,
)
from wagtailusher_once.ticket import Ticket, TicketIssuer

__all__ = [
    "AlreadyRefused",
    "AnswerEvicted",
    "BodyConflict",
    "ForwardTo",
    "InProgress",
    "OnceDecider",
    "OnceError",
    "OnceLimits",
    "OutcomeUnknown",
    "QuarantineDecider",
    "QuarantineEntry",
    "QuarantineLimits",
    "QuarantineStatus",
    "QuarantineSummary",
    "Replay",
    "RunHere",
    "StoredAnswer",
    "Submission",
    "Ticket",
    "TicketExpiredError",
    "TicketInvalidError",
    "TicketIssuer",
]
