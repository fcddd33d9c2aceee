"""Keeps what endpoints state in answers about further requests, without sockets."""

from wagtailusher_availability.decider import AvailabilityDecider
from wagtailusher_availability.parse import UnreadableWaitError, parse_rejections, parse_wait_ms
from wagtailusher_availability.reports import Statement, StatementChange, StatementReport

__all__ = [
    "AvailabilityDecider",
    "Statement",
    "StatementChange",
    "StatementReport",
    "UnreadableWaitError",
    "parse_rejections",
    "parse_wait_ms",
]
