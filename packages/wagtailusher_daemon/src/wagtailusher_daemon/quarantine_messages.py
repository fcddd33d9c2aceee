"""Converts between the quarantine's summaries and their wire messages."""

from __future__ import annotations

from wagtailusher_daemon.convert import convert
from wagtailusher_quarantine import QuarantineEntry, QuarantineSummary
from wagtailusher_wire import QuarantineEntry as QuarantineEntryMessage
from wagtailusher_wire import QuarantineSummary as QuarantineSummaryMessage


def quarantine_message(summary: QuarantineSummary) -> QuarantineSummaryMessage:
    """Return the wire message of a quarantine summary."""
    return QuarantineSummaryMessage(
        entries=tuple(convert(entry, QuarantineEntryMessage) for entry in summary.entries)
    )


def quarantine_summary(message: QuarantineSummaryMessage) -> QuarantineSummary:
    """Return the decider's quarantine summary of a wire message."""
    return QuarantineSummary(
        entries=tuple(convert(entry, QuarantineEntry) for entry in message.entries)
    )
