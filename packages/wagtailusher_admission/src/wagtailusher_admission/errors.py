"""Errors of admission."""

from __future__ import annotations

from wagtailusher_core import WagtailusherError


class AdmissionError(WagtailusherError):
    """A call that violates the decider's contract."""


class UnknownRequestError(AdmissionError):
    """The request is not held by the decider, or not in the required state."""


class DuplicateRequestError(AdmissionError):
    """A request with this identifier is already held."""
