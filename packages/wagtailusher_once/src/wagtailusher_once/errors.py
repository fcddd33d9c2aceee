"""Errors of the at-most-once layer."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Outcome, WagtailusherError


class OnceError(WagtailusherError):
    """An error of the at-most-once layer."""


class TicketInvalidError(OnceError):
    """The ticket is malformed or was not issued by this fleet."""

    code = ErrorCode.TICKET_INVALID
    outcome = Outcome.NOT_RUN


class TicketExpiredError(OnceError):
    """The ticket has expired; an earlier attempt with it may have run."""

    code = ErrorCode.TICKET_EXPIRED
    outcome = Outcome.UNKNOWN
