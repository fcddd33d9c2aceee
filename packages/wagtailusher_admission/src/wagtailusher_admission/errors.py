"""Errors of admission."""

from __future__ import annotations

from wagtailusher_core import WagtailusherError


class AdmissionError(WagtailusherError):
    """A caller of the decider broke its contract."""


class UnknownRequestError(AdmissionError):
    """The request is not held by the decider, or not in the needed state."""


class DuplicateRequestError(AdmissionError):
    """A request with this identifier is held already."""
