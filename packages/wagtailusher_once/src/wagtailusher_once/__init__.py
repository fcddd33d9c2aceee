"""At-most-once execution by ticket and home VM, without I/O."""

from __future__ import annotations

from wagtailusher_once.decider import OnceDecider
from wagtailusher_once.errors import OnceError, TicketExpiredError, TicketInvalidError
from wagtailusher_once.limits import OnceLimits
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
    "Replay",
    "RunHere",
    "StoredAnswer",
    "Submission",
    "Ticket",
    "TicketExpiredError",
    "TicketInvalidError",
    "TicketIssuer",
]
