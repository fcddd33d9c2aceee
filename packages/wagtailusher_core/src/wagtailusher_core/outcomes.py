"""Outcome of a request as reported to its caller."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request was executed."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
