"""What a caller may be told about its request's execution."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request ran."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class OutcomeTracker:
    """Derives the outcome that may truthfully be given for one request."""

    __slots__ = ("_outcome",)

    def __init__(self) -> None:
        """Start with a request that no endpoint has seen."""
        self._outcome = Outcome.NOT_RUN

    @property
    def outcome(self) -> Outcome:
        """Return the outcome as known now."""
        return self._outcome

    def bytes_may_have_left(self) -> None:
        """Note that a byte of the request may have reached an endpoint's socket."""
        if self._outcome is Outcome.NOT_RUN:
            self._outcome = Outcome.UNKNOWN

    def completed(self) -> None:
        """Note that the whole answer arrived."""
        self._outcome = Outcome.COMPLETED
