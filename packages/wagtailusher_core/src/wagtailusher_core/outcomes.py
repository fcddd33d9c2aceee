"""What a caller may be told about its request's execution."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
